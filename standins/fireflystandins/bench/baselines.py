"""Simple policies that ours are measured against."""

from fireflypulley.core import ownership
from fireflypulley.core import pool
from fireflypulley.core import requests
from fireflypulley.core import retries
from fireflypulley.core import routing
from fireflystandins.virtual import system


class RoundRobin(routing.Router):
    """One endpoint after the other."""

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
    """The least loaded endpoint, as estimated from reports."""

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        return min(
            candidates, key=lambda state: state.relative_load, default=None
        )


class TwoChoices(routing.Router):
    """The less loaded of two, as estimated from reports."""

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
    """The endpoint with the fewest requests of this node."""

    def choose(
        self, candidates: routing.Candidates, prefix: str, request_id: str
    ) -> pool.EndpointState | None:
        return min(
            candidates,
            key=lambda state: (
                state.own,
                ownership.score(request_id, state.endpoint.endpoint_id),
            ),
            default=None,
        )


class NoAffinity(routing.LeastOutstanding):
    """Our choice without regard to prefix caches."""

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
    """Every retry is allowed."""

    def spend(self, outcome: requests.Outcome) -> bool:
        return True


def use_router(world: system.System, name: str) -> None:
    """Let all nodes of a world use a router."""
    for node in world.nodes.values():
        node.core.state.router = ROUTERS[name]()


def use_no_budget(world: system.System) -> None:
    """Let all nodes of a world repeat without bound."""
    for node in world.nodes.values():
        node.core.state.budget = NoBudget()
