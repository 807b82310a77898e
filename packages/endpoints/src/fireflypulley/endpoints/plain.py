"""Attempts on plain services: any method and body, a single answer."""

from twisted.web import iweb

from fireflypulley.core import requests
from fireflypulley.endpoints import base
from fireflypulley.endpoints import http_attempt

IDLE_TIMEOUT_S = 30.0


class PlainAttempt(http_attempt.HttpAttempt):
    """A call of a plain service.

    A ``retryable`` call with an error status ends as a failure, so that
    it can be retried.  For other calls every answer is final, whatever
    its status.
    """

    retryable = True
    _status = 0
    _content_type = ""
    _length = 0

    def response_started(self, response: iweb.IResponse) -> None:
        self._status = response.code
        types = response.headers.getRawHeaders("Content-Type", [""])
        self._content_type = types[0]
        self._parts: list[bytes] = []

    def data_received(self, data: bytes) -> None:
        self.record_activity()
        if self._listener is None:
            return
        self._length += len(data)
        if self._length > http_attempt.MAX_ANSWER_BYTES:
            self.end(requests.Outcome.INVALID)
            return
        self._parts.append(data)
        self._listener.received(len(data))

    def _take(self) -> bytes:
        """Return what was received; objects are freed much later."""
        parts, self._parts = self._parts, []
        return b"".join(parts)

    def cancel(self) -> None:
        super().cancel()
        self._parts = []

    def body_ended(self, is_complete: bool) -> None:
        if not is_complete:
            self.end(requests.Outcome.CUT)
            return
        outcome = requests.Outcome.COMPLETE
        if self.retryable:
            outcome = http_attempt.outcome_of_status(self._status)
        if outcome is not requests.Outcome.COMPLETE:
            self.end(outcome)
            return
        body = self._take()
        self.end(outcome, base.Answer(self._status, self._content_type, body))
