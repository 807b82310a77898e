"""The newest state of every node, replicated between the nodes.

A node numbers the states that it publishes.  Counters are totals since
its start, so receiving a state twice or out of order is harmless.
"""

import collections.abc
import typing

from fireflypulley.core.gateway import peer_numbers

Loads = dict[str, tuple[peer_numbers.Count, peer_numbers.Count, int]]
"""By endpoint: requests, waiting prompt tokens, 1 if suspected."""


class NodeState(typing.NamedTuple):
    """The state that a node publishes several times a second.

    A tuple, because relays forward the states of all nodes, and field
    names would make up most of the bytes.

    ``loads`` are the node's own non-zero loads by endpoint, None if
    unchanged.  ``spent`` is what it has admitted by workspace, ``usage``
    its counts by window and workspace, ``versions`` the newest version
    that it knows of each table; these three hold changes only.
    ``store_doubted`` means that the store is, or just was, unreachable
    for the node.
    """

    node_id: str
    incarnation: peer_numbers.Count
    sequence: peer_numbers.Count
    loads: Loads | None
    spent: dict[str, peer_numbers.Amount]
    usage: dict[int, dict[str, int]]
    versions: dict[str, int]
    old_running: dict[str, int]
    holds_duty: bool = False
    store_doubted: bool = False

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that is greater for a newer state."""
        return self.incarnation, self.sequence

    def check_order(self, now_s: float) -> None:
        """Raise ``BadNumber`` if no state of a node can have this order."""
        peer_numbers.check_time_ms("incarnation", self.incarnation, now_s)
        most = peer_numbers.MAX_SEQUENCE
        peer_numbers.check("sequence", self.sequence, most)

    def merged_over(self, older: "NodeState") -> "NodeState":
        """Return this state completed with the values of an older one."""
        if older.incarnation != self.incarnation:
            return self
        loads = older.loads if self.loads is None else self.loads
        return self._replace(
            loads=loads,
            spent=older.spent | self.spent,
            usage=older.usage | self.usage,
            versions=older.versions | self.versions,
        )

    def changes_since(self, older: "NodeState") -> "NodeState":
        """Return this state without the values of an older one."""
        return self._replace(
            loads=None if self.loads == older.loads else self.loads,
            spent=_changed(self.spent, older.spent),
            usage=_changed(self.usage, older.usage),
            versions=_changed(self.versions, older.versions),
        )


_T = typing.TypeVar("_T")
_K = typing.TypeVar("_K")


def _changed(now: dict[_K, _T], older: dict[_K, _T]) -> dict[_K, _T]:
    return {
        key: value for key, value in now.items() if older.get(key) != value
    }


class StateRegistry:
    """The nodes' states, and the changes that are still to be sent.

    Of each node's usage the newest ``usage_windows`` windows are kept.
    """

    def __init__(self, this: str, usage_windows: int) -> None:
        self._node_id = this
        self._usage_windows = usage_windows
        self._states: dict[str, NodeState] = {}
        self._pending: dict[str, NodeState] = {}
        self._from_relay: dict[str, bool] = {}

    def update(self, state: NodeState, from_relay: bool) -> bool:
        """Apply another node's state; return whether it is newer."""
        if state.node_id == self._node_id:
            return False
        known = self._states.get(state.node_id)
        if known is not None and state.order <= known.order:
            return False
        self._keep(state, known)
        self._from_relay[state.node_id] = from_relay
        return True

    def update_own(self, state: NodeState) -> NodeState:
        """Apply this node's own state; return its changes."""
        known = self._states.get(self._node_id)
        changes = state if known is None else state.changes_since(known)
        self._keep(changes, known)
        self._from_relay[self._node_id] = False
        return changes

    def _keep(self, state: NodeState, known: NodeState | None) -> None:
        merged = state if known is None else state.merged_over(known)
        newest = sorted(merged.usage)[-self._usage_windows :]
        usage = {window: merged.usage[window] for window in newest}
        self._states[state.node_id] = merged._replace(usage=usage)
        waiting = self._pending.get(state.node_id)
        self._pending[state.node_id] = (
            state if waiting is None else state.merged_over(waiting)
        )

    def get(self, node_id: str) -> NodeState | None:
        """Return a node's complete state as known here."""
        return self._states.get(node_id)

    def forget(self, node_ids: collections.abc.Iterable[str]) -> None:
        """Drop the states of nodes that are gone."""
        for node_id in node_ids:
            self._states.pop(node_id, None)
            self._pending.pop(node_id, None)
            self._from_relay.pop(node_id, None)

    def all_states(self, for_relay: bool) -> tuple[NodeState, ...]:
        """Return the complete states, for a newly connected node."""
        return self._chosen(self._states, for_relay)

    def pending(self, for_relay: bool) -> tuple[NodeState, ...]:
        """Return the changes since ``mark_sent`` was last called.

        States that came from a relay are not sent to relays: a relay
        receives them from the other relays itself.
        """
        return self._chosen(self._pending, for_relay)

    def _chosen(
        self, states: dict[str, NodeState], for_relay: bool
    ) -> tuple[NodeState, ...]:
        return tuple(
            state
            for node_id, state in states.items()
            if not (for_relay and self._from_relay[node_id])
        )

    def mark_sent(self) -> None:
        """Record that the pending changes were sent to all peers."""
        self._pending.clear()
