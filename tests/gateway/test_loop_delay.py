"""A turn of the event loop that takes long is seen by operators."""

import pytest

from fireflypulley.gateway import decision_log
from fireflypulley.gateway import loop_delay

INTERVAL_S = 0.25


@pytest.fixture
def lines(monkeypatch):
    """The lines that were logged."""
    found = []
    monkeypatch.setattr(
        decision_log,
        "note",
        lambda kind, **fields: found.append((kind, fields)),
    )
    return found


def _after(*times_s):
    delay = loop_delay.LoopDelay(INTERVAL_S)
    for now_s in times_s:
        delay.note(now_s)
    return delay


def test_calls_in_time_have_no_delay(lines):
    assert _after(5.0, 5.25, 5.5).take_longest_s() == 0.0
    assert lines == []


def test_the_longest_delay_is_told_once(lines):
    delay = _after(5.0, 5.35, 5.9)
    assert delay.take_longest_s() == pytest.approx(0.3)
    assert delay.take_longest_s() == 0.0
    assert lines == []


def test_a_long_delay_has_a_line(lines):
    _after(5.0, 7.25, 7.5)
    assert lines == [("loop", {"delay_ms": 2000})]


def test_a_clock_that_is_set_back_is_no_delay(lines):
    assert _after(5.0, 3.0, 3.25).take_longest_s() == 0.0
    assert lines == []
