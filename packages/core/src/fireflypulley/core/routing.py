"""Chooses the endpoint for a request."""

import abc
import collections.abc

from fireflypulley.core import ownership
from fireflypulley.core import pool

AFFINITY_SLACK = 0.25
NEAR_BONUS = 0.02
PRICE_WEIGHT = 0.05

Candidates = collections.abc.Sequence[pool.EndpointState]


class Router(abc.ABC):
    """Picks one of the endpoints that have room."""

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        """Return the endpoint to use, or None without candidates."""


class TwoChoices(Router):
    """The cheaper of two endpoints drawn by the request's hash.

    Load reports lag, so all nodes taking the best of all would meet at
    one endpoint.  A prompt whose start an endpoint has in its prefix
    cache goes there while it is not much busier than the alternative.
    """

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
        self, candidates: Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        if not candidates:
            return None
        drawn = _drawn(candidates, request_id)
        best = min(drawn, key=self.cost)
        if not prefix:
            return best
        home = _drawn(candidates, prefix)[0]
        if self.cost(home) <= self.cost(best) + AFFINITY_SLACK:
            return home
        return best


def _drawn(candidates: Candidates, key: str) -> list[pool.EndpointState]:
    return sorted(
        candidates,
        key=lambda state: -ownership.score(key, state.endpoint.endpoint_id),
    )[:2]


def create(domain: str) -> Router:
    """Return the router of a node in a failure domain."""
    return TwoChoices(domain)
