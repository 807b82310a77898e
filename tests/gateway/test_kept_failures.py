"""Failures that are kept while another attempt answers."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import answer_part

from . import exchanges

CHUNKED = [*exchanges.SEALED, (b"transfer-encoding", b"chunked")]
FAILURE = b"oops"
EVENTS = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
LARGE = b"x" * (answer_part.MAX_HELD_BYTES + 1)


def _keep_failure(world, is_whole):
    """Return the failed connection, and the one of the attempt after it."""
    failed = world.begin()
    failed.listener.response_head(500, list(CHUNKED))
    failed.listener.response_data(FAILURE)
    if is_whole:
        failed.listener.response_end()
    second = world.sent[-1]
    assert second is not failed
    second.listener.response_head(200, list(CHUNKED))
    return failed, second


def _cut(world, second):
    second.listener.response_failed(calls.Outcome.CUT, "test")


def _stop(world, second):
    world.exchange.abort()


def _let_deadline_pass(world, second):
    world.clock.advance(60.0)


ENDS = [_cut, _stop, _let_deadline_pass]


# Guards against two answers in one that looks whole: a failure that was kept
# went behind the events of the next attempt when that broke off.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("is_whole", [True, False])
def test_a_failure_does_not_go_on_a_stream_of_another_attempt(end, is_whole):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    failed, second = _keep_failure(world, is_whole)
    second.listener.response_data(EVENTS)
    assert failed.aborted or is_whole
    end(world, second)
    assert (world.sink.body, world.sink.state) == (EVENTS, "cut")
    assert world.finished()


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("is_whole", [True, False])
def test_a_failure_does_not_go_on_a_body_of_another_attempt(end, is_whole):
    world = exchanges.World(max_attempts=2)
    failed, second = _keep_failure(world, is_whole)
    second.listener.response_data(LARGE)
    assert failed.aborted or is_whole
    end(world, second)
    assert (world.sink.body, world.sink.state) == (LARGE, "cut")
    assert world.finished()


# Guards against the same where the events and the break come in one piece.
def test_a_failure_does_not_go_on_events_before_garbage():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    _, second = _keep_failure(world, True)
    second.listener.response_data(EVENTS + b"id: 7\ndata: x\n\n")
    assert (world.sink.body, world.sink.state) == (EVENTS, "cut")
    assert world.finished()


@pytest.mark.parametrize("end", ENDS)
def test_a_failure_is_passed_on_if_no_answer_has_begun(end):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    _, second = _keep_failure(world, True)
    second.listener.response_data(b"id: 1\nda")
    end(world, second)
    assert (world.sink.status, world.sink.body) == (500, FAILURE)
    assert world.sink.state == "whole"
