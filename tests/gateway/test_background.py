"""Work and loops that go on after errors."""

import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from fireflypulley.core.gateway import peer_registry
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import membership

from . import test_service

THIS = peer_registry.NodeEntry("n1", "127.0.0.1:1", "a", 1)


@pytest.fixture
def errors(monkeypatch):
    """The lines of kind "error" that were logged."""
    lines = []

    def note(kind, **fields):
        if kind == "error":
            lines.append(fields)

    monkeypatch.setattr(decision_log, "note", note)
    return lines


class FailingStore:
    """A store whose first reads fail in a way that nobody expects."""

    def __init__(self, failures):
        self.failures = failures
        self.reads = 0
        self.rows = ()

    async def read(self, table):
        self.reads += 1
        if self.reads <= self.failures:
            raise KeyError("row-version")
        return types.SimpleNamespace(rows=self.rows)

    async def transact(self, writes):
        return 1


# Guards against a node that reads no list of nodes any more.
def test_reading_the_nodes_goes_on_after_an_unexpected_error(errors):
    clock = task.Clock()
    store = FailingStore(2)
    registry = peer_registry.PeerRegistry(THIS)
    members = membership.Membership(clock, registry, store)
    defer.ensureDeferred(
        background.restart_on_error(
            clock,
            lambda: members.refresh_periodically(lambda: None, lambda: True),
            loop="nodes",
        )
    )
    clock.pump([0.5] * 100)
    assert store.reads >= 4
    assert [line["loop"] for line in errors] == ["nodes", "nodes"]
    assert "row-version" in errors[0]["problem"]


def test_work_is_paused_after_an_error_and_returns_its_result(errors):
    clock = task.Clock()
    outcomes = [KeyError("a"), 7]

    async def work():
        outcome = outcomes.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    results = []
    running = defer.ensureDeferred(background.restart_on_error(clock, work))
    running.addCallback(results.append)
    assert not results
    clock.advance(background.RESTART_DELAY_S)
    assert results == [7]
    assert len(errors) == 1


def fail():
    raise KeyError("odd")


# Guards against a node whose periodic work has ended by an error.
def test_an_error_in_a_part_of_the_periodic_work_leaves_the_rest(errors):
    node = test_service._start()
    node._prober.tick = fail
    ticked = []
    node._duties.tick = ticked.append
    test_service._run_until(node, 3.0)
    assert len(ticked) >= 8
    assert {line["loop"] for line in errors} == {"tick"}


class FailingRequest:
    """An open request that can't be ended."""

    def abort(self):
        fail()


# Guards against a node that is killed because its shutdown has ended by an
# error.
def test_a_node_stops_though_a_request_can_not_be_ended(errors):
    node = test_service._start()
    node.callers._open_requests.add(FailingRequest())
    caller = test_service.Caller(node, is_idle=True)
    caller.close_idle = fail
    node.callers.connection_opened(caller)
    node.shut_down()
    test_service._run_until(node, test_service.GRACE_S + 1.0)
    assert node.reactor.stopped_s is not None
    assert node.reactor.stopped_s <= test_service.GRACE_S
    assert {line["loop"] for line in errors} == {"stop"}


# Guards against a node that never joins the others.
def test_a_node_joins_after_an_unexpected_error(errors):
    node = test_service._start()
    attempts = []

    async def join():
        attempts.append(node.reactor.seconds())
        if len(attempts) == 1:
            raise KeyError("odd")
        return b"key"

    node._membership.join = join
    defer.ensureDeferred(node._join(0.0))
    test_service._run_until(node, 2.0)
    assert len(attempts) == 2
    assert node._peer_sync is not None
