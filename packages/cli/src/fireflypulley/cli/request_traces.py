"""Merges the log lines of several nodes into the trace of a request."""

import collections.abc
import dataclasses
import json
import pathlib
import typing

CONTEXT_BEFORE_S = 5.0
_Line = dict[str, typing.Any]
_LATE_FIRST_EVENT_MS = 500
_CAUSES = {
    "undelivered": "the answer was complete and did not reach the caller",
    "stopping": "the node was about to end",
    "no_configuration": "the node had not read a configuration yet",
    "no_route": "the configuration in force has no such route",
    "no_key": "the configuration in force holds no such key",
    "over_limit": "the workspace was over its limit",
    "no_endpoint": "no endpoint of the service was in use",
    "endpoints_full": "every endpoint that was tried turned it away",
    "no_time_left": "its time was over before any endpoint had it",
    "quarantined": "the request had crashed endpoints before",
    "part_quarantined": "requests with one of its parts crashed endpoints",
    "timeout": "no whole answer came before its deadline",
    "outcome_unknown": "an endpoint may have run it and it may not repeat",
    "cut": "the answer was broken off after its first bytes",
    "bad_request": "the call could not be read",
    "caller_left": "the caller closed its connection",
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTrace:
    """The log lines of a request in order of time, and its cause.

    ``context`` holds other lines of the same nodes that may explain the
    outcome; the fields are the keys of the JSON output.
    """

    request_id: str
    lines: tuple[_Line, ...]
    context: tuple[_Line, ...]
    cause: str

    def as_json(self) -> str:
        """Return the trace as JSON."""
        return json.dumps(dataclasses.asdict(self), indent=2)

    def as_text(self) -> str:
        """Return the trace as text."""
        if not self.lines:
            return f"{self.request_id}: no line in these files"
        first_s = self.lines[0]["timestamp"]
        text_lines = [f"request {self.request_id}"]
        all_lines = sorted(
            (*self.lines, *self.context), key=lambda line: line["timestamp"]
        )
        for line in all_lines:
            text_lines.append(_text(line, first_s))
        text_lines.append(f"cause: {self.cause}")
        return "\n".join(text_lines)


def _text(line: _Line, first_s: float) -> str:
    shown = {
        key: value
        for key, value in line.items()
        if key not in ("timestamp", "node", "message_type", "id")
        and value not in (None, "")
    }
    fields = " ".join(f"{key}={value}" for key, value in shown.items())
    offset_s = line["timestamp"] - first_s
    kind = line["message_type"]
    return f"{offset_s:+9.3f} s {line.get('node', '?')} {kind}: {fields}"


def read_lines(
    paths: collections.abc.Iterable[pathlib.Path],
) -> list[_Line]:
    """Return the log lines in files, sorted by time.

    Text before the JSON of a line is skipped, as are other lines and those
    without a time, such as the counts of dropped lines.
    """
    log_lines = []
    for path in paths:
        for text in path.read_text(errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                line = json.loads(text[start:])
            except ValueError:
                continue
            if _is_timed(line):
                log_lines.append(line)
    return sorted(log_lines, key=lambda line: float(line["timestamp"]))


def _is_timed(line: object) -> bool:
    """Return whether this is a line of the decision log with its time."""
    if not isinstance(line, dict) or "message_type" not in line:
        return False
    return isinstance(line.get("timestamp"), (int, float))


def build(request_id: str, lines: list[_Line]) -> RequestTrace:
    """Return the trace of a request."""
    request_lines = [line for line in lines if line.get("id") == request_id]
    if not request_lines:
        return RequestTrace(request_id, (), (), "not found")
    nodes = {line.get("node") for line in request_lines}
    endpoints = {
        line["endpoint"] for line in request_lines if "endpoint" in line
    }
    from_s = request_lines[0]["timestamp"] - CONTEXT_BEFORE_S
    until_s = request_lines[-1]["timestamp"]
    context = [
        line
        for line in lines
        if line.get("id") != request_id
        and from_s <= line["timestamp"] <= until_s
        and line.get("node") in nodes
        and _is_context(line, endpoints)
    ]
    return RequestTrace(
        request_id,
        tuple(request_lines),
        tuple(context),
        _cause(request_lines, context),
    )


def _is_context(line: _Line, endpoints: set[str]) -> bool:
    kind = line["message_type"]
    if kind in ("store", "evacuation", "configuration", "node", "rollout"):
        return True
    return kind == "endpoint" and line.get("endpoint") in endpoints


def _cause(request_lines: list[_Line], context: list[_Line]) -> str:
    end_lines = [
        line for line in request_lines if line["message_type"] == "request"
    ]
    if not end_lines:
        return "no end in these files: the request is open or the node ended"
    end = end_lines[-1]
    result = end["result"]
    attempts = [
        line for line in request_lines if line["message_type"] == "attempt"
    ]
    attempts_text = "; ".join(
        f"{attempt['endpoint']}: {attempt['outcome']} ({attempt['detail']})"
        for attempt in attempts
    )
    if result == "answered":
        return _cause_of_answer(end, attempts_text)
    cause = _CAUSES.get(result, result)
    if end.get("detail"):
        cause += f" ({end['detail']})"
    if attempts_text:
        cause += f"; tried {attempts_text}"
    if any(line["message_type"] == "store" for line in context):
        cause += "; the store was out of reach meanwhile"
    return cause


def _cause_of_answer(end: _Line, attempts_text: str) -> str:
    status = end["status"]
    if status >= 500:
        return f"endpoint {end.get('endpoint')} answered {status} itself" + (
            f"; before it {attempts_text}" if attempts_text else ""
        )
    first_ms = end.get("first_event_ms")
    if first_ms is not None and first_ms > _LATE_FIRST_EVENT_MS:
        return (
            f"late: endpoint {end['endpoint']} took {first_ms} ms to its "
            f"first event, with {end['waiting_tokens']} prompt tokens and "
            f"{end['running']} requests ahead"
        )
    if attempts_text:
        return f"answered after {attempts_text}"
    return f"answered by {end.get('endpoint')} in {end['took_ms']} ms"
