"""Selects which nodes keep streams to each other.

A small number of nodes forms a full mesh.  In a larger system the largest
nodes act as relays: every other node keeps streams to two of them, if
possible in its own failure domain, and relays forward what they receive.
Each node computes the relays from the nodes that it knows, without
agreement; while two nodes compute different relays, there are more
streams than necessary.
"""

import collections.abc
import math

from fireflypulley.core.gateway import peer_registry
from fireflypulley.core import ownership

MAX_MESH_NODES = 12
"""Up to this many nodes form a full mesh."""
MIN_RELAYS = 4
RELAYS_PER_NODE = 2
RELAYS_TRIED_AT_ONCE = 4
"""How many relays a node tries per turn while it has too few."""
_RELAY_KEY = "relay"


class Overlay:
    """The streams between nodes as one node computes them."""

    def __init__(
        self,
        this: peer_registry.NodeEntry,
        others: collections.abc.Iterable[peer_registry.NodeEntry],
    ) -> None:
        self._node_id = this.node_id
        nodes = {node.node_id: node for node in (*others, this)}
        self.is_mesh = len(nodes) <= MAX_MESH_NODES
        self.relays = frozenset(self._find_relays(nodes))
        self._preferred = sorted(
            ownership.ranking(self._node_id, self.relays),
            key=lambda node_id: (
                nodes[node_id].failure_domain != this.failure_domain
            ),
        )

    def _find_relays(
        self, nodes: dict[str, peer_registry.NodeEntry]
    ) -> list[str]:
        ranking = ownership.ranking(_RELAY_KEY, nodes)
        if self.is_mesh:
            return ranking
        ranking.sort(key=lambda node_id: -nodes[node_id].cores)
        count = max(MIN_RELAYS, math.isqrt(len(nodes)) + 1)
        return ranking[:count]

    @property
    def is_relay(self) -> bool:
        """Return whether this node is a relay."""
        return self._node_id in self.relays

    def feeding_relays(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
    ) -> tuple[str, ...]:
        """Return the live, connected relays to use, possibly too few."""
        feeding = [
            node_id
            for node_id in self._preferred
            if node_id in connected and node_id in alive
        ]
        return tuple(feeding[:RELAYS_PER_NODE])

    def may_drop_others(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
    ) -> bool:
        """Return whether streams other than the wanted ones can close."""
        enough = len(self.feeding_relays(connected, alive)) == RELAYS_PER_NODE
        return enough and not self.is_mesh

    def wanted(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
        turn: int,
    ) -> tuple[str, ...]:
        """Return the nodes to keep streams to.

        A node with too few relays keeps those that it has just connected
        to, since they may only be slow, prefers relays that are alive and
        tries the others in turn.
        """
        if self.is_relay:
            return tuple(sorted(self.relays - {self._node_id}))
        feeding = self.feeding_relays(connected, alive)
        if len(feeding) == RELAYS_PER_NODE:
            return feeding
        candidates = [
            node_id for node_id in self._preferred if node_id not in feeding
        ]
        reached = [node_id for node_id in candidates if node_id in connected]
        likely = [node_id for node_id in candidates if node_id in alive][
            :RELAYS_PER_NODE
        ]
        first = turn * RELAYS_TRIED_AT_ONCE % max(1, len(candidates))
        others = (candidates + candidates)[
            first : first + RELAYS_TRIED_AT_ONCE
        ]
        return tuple(sorted({*feeding, *reached, *likely, *others}))
