"""Streams of endpoints that fail in various ways."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import response_watchdog

from . import exchanges


@pytest.mark.parametrize("kind", [exchanges.AT_MOST_ONCE, exchanges.STREAM])
@pytest.mark.parametrize("outcome", list(calls.Outcome))
def test_what_may_have_run_is_sent_once_and_never_called_not_run(
    kind, outcome
):
    if outcome is calls.Outcome.COMPLETE:
        return
    world = exchanges.World(kind, max_attempts=1)
    sent = world.begin()
    sent.listener.response_failed(outcome, "test")
    if outcome.certainly_not_run:
        assert len(world.sent) == 2
        return
    assert len(world.sent) == 1
    assert world.sink.status not in exchanges.NOT_EXECUTED_STATUSES
    assert world.sink.status >= 500
    assert world.finished()


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_events_are_forwarded_as_they_arrive():
    world = exchanges.World(exchanges.STREAM)
    listener = world.begin().listener
    listener.response_head(200, list(exchanges.SEALED))
    assert world.sink.status is None
    listener.response_data(_event(1) + b"id: 2\nda")
    assert world.sink.body == _event(1)
    listener.response_data(b"ta: x\n\n")
    assert world.sink.body == _event(1) + _event(2)
    listener.response_end()
    assert world.sink.state == "whole"


def test_an_aborted_stream_looks_incomplete():
    world = exchanges.World(exchanges.STREAM)
    listener = world.begin().listener
    listener.response_head(200, list(exchanges.SEALED))
    listener.response_data(_event(1))
    listener.response_failed(calls.Outcome.CUT, "test")
    assert world.sink.state == "cut"
    assert world.finished()


def test_a_resumable_stream_goes_on_after_its_last_whole_event():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1) + _event(2) + b"id: 3\nda")
    first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    assert second.endpoint_id != first.endpoint_id
    assert second.headers[b"last-event-id"] == b"2"
    second.listener.response_head(
        200, [*exchanges.SEALED[:1], (b"x-seal", b"s2")]
    )
    second.listener.response_data(_event(3))
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2) + _event(3)
    assert (b"x-seal", b"s1") in world.sink.headers
    assert world.sink.state == "whole"


@pytest.mark.parametrize("number", [1, 2, 4])
def test_a_resumed_stream_with_a_gap_or_a_repeat_is_cut(number):
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1) + _event(2))
    first.listener.response_failed(calls.Outcome.CUT, "test")
    listener = world.sent[-1].listener
    listener.response_head(200, list(exchanges.SEALED))
    listener.response_data(_event(number))
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "cut"


def test_a_resumable_stream_leaves_an_endpoint_that_falls_silent_midway():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1))
    world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    ).note_activity(0.0)
    world.clock.advance(response_watchdog.STREAM_TIMEOUT_S + 0.01)
    assert first.aborted
    second = world.sent[-1]
    assert second.endpoint_id != first.endpoint_id
    second.listener.response_head(200, list(exchanges.SEALED))
    second.listener.response_data(_event(2))
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"


def test_a_resumable_stream_stays_while_its_endpoint_answers_others():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    load = world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    )
    for _ in range(20):
        world.clock.advance(0.2)
        load.note_activity(world.clock.seconds())
    assert not first.aborted
