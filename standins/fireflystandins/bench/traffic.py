"""Callers whose arrivals and request sizes follow from a seed."""

import dataclasses

from fireflystandins.virtual import endpoint
from fireflystandins.virtual import sites
from fireflystandins.virtual import system

OUTPUT_TOKENS = (20, 50, 80)
PROMPT_TOKENS = 200
DEADLINE_S = 30.0
TOKEN_GAP_FULL_S = endpoint.TOKEN_S * (1 + endpoint.LOADED_FACTOR)


@dataclasses.dataclass
class RequestStream:
    """A stream of similar requests.

    ``prefixes`` is the number of distinct prompt prefixes; 0 for none.
    """

    rate_per_s: float
    workspace: str = ""
    output_tokens: tuple[int, ...] = OUTPUT_TOKENS
    prompt_tokens: int = PROMPT_TOKENS
    deadline_s: float = DEADLINE_S
    route: str = "ask"
    prefixes: int = 0
    background: bool = False
    resends_refused: bool = False
    node_share: float = 0.0


def capacity_per_s(world: system.System, version: str = "v1") -> float:
    """Return the model requests per second that the site can serve."""
    mean_tokens = sum(OUTPUT_TOKENS) / len(OUTPUT_TOKENS)
    prefill_s = PROMPT_TOKENS / endpoint.PREFILL_TOKENS_PER_S
    first_s = endpoint.FIRST_TOKEN_S + prefill_s
    service_s = first_s + mean_tokens * TOKEN_GAP_FULL_S
    slots = sum(
        e.spec.capacity
        for e in world.endpoints.values()
        if e.spec.service == "model" and e.spec.version == version
    )
    return slots / service_s


class Callers:
    """Sends streams of requests to ready nodes for a duration."""

    def __init__(self, world: system.System, duration_s: float) -> None:
        self._world = world
        self._ends_s = world.time.now_s + duration_s
        self._count = 0

    def add(self, stream: RequestStream) -> None:
        """Start a stream."""
        self._next(stream)

    def _next(self, stream: RequestStream) -> None:
        rng = self._world.rng
        delay_s = rng.expovariate(stream.rate_per_s)
        self._world.time.call_later(delay_s, lambda: self._arrive(stream))

    def _arrive(self, stream: RequestStream) -> None:
        if self._world.time.now_s >= self._ends_s:
            return
        self._next(stream)
        self._send(stream, 0)

    def _node(self, stream: RequestStream) -> str:
        rng = self._world.rng
        now_s = self._world.time.now_s
        ready = [
            node_id
            for node_id, n in self._world.nodes.items()
            if n.alive and not n.paused and n.core.ready(now_s)
        ]
        if stream.node_share and rng.random() < stream.node_share:
            return ready[0]
        return rng.choice(ready)

    def _send(self, stream: RequestStream, attempts: int) -> None:
        world = self._world
        self._count += 1
        workspace = stream.workspace
        if not workspace:
            workspace = f"w{self._count % sites.DAKAR.workspaces + 1}"
        prefix = ""
        if stream.prefixes:
            prefix = f"p{world.rng.randrange(stream.prefixes)}"
        workload = system.workload(
            f"q{self._count}",
            world.time.now_s + stream.deadline_s,
            workspace=workspace,
            route=stream.route,
            prompt_tokens=stream.prompt_tokens,
            output_tokens=world.rng.choice(stream.output_tokens),
            prefix=prefix,
            background=stream.background,
        )
        result = world.submit(self._node(stream), workload)
        if stream.resends_refused and attempts < 3:
            self._resend_when_refused(stream, result, attempts)

    def _resend_when_refused(
        self, stream: RequestStream, result: system.Result, attempts: int
    ) -> None:
        """Resend a refused request at once, as callers without backoff do."""

        def resend_if_refused() -> bool:
            if result.refusal is not None:
                self._send(stream, attempts + 1)
            return result.ended_s is None

        self._world.time.call_every(0.2, resend_if_refused, 0.1)


def start_steady(
    world: system.System,
    load: float,
    duration_s: float,
    **fields: object,
) -> Callers:
    """Send a constant load, as a fraction of the capacity."""
    callers = Callers(world, duration_s)
    rate_per_s = load * capacity_per_s(world)
    callers.add(RequestStream(rate_per_s, **fields))
    return callers
