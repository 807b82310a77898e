"""Traces of requests from the logs of nodes."""

import json

import pytest

from fireflypulley.cli import request_traces

REQUEST = {
    "id": "r1",
    "message_type": "request",
    "node": "n1",
    "timestamp": 10.0,
    "result": "undelivered",
    "status": 200,
    "detail": "caller's connection: too slow",
    "unsent_bytes": 5000,
}
DROPPED = {"message_type": "log:dropped", "lines": {"request/answered": 3}}


def _lines(tmp_path, *lines):
    path = tmp_path / "node.log"
    path.write_text("".join(json.dumps(line) + "\n" for line in lines))
    return request_traces.read_lines([path])


# Guards against a log that can't be traced just when lines were dropped:
# the line that says so has no time.
@pytest.mark.parametrize(
    "timeless",
    [DROPPED, DROPPED | {"id": "r1"}, DROPPED | {"timestamp": "late"}],
)
def test_lines_without_a_time_do_not_end_a_trace(tmp_path, timeless):
    lines = _lines(tmp_path, timeless, REQUEST, timeless)
    trace = request_traces.build("r1", lines)
    assert [line["message_type"] for line in trace.lines] == ["request"]
    assert "too slow" in trace.as_text()
