"""The nodes that this node knows, and when each was last seen."""

import dataclasses

from fireflypulley.core.gateway import peer_numbers

ALIVE_WITHIN_S = 1.0
RELAYED_ALIVE_WITHIN_S = 2.0
"""With relays, each hop waits for its next heartbeat."""
FORGET_AFTER_S = 60.0
"""A node that was not seen for this long is dropped."""
COUNTED_WITHIN_S = 20.0
"""An unreachable node still counts in shared limits for this long."""
SHARING_WITHIN_S = FORGET_AFTER_S
"""An unreachable node still has its part of a bound that is kept by parts
for this long: it may use it beyond a partition.  Longer than the window of
any such bound."""


@dataclasses.dataclass(frozen=True, slots=True)
class NodeEntry:
    """A node's own entry.

    ``cores`` is the number of processor cores that it may use.
    """

    node_id: str
    address: str
    failure_domain: str
    started_ms: peer_numbers.Count
    cores: float = 1.0

    def check(self, now_s: float) -> None:
        """Raise ``BadNumber`` if no node can have this entry."""
        peer_numbers.check_time_ms("started_ms", self.started_ms, now_s)


@dataclasses.dataclass(slots=True)
class _Known:
    entry: NodeEntry
    last_seen_s: float
    is_sharing: bool = True


class PeerRegistry:
    """The other nodes by id."""

    def __init__(self, this: NodeEntry) -> None:
        self.this = this
        self.alive_within_s = ALIVE_WITHIN_S
        self._known: dict[str, _Known] = {}
        self._gone_ms: dict[str, int] = {}

    def put(self, entry: NodeEntry, now_s: float) -> bool:
        """Apply an entry; return whether it is new.

        Raise ``BadNumber``, and apply nothing, if it can be no entry.
        """
        if entry.node_id == self.this.node_id:
            return False
        entry.check(now_s)
        known = self._known.get(entry.node_id)
        if known is not None:
            if entry.started_ms <= known.entry.started_ms:
                return False
            known.entry = entry
            known.is_sharing = True
            return True
        stale_s = now_s - self.alive_within_s
        is_sharing = self._gone_ms.get(entry.node_id) != entry.started_ms
        self._known[entry.node_id] = _Known(entry, stale_s, is_sharing)
        return True

    def note_seen(self, node_id: str, now_s: float) -> None:
        """Record that a state of a node was received."""
        known = self._known.get(node_id)
        if known is not None:
            known.last_seen_s = now_s
            known.is_sharing = True

    def get(self, node_id: str) -> NodeEntry | None:
        """Return a node's entry."""
        known = self._known.get(node_id)
        return None if known is None else known.entry

    @property
    def node_ids(self) -> tuple[str, ...]:
        """Return the ids of all known nodes but this one."""
        return tuple(sorted(self._known))

    def alive(self, now_s: float) -> list[str]:
        """Return the ids of live nodes including this one, sorted."""
        alive = [
            node_id
            for node_id, known in self._known.items()
            if now_s - known.last_seen_s < self.alive_within_s
        ]
        return sorted([*alive, self.this.node_id])

    def node_count(self, now_s: float) -> int:
        """Return how many nodes share limits, including this one.

        A node that receives nothing from any other is cut off itself and
        counts all the nodes that it knows.
        """
        if self.alive(now_s) == [self.this.node_id]:
            return len(self._known) + 1
        recent = sum(
            now_s - known.last_seen_s < COUNTED_WITHIN_S
            for known in self._known.values()
        )
        return recent + 1

    def sharing_count(self, now_s: float) -> int:
        """Return how many nodes may use a part of a bound.

        The row of a node that is gone is read again and again; it counts
        once.
        """
        others = sum(
            known.is_sharing and now_s - known.last_seen_s < SHARING_WITHIN_S
            for known in self._known.values()
        )
        return others + 1

    def silent_for(self, node_id: str, now_s: float) -> float:
        """Return how long ago a node was last seen."""
        known = self._known.get(node_id)
        return float("inf") if known is None else now_s - known.last_seen_s

    def recent(self, now_s: float) -> list[NodeEntry]:
        """Return the other nodes that were seen recently.

        If there are none, as after a long partition, return all known
        ones.
        """
        everyone = [known.entry for known in self._known.values()]
        recent = [
            known.entry
            for known in self._known.values()
            if now_s - known.last_seen_s < COUNTED_WITHIN_S
        ]
        return sorted(recent or everyone, key=lambda entry: entry.node_id)

    def forget_gone(self, now_s: float) -> list[str]:
        """Drop the nodes that are gone; return their ids."""
        gone = [
            node_id
            for node_id, known in self._known.items()
            if now_s - known.last_seen_s >= FORGET_AFTER_S
        ]
        for node_id in gone:
            known = self._known.pop(node_id)
            self._gone_ms[node_id] = known.entry.started_ms
        return gone
