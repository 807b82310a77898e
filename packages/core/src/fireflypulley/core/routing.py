"""Chooses the endpoint for a request.

Load decides first; a prompt whose start an endpoint has in its prefix
cache goes there while that endpoint is not much busier than the rest.
"""

import collections.abc

from fireflypulley.core import ownership
from fireflypulley.core import pool

AFFINITY_SLACK = 0.25
NEAR_BONUS = 0.02
PRICE_WEIGHT = 0.05


class Router:
    """Orders candidates; ``domain`` is the node's failure domain."""

    def __init__(self, domain: str) -> None:
        self._domain = domain

    def cost(self, state: pool.EndpointState) -> float:
        """Return what one more request there costs; lower is better."""
        endpoint = state.endpoint
        cost = (state.load + 1) / endpoint.capacity
        if endpoint.failure_domain == self._domain:
            cost -= NEAR_BONUS
        return cost + PRICE_WEIGHT * endpoint.price_per_hour

    def choose(
        self,
        candidates: collections.abc.Sequence[pool.EndpointState],
        prefix: str,
        request_id: str,
    ) -> pool.EndpointState | None:
        """Return the endpoint to use, or None without candidates."""
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda state: (
                self.cost(state),
                ownership.score(request_id, state.endpoint.endpoint_id),
            ),
        )
        if not prefix:
            return best
        home = max(
            candidates,
            key=lambda state: ownership.score(
                prefix, state.endpoint.endpoint_id
            ),
        )
        if self.cost(home) <= self.cost(best) + AFFINITY_SLACK:
            return home
        return best
