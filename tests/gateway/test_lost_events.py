"""Runs that go on with no event although one is known to be missing."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import events
from fireflypulley.gateway import response_watchdog

from . import exchanges

CHUNKED = [*exchanges.SEALED, (b"transfer-encoding", b"chunked")]
BEGUN = [b"id: 3", b"id: 3\nda", b"data: x\n", b": ping\nid: 3\n"]
NOT_BEGUN = [b"", b"\n", b": ping\n", b": pi"]


def _events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % one for one in numbers)


def _cut_after(rest):
    """Return a world whose first run ended with bytes of no whole event."""
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=3)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2) + rest)
    first.listener.response_failed(calls.Outcome.CUT, "test")
    return world


# Guards against a stream that looks whole without its last events: the run
# that should have sent them had none, though one had begun to arrive before.
@pytest.mark.parametrize("rest", BEGUN)
def test_a_run_without_events_does_not_end_a_stream_that_lacks_one(rest):
    world = _cut_after(rest)
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert world.sink.state != "whole"
    assert world.sink.body == _events(1, 2)


@pytest.mark.parametrize("rest", BEGUN)
def test_a_run_with_the_events_that_were_missing_ends_the_stream(rest):
    world = _cut_after(rest)
    exchanges.answer(world.sent[-1], body=_events(3, 4), headers=CHUNKED)
    assert world.sink.state == "whole"
    assert world.sink.body == _events(1, 2, 3, 4)


@pytest.mark.parametrize("rest", NOT_BEGUN)
def test_a_run_without_events_ends_a_stream_that_lacks_none(rest):
    world = _cut_after(rest)
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert world.sink.state == "whole"


def test_an_event_that_had_begun_before_the_first_is_missing_too():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(b"id: 1\nda")
    first.listener.response_failed(calls.Outcome.CUT, "test")
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert world.sink.status == 502


# Guards against the same where the first run is only late: it may go on.
def test_a_late_run_that_has_begun_an_event_is_waited_for():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1) + b"id: 2\nda")
    world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    ).note_activity(0.0)
    world.clock.advance(response_watchdog.STREAM_TIMEOUT_S + 0.01)
    second = world.sent[-1]
    assert second is not first
    exchanges.answer(second, body=b"", headers=CHUNKED)
    assert world.sink.state == "open"
    first.listener.response_data(b"ta: x\n\n")
    first.listener.response_end()
    assert world.sink.body == _events(1) + b"id: 2\ndata: x\n\n"
    assert world.sink.state == "whole"


# What is no event shows nothing of the events before it.
def test_garbage_after_the_last_event_does_not_count_as_a_begun_one():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1) + b"oops\n\nmore")
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert world.sink.state == "whole"


SHOWN = [
    (calls.Outcome.CUT, b"id: 3\nda"),
    (calls.Outcome.GARBAGE, b"id: 3\nda"),
]


# Guards against the same where the bytes after the begun event were garbage.
@pytest.mark.parametrize(("outcome", "rest"), SHOWN)
def test_a_begun_event_is_missing_however_its_run_failed(outcome, rest):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2) + rest)
    first.listener.response_failed(outcome, "test")
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert world.sink.state == "cut"
    assert world.scheduler.evaluator.outcomes[calls.Outcome.GARBAGE] >= 1


# Guards against a stream that looks whole without the events that a run has
# left out.
@pytest.mark.parametrize("has", [None, b"2"])
def test_events_that_a_run_left_out_are_missing(has):
    fields = [] if has is None else [(b"last-event-id", has)]
    world = exchanges.World(
        exchanges.STREAM, fields, resumable=True, max_attempts=2
    )
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    data = _events(4) if has else _events(1, 2, 4)
    first.listener.response_data(data)
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert (world.sink.state, world.sink.status) in {
        ("cut", 200),
        ("whole", 502),
    }


# Guards against a sound end that is not believed for what a run has begun
# that was made beside it.
@pytest.mark.parametrize("begun", [b"id: 1\nda", b"id: 3\nda", b"oops"])
def test_the_newest_run_does_not_speak_against_the_end_of_a_late_one(begun):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2))
    world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    ).note_activity(0.0)
    world.clock.advance(response_watchdog.STREAM_TIMEOUT_S + 0.01)
    second = world.sent[-1]
    second.listener.response_head(200, list(CHUNKED))
    second.listener.response_data(begun)
    first.listener.response_end()
    assert (world.sink.state, world.sink.body) == ("whole", _events(1, 2))


# Guards against a caller that has all events and gets 502, for a run began
# with one that it has.
def test_a_begun_event_that_the_caller_has_is_not_missing():
    world = exchanges.World(
        exchanges.STREAM,
        [(b"last-event-id", b"3")],
        resumable=True,
        max_attempts=2,
    )
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(b"id: 1\nda")
    first.listener.response_failed(calls.Outcome.CUT, "test")
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert (world.sink.state, world.sink.status) == ("whole", 200)


LARGE = b"id: %d\ndata: " + b"x" * events.MAX_EVENT_BYTES


# Guards against a stream that looks whole without an event that was too large
# to be passed on.
@pytest.mark.parametrize("number", [3, 4])
def test_an_event_without_end_is_missing(number):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2) + LARGE % number)
    assert first.aborted
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert (world.sink.state, world.sink.body) == ("cut", _events(1, 2))


@pytest.mark.parametrize("number", [1, 2])
def test_an_event_without_end_that_the_caller_has_is_not_missing(number):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2) + LARGE % number)
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert (world.sink.state, world.sink.body) == ("whole", _events(1, 2))


BREAKS = [
    pytest.param(_events(2), id="an event again"),
    pytest.param(b"data: x\n\n", id="an event without an id"),
]


# Guards against a stream that looks whole without the events that came in one
# piece behind bytes that break the rules.
@pytest.mark.parametrize("bad", BREAKS)
def test_an_event_behind_a_break_is_missing(bad):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2) + bad + _events(3))
    assert first.aborted
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert (world.sink.state, world.sink.body) == ("cut", _events(1, 2))


@pytest.mark.parametrize("bad", BREAKS)
def test_an_event_behind_a_break_that_the_caller_has_is_not_missing(bad):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(CHUNKED))
    first.listener.response_data(_events(1, 2) + bad + _events(1, 2))
    exchanges.answer(world.sent[-1], body=b"", headers=CHUNKED)
    assert (world.sink.state, world.sink.body) == ("whole", _events(1, 2))
