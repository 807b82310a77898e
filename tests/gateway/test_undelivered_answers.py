"""Answers that are complete here and do not reach their callers."""

import eliot
import pytest

from fireflypulley.core.gateway import caller_ends

from . import exchanges


@pytest.fixture
def lines():
    """Collect the lines of the log."""
    collected = []
    eliot.add_destinations(collected.append)
    # The first destination gets what was logged before.
    collected.clear()
    yield collected
    eliot.remove_destination(collected.append)


def _ends(lines):
    return [line for line in lines if line["message_type"] == "request"]


def _answer_slowly():
    world = exchanges.World(exchanges.AT_MOST_ONCE)
    world.sink.is_taken_at_once = False
    exchanges.answer(world.begin())
    return world


# Guards against an answer called answered that its caller did not get.
def test_an_answer_that_did_not_get_out_is_a_result_of_its_own(lines):
    world = _answer_slowly()
    world.clock.advance(3.0)
    assert not _ends(lines)
    assert not world.done
    end = caller_ends.CallerEnd.TOO_SLOW
    world.sink.on_delivery(caller_ends.Delivery(700, end))
    (line,) = _ends(lines)
    assert line["result"] == "undelivered"
    assert "too slow" in line["detail"]
    assert (line["took_ms"], line["delivery_ms"]) == (0, 3000)
    assert line["unsent_bytes"] == 700
    assert world.finished()


def test_an_answer_is_answered_once_its_caller_has_it(lines):
    world = _answer_slowly()
    world.clock.advance(60.0)
    world.sink.on_delivery(caller_ends.Delivery())
    (line,) = _ends(lines)
    assert line["result"] == "answered"
    assert "unsent_bytes" not in line
    assert world.finished()


# Guards against a slow caller that holds a place at its endpoint.
def test_an_answer_on_its_way_to_its_caller_holds_no_endpoint():
    world = _answer_slowly()
    assert not any(
        world.scheduler.loads.of(member).running
        for member in world.scheduler.fleet
    )
    world.exchange.abort()
    assert world.sink.state == "whole"
    assert not world.done
