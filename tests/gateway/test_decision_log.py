"""The log never blocks, and reports what it dropped."""

import json
import os
import time

import pytest
from twisted.internet import task

from fireflypulley.gateway import decision_log


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    reading, writing = os.pipe()
    yield reading, writing
    os.close(reading)
    os.close(writing)


def _read(reading):
    os.set_blocking(reading, False)
    data = b""
    try:
        while part := os.read(reading, 65536):
            data += part
    except BlockingIOError:
        pass
    return data


def _lines(reading):
    return [json.loads(line) for line in _read(reading).splitlines()]


def _line(kind="request", **fields):
    return {"message_type": kind, "task_uuid": "u", **fields}


def test_a_message_is_one_line_of_json(pipe):
    reading, writing = pipe
    log = decision_log.DecisionLog(task.Clock(), writing)
    log(_line(id="q1", problem=ValueError("x")))
    (line,) = _lines(reading)
    assert line["id"] == "q1"
    assert "task_uuid" not in line


def test_a_stopped_reader_does_not_block(pipe):
    reading, writing = pipe
    clock = task.Clock()
    log = decision_log.DecisionLog(clock, writing)
    began_s = time.monotonic()
    for index in range(20_000):
        clock.advance(1 / decision_log.MAX_LINES_PER_S_BY_KIND)
        log(_line(id=f"q{index}", text="x" * 200))
    assert time.monotonic() - began_s < 10.0
    unwritten = log._unwritten
    assert len(unwritten) <= decision_log.MAX_UNWRITTEN_BYTES
    data = b""
    clock.advance(2.0)
    while log._unwritten:
        data += _read(reading)
        log(_line("drained"))
        clock.advance(1.0)
    data += _read(reading)
    lines = [json.loads(line) for line in data.splitlines()]
    dropped = [line for line in lines if line["message_type"] == "log:dropped"]
    assert sum(line["lines"].get("request", 0) for line in dropped) > 10_000


def test_a_flood_of_one_kind_does_not_hide_another(pipe):
    reading, writing = pipe
    clock = task.Clock()
    log = decision_log.DecisionLog(clock, writing)
    for _ in range(500):
        log(_line("request"))
    log(_line("store", state="lost"))
    kinds = [line["message_type"] for line in _lines(reading)]
    assert kinds.count("request") == decision_log.MAX_LINES_PER_S_BY_KIND
    assert kinds[-1] == "store"
    clock.advance(1.0)
    log(_line("request"))
    report = _lines(reading)[0]
    assert report["lines"] == {"request": 440}


def test_a_closed_reader_raises_no_error():
    reading, writing = os.pipe()
    os.close(reading)
    log = decision_log.DecisionLog(task.Clock(), writing)
    log(_line())
    os.close(writing)


# Guards against a failure that no line of any node names because sound
# answers had used up the second's lines (case 2 of the incident).
def test_a_failure_is_logged_beyond_the_rate_of_sound_answers(pipe):
    reading, writing = pipe
    log = decision_log.DecisionLog(task.Clock(), writing)
    for index in range(decision_log.MAX_LINES_PER_S_BY_KIND):
        log(_line(id=f"q{index}", result="answered"))
    log(_line(id="failed", result="cut"))
    assert "failed" in [line["id"] for line in _lines(reading)]
