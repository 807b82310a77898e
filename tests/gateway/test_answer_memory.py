"""What a node holds of answers that no caller was sent yet."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.transport import memory

from . import exchanges

BYTES = 1 << 20
"""What a node may hold in these tests."""


class Other(memory.Holder):
    """What else the node holds; it never gives up."""

    def give_up(self):
        """Hold on."""


def _world(other_bytes=0, **fields):
    world = exchanges.World(memory_bytes=BYTES, max_attempts=2, **fields)
    world.memory.hold(Other(), memory.Use.UPLOAD, other_bytes)
    return world


def _fill(world):
    """Let many small holders take all that is left, and a bit more."""
    while not world.memory.given_up:
        world.memory.hold(Other(), memory.Use.UPLOAD, 10_001)


def _held(world):
    return world.memory.used_bytes[memory.Use.ANSWER]


def _begin(world, body, status=200):
    connection = world.begin()
    connection.listener.response_head(status, list(exchanges.SEALED))
    connection.listener.response_data(body)
    return connection


def test_an_answer_that_fits_is_held_and_counted():
    world = _world()
    connection = _begin(world, b"x" * 30_000)
    assert world.sink.status is None
    assert _held(world) == 30_000
    connection.listener.response_end()
    assert (world.sink.state, len(world.sink.body)) == ("whole", 30_000)
    assert _held(world) == 0


# Guards against a node that runs out of memory because it holds the first
# megabyte of each answer.
def test_less_of_an_answer_is_held_while_memory_is_scarce():
    world = _world(other_bytes=BYTES * 3 // 4)
    connection = _begin(world, b"x" * memory.MIN_SHARE_BYTES)
    assert world.sink.status is None
    connection.listener.response_data(b"x")
    assert world.sink.status == 200
    assert _held(world) == 0


# Guards against a node that runs out of memory because answers are held at
# their full length until each is whole.
def test_the_answer_that_costs_most_is_sent_before_it_is_whole():
    world = _world()
    _begin(world, b"x" * 40_000)
    _fill(world)
    assert world.sink.status == 200
    assert len(world.sink.body) == 40_000
    assert _held(world) == 0


# Guards against a node that runs out of memory by failures that it keeps
# while it tries again.
def test_a_failure_that_is_kept_is_dropped_when_memory_is_needed():
    world = _world()
    first = world.begin()
    first.listener.response_head(500, list(exchanges.SEALED))
    first.listener.response_data(b"x" * 40_000)
    assert _held(world) == 40_000
    _fill(world)
    assert first.aborted
    assert _held(world) == 0
    exchanges.answer(world.sent[-1])
    assert (world.sink.status, world.sink.body) == (200, b"ok")


# Guards against memory that is counted for ever.
@pytest.mark.parametrize("end", ["cut", "left", "timed_out", "garbage"])
def test_nothing_is_counted_after_the_end_of_a_request(end):
    world = _world()
    connection = _begin(world, b"x" * 30_000)
    if end == "left":
        world.exchange.caller_left()
    elif end == "timed_out":
        world.exchange.timed_out()
    elif end == "cut":
        connection.listener.response_failed(calls.Outcome.CUT, "test")
        assert _held(world) == 0
        exchanges.answer(world.sent[-1])
    else:
        connection.listener.response_failed(calls.Outcome.GARBAGE, "test")
        exchanges.answer(world.sent[-1])
    assert world.finished()
    assert _held(world) == 0


# Guards against a node that runs out of memory by events that are large and
# never complete.
def test_an_event_that_is_not_complete_counts_until_it_is():
    world = _world(kind=exchanges.STREAM)
    connection = _begin(world, b"id: 1\ndata: " + b"x" * 20_000)
    assert 20_000 <= _held(world) < 20_020
    connection.listener.response_data(b"\n\nid: 2")
    assert _held(world) == len(b"id: 2")
    connection.listener.response_data(b"\ndata: b\n\n")
    assert _held(world) == 0
    connection.listener.response_end()
    assert world.sink.state == "whole"
    assert world.finished()


@pytest.mark.parametrize("has_event", [False, True])
def test_a_stream_ends_if_memory_is_needed_for_its_event(has_event):
    world = _world(kind=exchanges.STREAM)
    connection = _begin(world, b"data: a\n\n" * has_event)
    connection.listener.response_data(b"data: " + b"x" * 40_000)
    _fill(world)
    assert connection.aborted
    assert world.finished()
    assert world.sink.state == ("cut" if has_event else "whole")
    assert _held(world) == 0
