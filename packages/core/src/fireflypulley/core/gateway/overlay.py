"""Which nodes keep streams to each other, by their number.

Few nodes all talk to each other.  Among many, some relay: the others
keep streams to two of them, and a relay passes on what it hears.  All
nodes reckon the relays from the nodes that they know, so nothing has to
be agreed; where two reckon differently, there are streams more than
needed for a while.
"""

import collections.abc
import math

from fireflypulley.core import ownership

MESH_NODES = 12
"""So many nodes all talk to each other."""
MIN_RELAYS = 4
RELAYS_A_NODE = 2
TRIED_AT_ONCE = 4
"""So many relays a node tries that hears none of them."""
_RELAY_KEY = "relay"


class Overlay:
    """The streams between nodes as one node sees them."""

    def __init__(
        self, this: str, others: collections.abc.Iterable[str]
    ) -> None:
        self._this = this
        self._nodes = sorted({this, *others})
        self.is_mesh = len(self._nodes) <= MESH_NODES
        self.relays = self._find_relays()

    def _find_relays(self) -> frozenset[str]:
        if self.is_mesh:
            return frozenset(self._nodes)
        count = max(MIN_RELAYS, math.isqrt(len(self._nodes)) + 1)
        ranking = ownership.ranking(_RELAY_KEY, self._nodes)
        return frozenset(ranking[:count])

    @property
    def is_relay(self) -> bool:
        """Return whether this node relays."""
        return self._this in self.relays

    @property
    def relays_others(self) -> bool:
        """Return whether this node passes on what others tell."""
        return self.is_relay and not self.is_mesh

    def proven(
        self,
        connected: collections.abc.Container[str],
        alive: collections.abc.Container[str],
    ) -> tuple[str, ...]:
        """Return the relays that feed this node; enough, or too few."""
        ranking = ownership.ranking(self._this, self.relays)
        found = [one for one in ranking if one in connected and one in alive]
        return tuple(found[:RELAYS_A_NODE])

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
            return tuple(sorted(self.relays - {self._this}))
        found = self.proven(connected, alive)
        if len(found) == RELAYS_A_NODE:
            return found
        ranking = ownership.ranking(self._this, self.relays)
        rest = [one for one in ranking if one not in found]
        reached = [one for one in rest if one in connected]
        likely = [one for one in rest if one in alive][:RELAYS_A_NODE]
        first = turn * TRIED_AT_ONCE % max(1, len(rest))
        others = (rest + rest)[first : first + TRIED_AT_ONCE]
        return tuple(sorted({*found, *reached, *likely, *others}))
