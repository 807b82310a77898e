"""Chooses the endpoint for a request."""

import abc
import collections.abc

from fireflypulley.core import ownership
from fireflypulley.core import pool

AFFINITY_SLACK = 2

Candidates = collections.abc.Sequence[pool.EndpointState]


class Router(abc.ABC):
    """Picks one of the endpoints that have room."""

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        """Return the endpoint to use, or None without candidates."""


class LeastOutstanding(Router):
    """The endpoint with the fewest requests of this node.

    Of those with equally few, the less loaded of two drawn by the
    request's hash.  Load reports lag, so nodes that trusted them first
    would all meet at the endpoint that was idle a moment ago.  A prompt
    whose start an endpoint has in its prefix cache goes there while it
    has only a few requests more.
    """

    def choose(
        self, candidates: Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        if not candidates:
            return None
        fewest = min(state.own_requests for state in candidates)
        if prefix:
            preferred = _ranked(candidates, prefix)[0]
            if preferred.own_requests <= fewest + AFFINITY_SLACK:
                return preferred
        least_loaded = [
            state for state in candidates if state.own_requests == fewest
        ]
        two_choices = _ranked(least_loaded, request_id)[:2]
        return min(two_choices, key=lambda state: state.relative_load)


def _ranked(candidates: Candidates, key: str) -> list[pool.EndpointState]:
    return sorted(
        candidates,
        key=lambda state: -ownership.score(key, state.endpoint.endpoint_id),
    )


def create() -> Router:
    """Return the router that nodes use."""
    return LeastOutstanding()
