"""The policies that choose the endpoint for a request."""

import abc
import collections.abc

from fireflypulley.core import ownership
from fireflypulley.core import pool

AFFINITY_SLACK_REQUESTS = 2  # accepted imbalance for a cached prefix

Candidates = collections.abc.Sequence[pool.EndpointState]


class Router(abc.ABC):
    """Chooses one of the endpoints with free capacity."""

    @abc.abstractmethod
    def choose(
        self, candidates: Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        """Return the endpoint to use, or None if there are no candidates."""


class LeastOutstanding(Router):
    """Chooses the endpoint with the fewest requests of this node.

    Ties are resolved by the lower load of two endpoints selected by the
    request's hash.  Load reports lag: if they came first, all nodes would
    send to the same endpoint, the one that was last seen idle.  A prompt
    goes to the endpoint selected by the hash of its prefix, which likely
    has the prefix cached, unless that endpoint exceeds the minimum by
    more than ``AFFINITY_SLACK_REQUESTS``.
    """

    def choose(
        self, candidates: Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        if not candidates:
            return None
        fewest = min(state.own_requests for state in candidates)
        if prefix:
            preferred = _ranked(candidates, prefix)[0]
            if preferred.own_requests <= fewest + AFFINITY_SLACK_REQUESTS:
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
    """Return the router used by nodes."""
    return LeastOutstanding()
