"""The nodes that are alive, and the peers to connect to.

The platform's list defines which nodes exist; heartbeats on node streams
show which of them are alive.  Nodes broadcast only deviations from the
list, so normal operation causes no traffic.
"""

import dataclasses

from fireflypulley.core import facts
from fireflypulley.core import ownership
from fireflypulley.core import topology

DIALED_PEERS = 4
HEARTBEAT_TIMEOUT_S = 3.0
DOWN_TTL_S = 60.0
MIN_PAUSE_S = 1.0  # a longer gap between checks means this node was paused
UNKNOWN_INCARNATION = 0  # of a node of which nothing is known yet
LEAVING_TTL_S = 120.0
ALIVE_CACHE_S = 1.0
MAX_NODES_PER_ENDPOINT = 24


@dataclasses.dataclass(slots=True)
class _Peer:
    incarnation: int
    last_heartbeat_s: float


class Membership:
    """The nodes, as seen by this node."""

    def __init__(
        self,
        this: topology.Node,
        incarnation: int,
        shared: facts.SharedState,
    ) -> None:
        self._this = this
        self._incarnation = incarnation
        self._shared = shared
        self._listed: dict[str, topology.Node] = {this.node_id: this}
        self._peers: dict[str, _Peer] = {}
        self._last_check_s = float("inf")
        self._missing_since_s: dict[str, float] = {}
        self._changes = 0
        self._alive: list[str] = []
        self._alive_state = (-1, -1)
        self._alive_until_s = 0.0
        self._assigned: dict[str, list[str]] = {}

    def set_listed_nodes(self, nodes: tuple[topology.Node, ...]) -> None:
        """Apply the platform's list, which may lag."""
        self._listed = {node.node_id: node for node in nodes}
        self._listed[self._this.node_id] = self._this
        self._changes += 1

    @property
    def listed_nodes(self) -> list[str]:
        """Return the ids of all listed nodes, sorted."""
        return sorted(self._listed)

    def node(self, node_id: str) -> topology.Node | None:
        """Return a listed node, or None."""
        return self._listed.get(node_id)

    def is_down(self, node_id: str, now_s: float) -> bool:
        """Return whether a peer has reported a node as down."""
        if node_id in self._peers or node_id == self._this.node_id:
            return False
        fact = self._shared.get("node", node_id)
        if not isinstance(fact, facts.NodeDown):
            return False
        return fact.down and fact.until_s > now_s

    def alive(self, now_s: float) -> list[str]:
        """Return the nodes that accept work, including this one.

        The result is cached until the state of a node changes, but for
        at most ``ALIVE_CACHE_S``, because facts expire.
        """
        state = (self._changes, self._shared.node_changes)
        if state != self._alive_state or now_s >= self._alive_until_s:
            alive = self._compute_alive(now_s)
            self._alive_state = state
            self._alive_until_s = now_s + ALIVE_CACHE_S
            if alive != self._alive:
                self._alive = alive
                self._assigned.clear()
        return self._alive

    def _compute_alive(self, now_s: float) -> list[str]:
        return sorted(
            node_id
            for node_id, node in self._listed.items()
            if not node.leaving
            and not self.is_down(node_id, now_s)
            and not self._is_leaving(node_id, now_s)
        )

    def _is_leaving(self, node_id: str, now_s: float) -> bool:
        fact = self._shared.get("node-leaving", node_id)
        if not isinstance(fact, facts.NodeLeaving):
            return False
        peer = self._peers.get(node_id)
        if peer is not None and peer.incarnation > fact.incarnation:
            return False
        return fact.until_s > now_s

    def leaving_fact(self, now_s: float) -> facts.NodeLeaving:
        """Return the fact that this node accepts no more work."""
        until_s = now_s + LEAVING_TTL_S
        return facts.NodeLeaving(
            self._this.node_id, self._incarnation, until_s
        )

    def position(self, key: str, now_s: float) -> tuple[int, int]:
        """Return this node's index among a key's nodes and their number.

        An unassigned node counts as one more, after the assigned nodes.
        """
        assigned = self.assigned_nodes(key, now_s)
        if self._this.node_id not in assigned:
            return len(assigned), len(assigned) + 1
        return assigned.index(self._this.node_id), len(assigned)

    def assigned_nodes(self, key: str, now_s: float) -> list[str]:
        """Return the nodes that send requests to the endpoint of a key.

        At most ``MAX_NODES_PER_ENDPOINT`` nodes are assigned to each
        endpoint, the same ones in every node's view.  The first of them
        owns the endpoint's budget while it is cold.
        """
        alive = self.alive(now_s)
        assigned = self._assigned.get(key)
        if assigned is None:
            assigned = ownership.ranking(key, alive)[:MAX_NODES_PER_ENDPOINT]
            self._assigned[key] = assigned
        return assigned

    def is_assigned(self, key: str, now_s: float) -> bool:
        """Return whether this node sends to the endpoint of a key.

        A node that is shutting down keeps using its endpoints.
        """
        alive = self.alive(now_s)
        if self._this.node_id not in alive:
            return True
        return self._this.node_id in self.assigned_nodes(key, now_s)

    def successor(self, key: str, now_s: float) -> str | None:
        """Return the node to hand a piece of work over to.

        A node in another failure domain is preferred.
        """
        others = [n for n in self.alive(now_s) if n != self._this.node_id]
        other_domains = [n for n in others if not self._in_same_domain(n)]
        return ownership.owner(key, other_domains or others)

    def owner(self, key: str, now_s: float) -> str | None:
        """Return the alive node that owns a key."""
        return ownership.owner(key, self.alive(now_s))

    def owns(self, key: str, now_s: float) -> bool:
        """Return whether this node owns a key."""
        return self.owner(key, now_s) == self._this.node_id

    def wanted_peers(self, now_s: float) -> tuple[str, ...]:
        """Return the nodes to dial.

        Each node dials a few others, some of them in other failure
        domains; with the accepted streams the graph stays connected.
        A node believed down that would otherwise be chosen is dialed as
        well.  Without this, two sides of a network partition that
        believe each other down would never reconnect.  Each other node
        believed down is dialed by one node, so that its report is renewed
        for as long as it is true, and no longer.
        """
        alive = self.alive(now_s)
        chosen = self._choose(alive)
        listed = [n for n, node in self._listed.items() if not node.leaving]
        believed_down = [n for n in self._choose(listed) if n not in alive]
        wanted = chosen + believed_down
        others = [n for n in listed if n not in wanted]
        return tuple(wanted + [n for n in others if self._watches(n, now_s)])

    def _watches(self, node_id: str, now_s: float) -> bool:
        """Return whether this node has to dial one that is down."""
        if not self.is_down(node_id, now_s):
            return False
        return self.owns(f"down/{node_id}", now_s)

    def _choose(self, node_ids: list[str]) -> list[str]:
        others = [n for n in node_ids if n != self._this.node_id]
        ranked = ownership.ranking(self._this.node_id, others)
        same_domain = [n for n in ranked if self._in_same_domain(n)]
        other_domains = [n for n in ranked if not self._in_same_domain(n)]
        chosen = (
            other_domains[: DIALED_PEERS // 2]
            + same_domain[: DIALED_PEERS - DIALED_PEERS // 2]
        )
        rest = [n for n in ranked if n not in chosen]
        return chosen + rest[: DIALED_PEERS - len(chosen)]

    def _in_same_domain(self, node_id: str) -> bool:
        domain = self._listed[node_id].failure_domain
        return domain == self._this.failure_domain

    @property
    def connected(self) -> tuple[str, ...]:
        """Return the nodes with an open stream."""
        return tuple(self._peers)

    def connect(
        self, node_id: str, incarnation: int, now_s: float
    ) -> facts.NodeDown | None:
        """Record a stream; return a fact if the node was believed down."""
        believed_down = self.is_down(node_id, now_s)
        known = self._known_incarnation(node_id, incarnation)
        self._peers[node_id] = _Peer(incarnation, now_s)
        self._changes += 1
        if not believed_down:
            return None
        return facts.NodeDown(node_id, known + 1, False, now_s + DOWN_TTL_S)

    def _known_incarnation(self, node_id: str, incarnation: int) -> int:
        fact = self._shared.get("node", node_id)
        if not isinstance(fact, facts.NodeDown):
            return incarnation
        return max(incarnation, fact.incarnation)

    def record_heartbeat(self, node_id: str, now_s: float) -> None:
        """Record a heartbeat."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.last_heartbeat_s = now_s

    def disconnect(self, node_id: str, now_s: float) -> facts.NodeDown | None:
        """Record that a stream has closed; return the fact to broadcast."""
        peer = self._peers.pop(node_id, None)
        if peer is None:
            return None
        self._changes += 1
        known = self._known_incarnation(node_id, peer.incarnation)
        return facts.NodeDown(node_id, known, True, now_s + DOWN_TTL_S)

    def timed_out_peers(self, now_s: float) -> list[str]:
        """Return the peers whose heartbeats have stopped.

        A node that was itself paused could not receive heartbeats, so it
        restarts the time limits instead of reporting its peers.
        """
        paused = now_s - self._last_check_s > MIN_PAUSE_S
        self._last_check_s = now_s
        if paused:
            for peer in self._peers.values():
                peer.last_heartbeat_s = now_s
            self._missing_since_s.clear()
            return []
        return [
            node_id
            for node_id, peer in self._peers.items()
            if now_s - peer.last_heartbeat_s > HEARTBEAT_TIMEOUT_S
        ]

    def missing_peers(
        self, wanted: tuple[str, ...], now_s: float
    ) -> list[facts.NodeDown]:
        """Return the facts about wanted peers that don't come up.

        Where a fact about a node holds, it stays: others may reach it.  A
        report that it is down is renewed before it ends.
        """
        self._missing_since_s = {
            node_id: self._missing_since_s.get(node_id, now_s)
            for node_id in wanted
            if node_id not in self._peers
        }
        reports = [
            self._missing_fact(node_id, now_s)
            for node_id, since_s in self._missing_since_s.items()
            if now_s - since_s > HEARTBEAT_TIMEOUT_S
        ]
        return [report for report in reports if report is not None]

    def _missing_fact(
        self, node_id: str, now_s: float
    ) -> facts.NodeDown | None:
        """Return what to report of a missing peer, None if nothing is new."""
        until_s = now_s + DOWN_TTL_S
        known = self._shared.get("node", node_id)
        if not isinstance(known, facts.NodeDown):
            return facts.NodeDown(node_id, UNKNOWN_INCARNATION, True, until_s)
        if not known.down or known.until_s > until_s - facts.RENEWAL_S:
            return None
        return dataclasses.replace(known, until_s=until_s)

    def refute(self, fact: facts.NodeDown) -> facts.NodeDown | None:
        """Return the fact that this node is alive, if ``fact`` denies it."""
        if fact.node_id != self._this.node_id or not fact.down:
            return None
        if UNKNOWN_INCARNATION < fact.incarnation < self._incarnation:
            return None
        self._incarnation = max(self._incarnation, fact.incarnation + 1)
        return dataclasses.replace(
            fact, incarnation=self._incarnation, down=False
        )
