"""Answers without a length on connections that have carried others."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document

from . import exchanges


def _begin_unframed(world, is_used):
    """Send a request; let its answer have no length."""
    connection = world.begin()
    connection.is_unframed = True
    connection.is_ambiguous = is_used
    return connection


# Guards against callers who get the beginning of another request's answer,
# which is cut off before the line that would name that request.
def test_what_may_be_repeated_is_repeated_on_an_unused_connection():
    world = exchanges.World()
    first = _begin_unframed(world, True)
    first.listener.response_head(200, list(exchanges.SEALED))
    assert first.aborted
    second = world.sent[-1]
    assert second is not first
    assert world.needs_unused == [False, True]
    exchanges.answer(second)
    assert world.sink.status == 200
    assert world.sink.body == b"ok"
    assert world.finished()


def test_what_runs_at_most_once_ends_as_unknown():
    world = exchanges.World(document.RouteKind.AT_MOST_ONCE)
    connection = _begin_unframed(world, True)
    connection.listener.response_head(200, list(exchanges.SEALED))
    assert world.sink.status == 502
    assert len(world.sent) == 1
    assert world.finished()


def test_the_endpoint_is_not_blamed():
    world = exchanges.World(max_attempts=1)
    connection = _begin_unframed(world, True)
    connection.listener.response_head(200, list(exchanges.SEALED))
    assert world.scheduler.evaluator.outcomes[calls.Outcome.AMBIGUOUS] == 1
    for member in world.scheduler.fleet:
        assert not world.scheduler.loads.of(member).is_suspected(0.0)


def test_the_only_endpoint_may_serve_the_repeat():
    world = exchanges.World()
    world.scheduler.fleet.remove("e2", 0.0, False)
    first = _begin_unframed(world, True)
    first.listener.response_head(200, list(exchanges.SEALED))
    second = world.sent[-1]
    assert second is not first
    assert second.endpoint_id == first.endpoint_id


@pytest.mark.parametrize("kind", list(document.RouteKind))
def test_an_answer_on_an_unused_connection_is_taken(kind):
    world = exchanges.World(kind)
    connection = _begin_unframed(world, False)
    exchanges.answer(connection, body=b"id: 1\ndata: a\n\n")
    assert world.sink.status == 200
    assert world.sink.state == "whole"


# Guards against a piece of another answer inside an event, where no id shows
# it.
def test_a_stream_goes_on_from_an_unused_connection():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = _begin_unframed(world, True)
    first.listener.response_head(200, list(exchanges.SEALED))
    assert first.aborted
    second = world.sent[-1]
    assert second is not first
    exchanges.answer(second, body=b"id: 1\ndata: a\n\n")
    assert world.sink.state == "whole"
    assert world.sink.body == b"id: 1\ndata: a\n\n"


def test_a_stream_that_runs_once_ends_as_unknown():
    world = exchanges.World(exchanges.STREAM)
    connection = _begin_unframed(world, True)
    connection.listener.response_head(200, list(exchanges.SEALED))
    assert world.sink.status == 502
