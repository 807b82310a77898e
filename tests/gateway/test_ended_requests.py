"""What is left of a request that has ended."""

import gc
import weakref

import pytest

from fireflypulley.core.gateway import calls

from . import exchanges


def _end(world, end):
    connection = world.begin()
    if end == "answered":
        exchanges.answer(connection)
    elif end == "failed":
        exchanges.answer(connection, 500, b"oh")
        exchanges.answer(world.sent[-1], 500, b"oh")
    elif end == "cut":
        connection.listener.response_failed(calls.Outcome.CUT, "test")
        exchanges.answer(world.sent[-1])
    elif end == "left":
        world.exchange.caller_left()
    else:
        world.exchange.timed_out()


# Guards against a node that runs out of memory by requests that have ended:
# objects that refer to each other, bodies too, stay until Python looks for
# such circles, which it does after many thousands of requests.
@pytest.mark.parametrize(
    "end", ["answered", "failed", "cut", "left", "timed_out"]
)
def test_nothing_of_a_request_outlasts_its_end(end):
    world = exchanges.World(max_attempts=2)
    gc.collect()
    gc.disable()
    try:
        _end(world, end)
        assert world.finished()
        left = [
            weakref.ref(world.exchange),
            weakref.ref(world.exchange._relay),
            *(weakref.ref(one.listener) for one in world.sent),
        ]
        del world.exchange
        world.done.clear()
        for connection in world.sent:
            # A connection forgets its listener at the end of an answer.
            connection.listener = None
        del connection
        assert not any(one() for one in left)
    finally:
        gc.enable()
