"""A dialect of plain names, for tests of the product alone."""

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import dialect


class PlainDialect(dialect.Dialect):
    """Names as a reader would expect them."""

    def read_call(self, headers):
        fields = dict(headers)
        if b"x-bad" in fields:
            raise dialect.BadCall("x-bad")
        patience = fields.get(b"x-timeout-s")
        last = fields.get(b"last-event-id")
        return calls.RequestMetadata(
            fields.get(b"x-request-id", b"").decode(),
            timeout_s=None if patience is None else float(patience),
            last_event_id=None if last is None else int(last),
        )

    def endpoint_headers(self, headers, order):
        dropped = dialect.connection_fields(headers)
        found = [one for one in headers if one[0] not in dropped]
        found.append((b"x-endpoint", order.endpoint_id.encode()))
        found.append((b"x-time-left-s", b"%.3f" % order.time_left_s))
        if order.resume_after is not None:
            found.append((b"last-event-id", b"%d" % order.resume_after))
        return found

    def read_answer(self, status, headers):
        fields = dict(headers)
        return dialect.AnswerFacts(
            fields.get(b"x-request-id", b"").decode(),
            b"x-seal" in fields,
            b"x-not-run" in fields,
            status == 421,
            b"content-encoding" in fields,
        )

    def caller_headers(self, headers, unchanged):
        dropped = dialect.connection_fields(headers)
        if not unchanged:
            dropped |= {b"x-seal"}
        return [one for one in headers if one[0] not in dropped]

    def refusal_headers(self, request_id, retry_after_s):
        if retry_after_s is None:
            return []
        return [(b"retry-after", b"%.2f" % retry_after_s)]
