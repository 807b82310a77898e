"""Simple policies as baselines for our own."""

from fireflypulley.core import ownership
from fireflypulley.core import pool
from fireflypulley.core import requests
from fireflypulley.core import retries
from fireflypulley.core import routing
from fireflystandins.virtual import system


class RoundRobin(routing.Router):
    """Choose the endpoints in turn."""

    def __init__(self) -> None:
        self._count = 0

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        if not candidates:
            return None
        self._count += 1
        return candidates[self._count % len(candidates)]


class LeastReported(routing.Router):
    """Choose the least loaded endpoint, as estimated from reports."""

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        return min(
            candidates, key=lambda state: state.relative_load, default=None
        )


class TwoChoices(routing.Router):
    """Choose the less loaded of two endpoints drawn by request id."""

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        sampled = sorted(
            candidates,
            key=lambda state: ownership.score(
                request_id, state.endpoint.endpoint_id
            ),
        )[:2]
        return min(
            sampled, key=lambda state: state.relative_load, default=None
        )


class OwnOnly(routing.Router):
    """Choose the endpoint with the fewest requests of this node."""

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        return min(
            candidates,
            key=lambda state: (
                state.own_requests,
                ownership.score(request_id, state.endpoint.endpoint_id),
            ),
            default=None,
        )


class NoAffinity(routing.LeastOutstanding):
    """Choose as our router does, but ignore prefix caches."""

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        return super().choose(candidates, "", request_id)


ROUTERS: dict[str, type[routing.Router]] = {
    "ours": routing.LeastOutstanding,
    "round-robin": RoundRobin,
    "least-reported": LeastReported,
    "two-choices": TwoChoices,
    "own-only": OwnOnly,
    "no-affinity": NoAffinity,
}


class NoBudget(retries.RetryBudget):
    """Allow every retry."""

    def try_spend(self, outcome: requests.Outcome) -> bool:
        return True


def use_router(world: system.System, name: str) -> None:
    """Make all nodes of a system use a router."""
    for node in world.nodes.values():
        node.core.state.router = ROUTERS[name]()


def use_no_budget(world: system.System) -> None:
    """Make all nodes of a system retry without a budget."""
    for node in world.nodes.values():
        node.core.state.budget = NoBudget()
