"""A request that meets endpoints which name a limit."""

import pytest
from twisted.internet import defer

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import permit_gate

from . import exchanges

GIVEN = permit_gate.Permit(0.0, permit_gate.PermitReason.ISSUED, "n1")
REFUSED = permit_gate.Permit(0.8, permit_gate.PermitReason.PACED, "n1")
UNANSWERED = permit_gate.Permit(0.25, permit_gate.PermitReason.UNANSWERED)
KINDS = [exchanges.AT_MOST_ONCE, exchanges.STREAM]


def _world(*limited, kind=exchanges.AT_MOST_ONCE, permits=(), **fields):
    world = exchanges.World(kind, **fields)
    for endpoint_id in limited:
        world.scheduler.limited.limits.note_named((endpoint_id, 1), 2.0, 0.0)
    world.permits = list(permits)
    return world


def _loads(world):
    return [
        world.scheduler.loads.of(member) for member in world.scheduler.fleet
    ]


@pytest.mark.parametrize("kind", KINDS)
def test_a_limited_endpoint_is_used_with_a_permit(kind):
    world = _world("e1", "e2", kind=kind, permits=[GIVEN])
    connection = world.begin()
    assert world.permit_requests == [connection.endpoint_id]
    assert len(world.sent) == 1


@pytest.mark.parametrize("refused", [REFUSED, UNANSWERED])
def test_another_endpoint_takes_what_a_limited_one_may_not(refused):
    world = _world("e1", permits=[refused])
    unlimited = world.begin()
    if world.permit_requests:
        assert world.pools[("e1", 1)].released
    assert unlimited.listener is not None
    assert unlimited.endpoint_id == "e2"
    exchanges.answer(unlimited)
    assert world.sink.status == 200
    assert world.finished()


def test_where_all_are_limited_a_caller_is_refused_at_once_with_its_turn():
    world = _world("e1", "e2", permits=[REFUSED, REFUSED])
    world.begin()
    assert len(world.permit_requests) == 2
    assert not [one for one in world.sent if one.listener]
    assert world.sink.status == 503
    assert world.sink.headers[0] == (b"retry-after", b"0.80")
    reason = calls.RefusalReason.ENDPOINTS_LIMITED
    assert world.scheduler.refused[reason] == 1
    assert world.finished()


def test_endpoints_without_a_permit_are_neither_suspected_nor_failed():
    world = _world("e1", "e2", permits=[REFUSED, UNANSWERED])
    world.begin()
    for load in _loads(world):
        assert not load.is_suspected(world.clock.seconds())
        assert not load.failures
    assert world.scheduler.evaluator.outcomes[calls.Outcome.WITHHELD] == 2
    assert not world.scheduler.retry_policy.retried


def test_a_closed_endpoint_is_not_asked_again_before_its_time():
    world = _world("e1", "e2", permits=[REFUSED, REFUSED])
    world.begin()
    choose = world.scheduler.choose
    request = world.exchange._record.request
    assert not hasattr(choose(request, frozenset(), 0.7), "member")
    assert hasattr(choose(request, frozenset(), 0.9), "member")


def test_a_caller_that_leaves_while_a_permit_is_asked_for_sends_nothing():
    answer = defer.Deferred()
    world = _world("e1", "e2", permits=[answer])
    world.begin()
    world.exchange.caller_left()
    answer.callback(GIVEN)
    assert not [one for one in world.sent if one.listener]
    assert world.finished()


def test_an_endpoint_that_leaves_while_a_permit_is_asked_for_gets_nothing():
    answer = defer.Deferred()
    world = _world("e1", "e2", permits=[answer, GIVEN])
    world.begin()
    (first,) = world.permit_requests
    world.scheduler.fleet.remove(first, 0.0, False)
    answer.callback(GIVEN)
    sent = [one.endpoint_id for one in world.sent if one.listener]
    assert sent == [{"e1": "e2", "e2": "e1"}[first]]


def test_a_connection_that_closes_while_a_permit_is_asked_for_is_not_used():
    answer = defer.Deferred()
    world = _world("e1", "e2", permits=[answer, GIVEN])
    world.begin()
    world.sent[0].is_usable = False
    answer.callback(GIVEN)
    used = [one for one in world.sent if one.listener]
    assert len(used) == 1
    assert used[0].is_usable


def test_a_retry_needs_a_permit_too():
    world = _world(
        "e1",
        "e2",
        kind=exchanges.document.RouteKind.IDEMPOTENT,
        permits=[GIVEN, GIVEN],
    )
    connection = world.begin()
    connection.listener.response_failed(calls.Outcome.CUT, "lost")
    assert len(world.permit_requests) == 2
    exchanges.answer(world.sent[-1])
    assert world.sink.status == 200


def test_what_may_have_run_is_not_called_refused_for_a_limit():
    world = _world(
        "e1",
        "e2",
        kind=exchanges.document.RouteKind.IDEMPOTENT,
        permits=[GIVEN, REFUSED],
    )
    connection = world.begin()
    connection.listener.response_failed(calls.Outcome.CUT, "lost")
    assert world.sink.status not in exchanges.NOT_EXECUTED_STATUSES
