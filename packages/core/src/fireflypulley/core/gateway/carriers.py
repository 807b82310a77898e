"""The nodes that may carry connections for a node without own links.

Each start of a node has a state here.  Joins, stops and failures move it
between states; docs/design/TUNNELS.md has the table.
"""

import collections.abc
import dataclasses
import enum

from fireflypulley.core.gateway import peer_registry

PAUSE_S = 1.0
"""A node that could not be reached, or that had no way to an endpoint, is
not asked again for this long."""
MIN_CARRY_S = 0.5
"""With less time left before its end, a leaving node carries no more."""

_Start = tuple[str, int]
_Endpoint = tuple[str, int]


class CarrierState(enum.StrEnum):
    """What a start of a node does for a node without own links.

    NEW: it has not carried yet.  CARRYING: it has opened a tunnel.
    LEAVING: it stops, and carries single requests while no other node
    can.  GONE: it could not be reached, or its time is over.
    """

    NEW = "new"
    CARRYING = "carrying"
    LEAVING = "leaving"
    GONE = "gone"


@dataclasses.dataclass(slots=True)
class _Carrier:
    """One start of a node.

    ``until_s`` is when a leaving node ends.  A node that is gone is asked
    again at ``asked_from_s``, infinite if it has ended.
    """

    started_ms: int
    state: CarrierState = CarrierState.NEW
    until_s: float = float("inf")
    asked_from_s: float = 0.0
    refused_until_s: dict[_Endpoint, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def is_stopping(self) -> bool:
        """Return whether the node has said that it stops."""
        return self.until_s < float("inf")


class Carriers:
    """The states of the other nodes, and the order in which to ask them."""

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self._carriers: dict[str, _Carrier] = {}

    def state_of(self, start: _Start, now_s: float) -> CarrierState:
        """Return the state of a start of a node."""
        node_id, started_ms = start
        carrier = self._carriers.get(node_id)
        if carrier is None or carrier.started_ms < started_ms:
            return CarrierState.NEW
        if carrier.started_ms > started_ms:
            return CarrierState.GONE
        self._pass_time(carrier, now_s)
        return carrier.state

    def _pass_time(self, carrier: _Carrier, now_s: float) -> None:
        """Apply what happens without a message."""
        if carrier.state is CarrierState.GONE:
            if now_s >= carrier.asked_from_s:
                carrier.state = CarrierState.NEW
                if carrier.is_stopping:
                    carrier.state = CarrierState.LEAVING
        if carrier.state is CarrierState.LEAVING:
            if now_s >= carrier.until_s:
                carrier.state = CarrierState.GONE
                carrier.asked_from_s = float("inf")

    def _current(self, start: _Start, now_s: float) -> _Carrier | None:
        """Return a start's entry, None if a later start is known."""
        node_id, started_ms = start
        carrier = self._carriers.get(node_id)
        if carrier is None or carrier.started_ms < started_ms:
            carrier = self._carriers[node_id] = _Carrier(started_ms)
        if carrier.started_ms > started_ms:
            return None
        self._pass_time(carrier, now_s)
        return carrier

    # What the nodes do

    def note_carried(self, start: _Start, now_s: float) -> None:
        """Record that a node has opened a tunnel."""
        carrier = self._current(start, now_s)
        if carrier is not None and not carrier.is_stopping:
            carrier.state = CarrierState.CARRYING

    def note_leaving(
        self, start: _Start, left_s: float | None, now_s: float
    ) -> None:
        """Record that a node stops and carries for ``left_s`` more.

        None if it has not said so, as an older node: it carries no more.
        """
        carrier = self._current(start, now_s)
        if carrier is None:
            return
        carrier.until_s = min(carrier.until_s, now_s + (left_s or 0.0))
        if carrier.state is not CarrierState.GONE:
            carrier.state = CarrierState.LEAVING
        self._pass_time(carrier, now_s)

    def note_unreachable(self, start: _Start, now_s: float) -> None:
        """Record that no stream to a node could be opened."""
        carrier = self._current(start, now_s)
        if carrier is not None and carrier.asked_from_s < float("inf"):
            carrier.state = CarrierState.GONE
            carrier.asked_from_s = now_s + PAUSE_S

    def note_refused(
        self, start: _Start, endpoint: _Endpoint, now_s: float
    ) -> None:
        """Record that a node has no way to one start of an endpoint."""
        carrier = self._current(start, now_s)
        if carrier is not None:
            self._forget_old_refusals(carrier, now_s)
            carrier.refused_until_s[endpoint] = now_s + PAUSE_S

    def _forget_old_refusals(self, carrier: _Carrier, now_s: float) -> None:
        carrier.refused_until_s = {
            endpoint: until_s
            for endpoint, until_s in carrier.refused_until_s.items()
            if until_s > now_s
        }

    # The choice

    def in_order(
        self,
        peers: collections.abc.Sequence[peer_registry.NodeEntry],
        endpoint: _Endpoint,
        needed_s: float,
        now_s: float,
    ) -> list[peer_registry.NodeEntry]:
        """Return the nodes to ask for a tunnel, the best first.

        ``peers`` are the live nodes in random order, ``needed_s`` is how
        long the request is expected to take.  Nodes that stay come first,
        those of the own failure domain before others; then nodes that
        stop and outlast the request, the one that ends last first.
        """
        self._forget_absent(peers)
        usable = [
            peer
            for peer in peers
            if self._may_ask(peer, endpoint, needed_s, now_s)
        ]
        return sorted(usable, key=lambda peer: self._rank(peer, now_s))

    def _may_ask(
        self,
        peer: peer_registry.NodeEntry,
        endpoint: _Endpoint,
        needed_s: float,
        now_s: float,
    ) -> bool:
        carrier = self._current((peer.node_id, peer.started_ms), now_s)
        if carrier is None or carrier.state is CarrierState.GONE:
            return False
        if carrier.refused_until_s.get(endpoint, now_s) > now_s:
            return False
        if carrier.state is not CarrierState.LEAVING:
            return True
        return now_s + max(needed_s, MIN_CARRY_S) <= carrier.until_s

    def asked_from_s(
        self,
        peers: collections.abc.Sequence[peer_registry.NodeEntry],
        endpoints: collections.abc.Collection[_Endpoint],
        needed_s: float,
        now_s: float,
    ) -> float:
        """Return when a node may be asked for a tunnel to an endpoint.

        That is the first of the nodes, for any of the endpoints.  ``peers``
        and ``needed_s`` are as for ``in_order``.  Infinite if only a later
        start of a node could carry.
        """
        return min(
            (
                self._asked_from_s(peer, endpoints, needed_s, now_s)
                for peer in peers
            ),
            default=float("inf"),
        )

    def _asked_from_s(
        self,
        peer: peer_registry.NodeEntry,
        endpoints: collections.abc.Collection[_Endpoint],
        needed_s: float,
        now_s: float,
    ) -> float:
        carrier = self._current((peer.node_id, peer.started_ms), now_s)
        if carrier is None or not endpoints:
            return float("inf")
        from_s = now_s
        if carrier.refused_until_s:
            refused_s = carrier.refused_until_s
            from_s = min(refused_s.get(one, now_s) for one in endpoints)
            from_s = max(from_s, now_s)
        if carrier.state is CarrierState.GONE:
            from_s = max(from_s, carrier.asked_from_s)
        if from_s + max(needed_s, MIN_CARRY_S) > carrier.until_s:
            return float("inf")
        return from_s

    def _rank(
        self, peer: peer_registry.NodeEntry, now_s: float
    ) -> tuple[float, ...]:
        carrier = self._carriers[peer.node_id]
        is_remote = peer.failure_domain != self._failure_domain
        if carrier.state is CarrierState.LEAVING:
            # By seconds, so that those that stop together share the work.
            return (1, -int(carrier.until_s), is_remote)
        return (0, is_remote)

    def _forget_absent(
        self, peers: collections.abc.Sequence[peer_registry.NodeEntry]
    ) -> None:
        """Drop new nodes that are not alive, so that the list stays short.

        What is known of a start that leaves or is gone is kept until a
        later start replaces it.
        """
        alive = {peer.node_id for peer in peers}
        for node_id, carrier in list(self._carriers.items()):
            keeps = carrier.state in (CarrierState.LEAVING, CarrierState.GONE)
            if node_id not in alive and not keeps:
                del self._carriers[node_id]
