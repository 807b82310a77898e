"""Requests to endpoints that fail in various ways."""

import dataclasses

import pytest
from twisted.internet import defer

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import crash_detector

from ..core.gateway import builders
from . import exchanges


def test_a_complete_response_reaches_the_caller_unchanged():
    world = exchanges.World()
    sent = world.begin()
    assert (sent.method, sent.target, sent.body) == (
        b"POST",
        b"/a/x",
        b"body",
    )
    assert sent.headers[b"x-endpoint"] == sent.endpoint_id.encode()
    exchanges.answer(sent)
    assert (world.sink.status, world.sink.body) == (200, b"ok")
    assert (b"x-seal", b"s1") in world.sink.headers
    assert world.sink.state == "whole"
    assert world.finished()


def test_a_refused_request_is_sent_to_another_endpoint():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    sent = world.begin()
    sent.listener.response_head(503, [(b"x-not-run", b"1")])
    assert sent.discarded
    second = world.sent[-1]
    assert second.endpoint_id != sent.endpoint_id
    exchanges.answer(second)
    assert world.sink.status == 200


def test_a_request_refused_everywhere_gets_retry_after():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.begin()
    while world.sink.status is None:
        world.sent[-1].listener.response_head(503, [(b"x-not-run", b"1")])
    assert world.sink.status == 503
    assert b"retry-after" in dict(world.sink.headers)
    assert len(world.sent) <= 3
    assert world.finished()


@pytest.mark.parametrize(
    "late", [(503, (b"x-not-run", b"1")), (421, (b"x", b"1"))]
)
def test_a_late_refusal_does_not_apply_to_the_next_request(late):
    """The response to an earlier request arrives as if to the next."""
    status, field = late
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    sent = world.begin()
    sent.listener.response_head(status, [(b"x-request-id", b"q0"), field])
    assert sent.aborted
    assert len(world.sent) == 1
    assert world.sink.status == 502


@pytest.mark.parametrize("kind", [exchanges.AT_MOST_ONCE, exchanges.STREAM])
def test_a_request_aborted_by_shutdown_may_have_run(kind):
    """It was sent, and its endpoint has not responded yet."""
    world = exchanges.World(kind, max_attempts=1)
    world.begin()
    world.clock.advance(1.0)
    world.exchange.abort()
    assert world.sink.status not in exchanges.NOT_EXECUTED_STATUSES
    assert world.finished()


def test_a_request_not_sent_before_shutdown_has_not_run():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.slow_connect = defer.Deferred()
    world.begin()
    world.exchange.abort()
    assert world.sink.status == 503
    assert world.finished()


def test_a_503_without_not_run_is_replaced():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    exchanges.answer(world.begin(), 503, b"busy")
    assert world.sink.status == 502
    assert b"x-seal" not in dict(world.sink.headers)


def test_an_endpoints_own_failure_is_forwarded_unchanged():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    exchanges.answer(world.begin(), 500, b"oh")
    assert (world.sink.status, world.sink.body) == (500, b"oh")
    assert (b"x-seal", b"s1") in world.sink.headers


# Guards against rule EXPOSURE being broken: failures of a bad version that
# were forwarded to callers counted as good responses.
@pytest.mark.parametrize("status", [500, 504])
def test_a_forwarded_failure_counts_against_its_version(status):
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    order = versions.Rollout("s/v1/1", "s", "v1", 0.0, 15.0)
    world.scheduler.rollouts.order(order)
    exchanges.answer(world.begin(), status, b"oh")
    assert world.scheduler.evaluator.outcomes == {calls.Outcome.FAILED: 1}
    (evidence,) = world.scheduler.rollouts.updates(1.0)
    (count,) = evidence.counts
    assert (count.served, count.failed) == (1, 1)


def test_a_failed_repeatable_request_is_retried_elsewhere():
    world = exchanges.World()
    first = world.begin()
    first.listener.response_head(500, list(exchanges.SEALED))
    second = world.sent[-1]
    assert second.endpoint_id != first.endpoint_id
    exchanges.answer(second, 500, b"again")
    assert (world.sink.status, world.sink.body) == (500, b"again")


@pytest.mark.parametrize(
    "headers",
    [
        [(b"x-request-id", b"other"), (b"x-seal", b"s")],
        [(b"x-request-id", b"q1")],
        [*exchanges.SEALED, (b"content-encoding", b"gzip")],
    ],
)
def test_a_response_to_another_request_never_reaches_the_caller(headers):
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    sent = world.begin()
    sent.listener.response_head(200, headers)
    assert sent.aborted
    assert world.sink.status == 502
    assert world.sink.body == b""


def test_unreachable_endpoints_are_skipped():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.unreachable = {"e1", "e2"}
    world.begin()
    assert world.sink.status == 503
    assert not world.sent
    assert world.finished()


def test_an_endpoint_that_leaves_while_connecting_gets_nothing():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.slow_connect = defer.Deferred()
    world.begin()
    for name in ("e1", "e2"):
        world.scheduler.fleet.put(builders.entry(name, leaving=True), 0.1)
    late = exchanges.Connection("e1")
    world.slow_connect.callback(late)
    assert late.listener is None
    assert world.sink.status == 503


def test_a_silent_endpoint_is_left_for_another():
    """The retry starts while the target of 0.2 s can still be met."""
    world = exchanges.World(target_latency_s=0.2)
    first = world.begin()
    world.clock.advance(0.11)
    assert world.sent == [first]
    world.clock.advance(0.02)
    assert world.sent[-1] is not first
    exchanges.answer(world.sent[-1])
    assert first.aborted
    assert world.sink.status == 200


def test_an_at_most_once_request_waits_for_its_response():
    world = exchanges.World(
        exchanges.AT_MOST_ONCE, max_attempts=1, timeout_s=2.0
    )
    first = world.begin()
    world.clock.advance(1.9)
    assert not first.aborted
    world.clock.advance(0.1)
    assert first.aborted
    assert world.sink.status == 504
    assert world.finished()


def test_a_request_that_reached_no_endpoint_has_not_run():
    world = exchanges.World(timeout_s=2.0)
    world.slow_connect = defer.Deferred()
    world.begin()
    world.clock.advance(2.0)
    assert world.sink.status == 503
    assert world.finished()


def test_a_caller_that_leaves_stops_the_work():
    world = exchanges.World()
    sent = world.begin()
    world.exchange.caller_left()
    assert sent.aborted
    assert world.finished()
    world.clock.advance(60.0)


def test_a_call_that_cannot_be_read_is_refused():
    world = exchanges.World()
    world.exchange._incoming.headers.append((b"x-bad", b"1"))
    world.begin()
    assert world.sink.status == 400


def test_without_a_configuration_the_caller_gets_retry_after():
    world = exchanges.World()
    world.scheduler.document = None
    world.begin()
    assert world.sink.status == 503
    assert b"retry-after" in dict(world.sink.headers)


def test_a_request_that_crashes_its_endpoints_is_refused_on_all_nodes():
    """The same request is sent again and again, to different nodes."""
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    for turn in range(4):
        again = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
        # Two endpoints; each is back some seconds after it has crashed.
        again.clock.advance(turn * 2.0)
        again.scheduler = world.scheduler
        again.published = world.published
        again.exchange._dependencies = dataclasses.replace(
            again.exchange._dependencies,
            scheduler=world.scheduler,
            crash_detector=again.crash_detector(world.scheduler),
        )
        sent = again.begin()
        assert sent is not None
        sent.listener.response_failed(calls.Outcome.CUT, "test")
        again.unreachable = {"e1", "e2"}
        again.clock.advance(crash_detector.CRASH_CHECK_DELAY_S)
    assert [fact.crashes for fact in world.published] == [1, 2, 3, 4]
    other = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    other.scheduler.shared.merge(world.published[-1], 0.0)
    assert other.begin() is None
    assert other.sink.status == 502


def test_a_request_that_was_answered_is_never_suspected():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.exchange.start()
    fingerprint = world.exchange._incoming.fingerprint(None)
    for _ in range(4):
        world.scheduler.crash_tracker.crashed(fingerprint, 0.0)
    exchanges.answer(world.sent[-1])
    again = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    again.exchange._dependencies = dataclasses.replace(
        again.exchange._dependencies, scheduler=world.scheduler
    )
    assert again.begin() is not None


def test_a_lost_response_of_a_live_endpoint_is_no_crash():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    sent = world.begin()
    sent.listener.response_failed(calls.Outcome.CUT, "test")
    world.clock.advance(crash_detector.CRASH_CHECK_DELAY_S)
    assert world.published == []


# Guards against a request that is lost by an error before it was sent.
def test_an_error_before_sending_tries_another_endpoint():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.slow_connect = defer.Deferred()
    world.begin()
    failing, world.slow_connect = world.slow_connect, None
    failing.errback(OverflowError("port must be 0-65535"))
    (sent,) = world.sent
    exchanges.answer(sent)
    assert world.sink.status == 200
    assert world.finished()


@pytest.fixture(params=[503, 421])
def refusal(request):
    """Return an endpoint's refusal that names no request."""
    return request.param, [(b"x-not-run", b"1")]


# Guards against callers who are told "not run" for a request that runs, as
# an endpoint wrote an earlier refusal once more.
def test_a_refusal_without_id_on_a_used_connection_is_not_believed(refusal):
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.kept = exchanges.Connection("e1")
    world.kept.is_first_request = False
    sent = world.begin()
    sent.listener.response_head(*refusal)
    assert sent.aborted
    assert len(world.sent) == 1
    assert world.sink.status == 502


def test_a_refusal_without_id_on_a_new_connection_is_believed(refusal):
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.begin().listener.response_head(*refusal)
    assert len(world.sent) == 2


# Guards against the refusal of a request's earlier attempt, written once
# more, that passes for the answer to its next attempt.
def test_an_attempt_is_not_sent_where_the_request_was_sent_before():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    world.kept = used = exchanges.Connection("e1")
    used.carried.append("q1")
    world.begin()
    assert world.sent[-1] is not used
    assert world.sent[-1].carried == ["q1"]
