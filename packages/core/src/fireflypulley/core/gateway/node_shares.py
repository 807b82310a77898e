"""A node's part of a rate that an endpoint takes from all nodes."""

from fireflypulley.core import ownership

TURN_TTL_S = 1.0
MIN_RATE_PER_S = 0.1
"""An endpoint is sent a request at least this often by all nodes, since
only its answers show that its limit has ended."""


class NodeShareLimiter:
    """Limits requests to an endpoint to the node's part of a rate.

    A node whose part is less than one request per second starts with a
    delay derived from its id, and loses a turn that it does not use.
    Otherwise the first requests of many nodes would arrive together.
    """

    def __init__(self, node_id: str = "") -> None:
        self._node_id = node_id
        self._next_s: dict[str, float] = {}

    def may_send(
        self, endpoint_id: str, rate_per_s: float, nodes: int, now_s: float
    ) -> bool:
        """Return whether this node may send one request there now."""
        return self.wait_s(endpoint_id, rate_per_s, nodes, now_s) <= 0.0

    def wait_s(
        self, endpoint_id: str, rate_per_s: float, nodes: int, now_s: float
    ) -> float:
        """Return how long this node has to wait for its turn."""
        pause_s = self._pause_s(rate_per_s, nodes)
        next_s = self._next_s.get(endpoint_id, float("-inf"))
        if pause_s > TURN_TTL_S and now_s > next_s + TURN_TTL_S:
            point = ownership.fraction(f"{self._node_id}/{endpoint_id}")
            next_s = self._next_s[endpoint_id] = now_s + point * pause_s
        return max(0.0, next_s - now_s)

    def note_sent(
        self, endpoint_id: str, rate_per_s: float, nodes: int, now_s: float
    ) -> None:
        """Count a request to an endpoint."""
        pause_s = self._pause_s(rate_per_s, nodes)
        self._next_s[endpoint_id] = now_s + pause_s

    def _pause_s(self, rate_per_s: float, nodes: int) -> float:
        return nodes / max(rate_per_s, MIN_RATE_PER_S)
