"""How a node registers, and what it learns of earlier starts."""

import dataclasses
import json
import types

import pytest
from twisted.internet import defer
from twisted.internet import task

from fireflypulley.core.gateway import peer_registry
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import membership

STARTED_MS = 1_000_000
THIS = peer_registry.NodeEntry("n1", "127.0.0.1:1", "a", STARTED_MS)


class Store:
    """A store that holds the rows of some nodes."""

    def __init__(self, entries):
        self.rows = [
            types.SimpleNamespace(
                key=entry.node_id,
                value=json.dumps(dataclasses.asdict(entry)).encode(),
            )
            for entry in entries
        ]
        self.written = []

    async def read(self, table):
        return types.SimpleNamespace(rows=self.rows)

    async def transact(self, writes):
        self.written += [write.key for write in writes]


def _joined(*entries):
    """Return the membership of a node that has joined such nodes."""
    registry = peer_registry.PeerRegistry(THIS)
    store = Store(entries)
    joined = membership.Membership(task.Clock(), registry, store)
    defer.ensureDeferred(joined.join())
    assert THIS.node_id in store.written
    return joined


def _node(node_id, started_s_ago):
    started_ms = STARTED_MS - int(started_s_ago * 1000)
    return peer_registry.NodeEntry(node_id, f"{node_id}:1", "a", started_ms)


@pytest.mark.parametrize(
    "others", [(), (_node("n2", 0.3),), (_node("n2", -0.3), _node("n3", 0.1))]
)
def test_nodes_that_start_together_for_the_first_time(others):
    assert _joined(*others).is_first_start


# Guards against nodes that spend a slack that was spent before.
@pytest.mark.parametrize(
    "others",
    [
        (_node("n1", 60.0),),
        (_node("n1", 2.0), _node("n2", 0.1)),
        (_node("n2", 60.0),),
        (_node("n2", 0.1), _node("n3", 60.0)),
    ],
)
def test_nodes_that_ran_before_or_join_others(others):
    assert not _joined(*others).is_first_start


# Guards against a row that makes each later start of its node count as old.
def test_a_row_from_the_future_is_passed_over_with_a_line(monkeypatch):
    noted = []
    monkeypatch.setattr(
        decision_log, "note", lambda kind, **fields: noted.append(kind)
    )
    joined = _joined(_node("n2", -1e9), _node("n3", 1.0))
    assert joined._peer_registry.node_ids == ("n3",)
    assert noted.count("unreadable") == 1


# Guards against a node that is killed again and again and has the retries
# of a start each time.
def test_a_node_knows_from_its_row_when_it_had_started():
    assert _joined(_node("n1", 3.0)).since_previous_s == 3.0
    assert _joined(_node("n2", 3.0)).since_previous_s == float("inf")


def test_a_node_that_has_not_joined_may_have_run_before():
    registry = peer_registry.PeerRegistry(THIS)
    starting = membership.Membership(task.Clock(), registry, Store(()))
    assert not starting.is_first_start
