"""Which nodes keep streams to each other, by their number.

Few nodes all talk to each other.  Among many, some relay, the largest
ones: the others keep streams to two of them, in their own failure domain
where there are any, and a relay passes on what it hears.  All nodes
reckon the relays from the nodes that they know, so nothing has to be
agreed; where two reckon differently, there are streams more than needed
for a while.
"""

import collections.abc
import math

from fireflypulley.core.gateway import peer_registry
from fireflypulley.core import ownership

MAX_MESH_NODES = 12
"""So many nodes all talk to each other."""
MIN_RELAYS = 4
RELAYS_PER_NODE = 2
RELAYS_TRIED_AT_ONCE = 4
"""So many relays a node tries that hears none of them."""
_RELAY_KEY = "relay"


class Overlay:
    """The streams between nodes as one node sees them."""

    def __init__(
        self,
        this: peer_registry.NodeEntry,
        others: collections.abc.Iterable[peer_registry.NodeEntry],
    ) -> None:
        self._node_id = this.node_id
        nodes = {one.node_id: one for one in (*others, this)}
        self.is_mesh = len(nodes) <= MAX_MESH_NODES
        self.relays = frozenset(self._find_relays(nodes))
        self._preferred = sorted(
            ownership.ranking(self._node_id, self.relays),
            key=lambda one: nodes[one].failure_domain != this.failure_domain,
        )

    def _find_relays(
        self, nodes: dict[str, peer_registry.NodeEntry]
    ) -> list[str]:
        ranking = ownership.ranking(_RELAY_KEY, nodes)
        if self.is_mesh:
            return ranking
        ranking.sort(key=lambda one: -nodes[one].cores)
        count = max(MIN_RELAYS, math.isqrt(len(nodes)) + 1)
        return ranking[:count]

    @property
    def is_relay(self) -> bool:
        """Return whether this node relays."""
        return self._node_id in self.relays

    def feeding_relays(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
    ) -> tuple[str, ...]:
        """Return the relays that feed this node; enough, or too few."""
        feeding = [
            one for one in self._preferred if one in connected and one in alive
        ]
        return tuple(feeding[:RELAYS_PER_NODE])

    def may_drop_others(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
    ) -> bool:
        """Return whether streams beside the wanted ones are needless."""
        enough = len(self.feeding_relays(connected, alive)) == RELAYS_PER_NODE
        return enough and not self.is_mesh

    def wanted(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
        turn: int,
    ) -> tuple[str, ...]:
        """Return the nodes to keep streams to.

        A node that has too few relays keeps those that it has just
        reached, which may be slow, and tries others by turns; those that
        are alive first.
        """
        if self.is_relay:
            return tuple(sorted(self.relays - {self._node_id}))
        feeding = self.feeding_relays(connected, alive)
        if len(feeding) == RELAYS_PER_NODE:
            return feeding
        candidates = [one for one in self._preferred if one not in feeding]
        reached = [one for one in candidates if one in connected]
        likely = [one for one in candidates if one in alive][:RELAYS_PER_NODE]
        first = turn * RELAYS_TRIED_AT_ONCE % max(1, len(candidates))
        others = (candidates + candidates)[
            first : first + RELAYS_TRIED_AT_ONCE
        ]
        return tuple(sorted({*feeding, *reached, *likely, *others}))
