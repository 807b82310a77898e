"""Requests at a node that is about to stop."""

import pytest

from fireflypulley.core.gateway import calls

from . import exchanges

USUAL_S = 0.4


def _world(kind, **fields):
    """Return a world in which requests of the route usually take a while."""
    world = exchanges.World(kind, **fields)
    observe = world.scheduler.endpoint_filter.durations.observe
    for _ in range(30):
        observe("r", USUAL_S)
    return world


# Guards against requests that a stopping node takes and cuts at its end.
@pytest.mark.parametrize("kind", [exchanges.AT_MOST_ONCE, exchanges.STREAM])
def test_what_would_be_cut_by_the_stop_is_refused_at_once(kind):
    world = _world(kind)
    world.stops_at_s = USUAL_S - 0.1
    assert world.begin() is None
    assert world.sink.status == 503
    assert dict(world.sink.headers)[b"retry-after"]
    assert world.finished()
    assert world.scheduler.refused[calls.RefusalReason.STOPPING] == 1


@pytest.mark.parametrize("kind", [exchanges.AT_MOST_ONCE, exchanges.STREAM])
def test_what_ends_before_the_stop_is_served(kind):
    world = _world(kind)
    world.stops_at_s = USUAL_S + 0.2
    exchanges.answer(world.begin(), body=b"id: 1\ndata: x\n\n")
    assert world.sink.status == 200
    assert world.sink.state == "whole"


# Guards against a second attempt shortly before the stop, which cuts it.
def test_a_retry_that_would_be_cut_is_not_begun():
    world = _world(exchanges.AT_MOST_ONCE)
    world.stops_at_s = 1.0
    first = world.begin()
    world.clock.advance(0.8)
    first.listener.response_failed(calls.Outcome.NOT_RUN, "full")
    assert len(world.sent) == 1
    assert world.sink.status == 503


def test_an_unfinished_request_is_never_called_not_run_at_the_stop():
    world = _world(exchanges.AT_MOST_ONCE)
    world.stops_at_s = 1.0
    first = world.begin()
    world.clock.advance(0.8)
    first.listener.response_failed(calls.Outcome.CUT, "lost")
    assert world.sink.status == 502
