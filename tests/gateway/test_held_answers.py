"""Answers that a node holds back because their callers do not read."""

import pytest

from fireflypulley.core.gateway import document

from . import exchanges

LONG_S = 10.0


def _stream_world():
    return exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)


def _advance(world, seconds):
    for _ in range(round(seconds * 10)):
        world.clock.advance(0.1)


# Guards against a stream that is given up for silence while its caller does
# not read.
@pytest.mark.parametrize("has_event", [False, True])
def test_a_caller_that_does_not_read_costs_no_second_attempt(has_event):
    world = _stream_world()
    connection = world.begin()
    if has_event:
        connection.listener.response_head(200, list(exchanges.SEALED))
        connection.listener.response_data(b"id: 1\ndata: a\n\n")
    world.exchange.pause()
    _advance(world, 2.0)
    assert len(world.sent) == 1
    assert not connection.aborted
    world.exchange.resume()
    if not has_event:
        connection.listener.response_head(200, list(exchanges.SEALED))
    connection.listener.response_data(b"id: 2\ndata: b\n\n")
    connection.listener.response_end()
    assert world.sink.state == "whole"
    assert world.finished()


def test_after_the_pause_a_silent_endpoint_is_noticed():
    world = _stream_world()
    world.begin()
    world.exchange.pause()
    _advance(world, 2.0)
    world.exchange.resume()
    _advance(world, 2.0)
    assert len(world.sent) == 2


# Guards against endpoints that are suspected for the deadlines of callers
# that do not read.
def test_the_deadline_of_a_caller_that_does_not_read_is_no_verdict():
    world = _stream_world()
    connection = world.begin()
    connection.listener.response_head(200, list(exchanges.SEALED))
    connection.listener.response_data(b"id: 1\ndata: a\n\n")
    world.exchange.pause()
    _advance(world, LONG_S)
    assert world.sink.state == "cut"
    assert not world.scheduler.loads.of(
        next(iter(world.scheduler.fleet))
    ).is_suspected(world.clock.seconds())
    assert world.scheduler.retry_policy.retried == {}


def test_a_plain_answer_that_is_held_back_is_not_late():
    world = exchanges.World(document.RouteKind.IDEMPOTENT, max_attempts=2)
    world.begin()
    world.exchange.pause()
    _advance(world, 2.0)
    assert len(world.sent) == 1
