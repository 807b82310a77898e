"""Policies that choose the endpoint of a request.

They account for long prompts among short ones, sessions whose prompts
share parts, a very popular prompt part, and endpoints in other failure
domains.
"""

import abc
import dataclasses

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import fleet
from fireflypulley.core import ownership

TOKENS_PER_RUNNING = 160
"""Delay of a prompt by one running stream, in waiting prompt tokens."""
OTHER_DOMAIN_TOKENS = 1500
OTHER_DOMAIN_LOAD = 0.2
PREFIX_TOKENS_MIN = 64


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may take a request, with its current load."""

    member: fleet.Member
    running: int
    waiting_tokens: int
    suspected: bool
    slowness: float = 1.0

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint's id."""
        return self.member.endpoint_id


class PlacementPolicy(abc.ABC):
    """Chooses among endpoints that may all take the request."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: list[Candidate],
        request: calls.AdmittedRequest,
        failure_domain: str,
    ) -> Candidate | None:
        """Return the endpoint to use, None if there is none."""


class LeastLoaded(PlacementPolicy):
    """Chooses the endpoint with the fewest requests per slot."""

    def choose(
        self,
        candidates: list[Candidate],
        request: calls.AdmittedRequest,
        failure_domain: str,
    ) -> Candidate | None:
        def cost(candidate: Candidate) -> tuple[float, int]:
            spec = candidate.member.registration
            load = (
                (candidate.running + 1)
                * candidate.slowness
                / max(1, spec.slots)
            )
            if spec.failure_domain != failure_domain:
                load += OTHER_DOMAIN_LOAD
            tie = ownership.score(
                request.metadata.request_id, candidate.endpoint_id
            )
            return load, tie

        return min(candidates, key=cost, default=None)


class PrefixAffinity(PlacementPolicy):
    """Chooses the endpoint that is expected to read the prompt soonest.

    The endpoint that a prompt's shared parts hash to (rendezvous hashing)
    is assumed to have them cached.  Another one is chosen if more tokens
    wait there than the cache saves.
    """

    def choose(
        self,
        candidates: list[Candidate],
        request: calls.AdmittedRequest,
        failure_domain: str,
    ) -> Candidate | None:
        owner, saved = self._prefix_owner(candidates, request)

        def cost(candidate: Candidate) -> tuple[float, int]:
            tokens = float(candidate.waiting_tokens)
            tokens += candidate.running * TOKENS_PER_RUNNING
            if candidate.endpoint_id != owner:
                tokens += saved
            if candidate.member.registration.failure_domain != failure_domain:
                tokens += OTHER_DOMAIN_TOKENS
            tie = ownership.score(
                request.metadata.request_id, candidate.endpoint_id
            )
            return tokens * candidate.slowness, tie

        return min(candidates, key=cost, default=None)

    def _prefix_owner(
        self, candidates: list[Candidate], request: calls.AdmittedRequest
    ) -> tuple[str | None, int]:
        shared = request.metadata.shared_parts
        saved = sum(part.tokens for part in shared)
        if saved < PREFIX_TOKENS_MIN:
            return None, 0
        key = shared[-1].part_id
        ids = [candidate.endpoint_id for candidate in candidates]
        return ownership.owner(key, ids), saved


def create(is_engine: bool) -> PlacementPolicy:
    """Return the policy for a kind of service."""
    return PrefixAffinity() if is_engine else LeastLoaded()
