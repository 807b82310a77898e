"""By how many nodes a bound over all nodes is shared.

Each node may use an equal part of a bound.  The parts add up to the bound
as long as no node counts fewer nodes than there are, so a node counts
others that it does not hear, and many as long as it knows none.
"""

from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import standstill

ASSUMED_NODES = 16
"""How many nodes share a bound as long as it is not known."""
MAX_NODES = 10_000
"""A higher number is no count of nodes."""


class BadCount(ValueError):
    """A number that is no count of nodes."""


class SharingNodes:
    """How many nodes share a bound, as far as this node may know.

    Without ``begin`` the number is taken as known from the start.
    """

    def __init__(self) -> None:
        self._known = 1
        self._known_from_s = float("-inf")
        self._standstill = standstill.Standstill()

    def begin(self) -> None:
        """Assume many nodes until ``join`` is called."""
        self._known_from_s = float("inf")

    def join(self, started_s: float, is_first: bool, now_s: float) -> None:
        """Count the nodes that are known.

        At the first start of all nodes they may not know each other yet.
        """
        self._known_from_s = now_s
        if is_first:
            self._known_from_s = started_s + limits.JOINING_S

    def note(self, known: int, now_s: float) -> None:
        """Set the number of known nodes; called several times a second.

        Raise ``BadCount``, and keep the number, if there can't be so many.
        """
        self._pass_standstill(self._standstill.tick(now_s), now_s)
        if not 1 <= known <= MAX_NODES:
            raise BadCount(f"{known} nodes")
        self._known = known

    @property
    def known(self) -> int:
        """Return how many nodes are known, many before ``join``.

        For bounds that withhold what a node may use after its start
        themselves.
        """
        if self._known_from_s == float("inf"):
            return max(self._known, ASSUMED_NODES)
        return self._known

    def count(self, now_s: float) -> int:
        """Return by how many nodes a bound is shared.

        Others may have come while this node stood still.
        """
        self._pass_standstill(self._standstill.observe(now_s), now_s)
        if now_s >= self._known_from_s:
            return self._known
        return max(self._known, ASSUMED_NODES)

    def _pass_standstill(self, stood_s: float, now_s: float) -> None:
        if not stood_s or self._known_from_s == float("inf"):
            return
        if stood_s < 0.0:
            self._known_from_s += stood_s
        heard_s = now_s + limits.JOINING_S
        self._known_from_s = max(self._known_from_s, heard_s)
