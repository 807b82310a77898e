"""The fault matrix: every step of every path under every fault.

A cell runs a small site under traffic, injects a fault when a node
reaches a step, repairs it later and collects the violated invariants.
"""

import collections.abc
import dataclasses

from fireflypulley.core import configuration
from fireflypulley.core import topology
from fireflystandins.virtual import endpoint
from fireflystandins.virtual import sites
from fireflystandins.virtual import system

STEPS = (
    "accept",
    "claim",
    "dispatch",
    "filing",
    "stream",
    "checkpoint",
    "answer",
    "handover",
    "configuration-write",
    "rollout-step",
    "drain",
    "restore",
)
REPAIR_AFTER_S = 8.0
NOTICE_S = 6.0
COLD_DETECTION_S = 4.0
TRAFFIC_S = 20.0
INJECTION_DELAY_S = 0.01
SETTLE_S = 90.0
SLOW_S = 1.2
LOST_ANSWERS = 3
LONG_STREAM_EVERY = 9
LONG_STREAM_TOKENS = 400
_PLAIN = topology.ServiceKind.PLAIN

Fault = collections.abc.Callable[[system.System, str], None]


def _repair_later(
    world: system.System, call: collections.abc.Callable
) -> None:
    world.time.call_later(REPAIR_AFTER_S, call)


def endpoint_killed(world: system.System, node_id: str) -> None:
    """Kill the busiest model endpoint; it restarts cold."""
    victim = _busiest_endpoint(world)
    world.kill_endpoint(victim)
    _repair_later(world, lambda: world.restart_endpoint(victim))


def _busiest_endpoint(world: system.System, service: str = "model") -> str:
    alive = [
        e
        for e in world.endpoints.values()
        if e.spec.service == service and e.alive
    ]
    return max(alive, key=lambda e: len(e.running)).spec.endpoint_id


def service_killed(world: system.System, node_id: str) -> None:
    """Kill the busiest endpoint of the plain service; it restarts cold."""
    victim = _busiest_endpoint(world, "app")
    world.kill_endpoint(victim)
    _repair_later(world, lambda: world.restart_endpoint(victim))


def reclaim_wave(world: system.System, node_id: str) -> None:
    """Reclaim a failure domain's endpoints with notice."""
    victims = world.endpoints_in_domain("d0")
    world.reclaim(victims, NOTICE_S)
    for victim in victims:
        _repair_later(world, lambda e=victim: world.restart_endpoint(e))


def reclaim_cut_short(world: system.System, node_id: str) -> None:
    """Reclaim a failure domain and kill before the notice ends."""
    victims = world.endpoints_in_domain("d0")
    world.reclaim_cut_short(victims, NOTICE_S)
    for victim in victims:
        _repair_later(world, lambda e=victim: world.restart_endpoint(e))


def node_killed(world: system.System, node_id: str) -> None:
    """Kill the node that is at the step."""
    world.nodes[node_id].kill()


def node_leaves(world: system.System, node_id: str) -> None:
    """Reclaim the node that is at the step, with notice."""
    world.nodes[node_id].shut_down(2 * NOTICE_S)


def node_paused(world: system.System, node_id: str) -> None:
    """Freeze the node that is at the step."""
    world.nodes[node_id].pause()
    _repair_later(world, world.nodes[node_id].resume)


def lease_lapsed(world: system.System, node_id: str) -> None:
    """Freeze the node for longer than any lease lasts."""
    world.nodes[node_id].pause()
    world.time.call_later(2 * REPAIR_AFTER_S, world.nodes[node_id].resume)


def link_cut(world: system.System, node_id: str) -> None:
    """Drop the messages from the node to the others."""
    for other in world.nodes:
        world.cut_link(node_id, other)
    _repair_later(world, world.restore_links)


def node_cut_off(world: system.System, node_id: str) -> None:
    """Drop the messages between the node and the others."""
    for other in world.nodes:
        world.cut_link(node_id, other)
        world.cut_link(other, node_id)
    _repair_later(world, world.restore_links)


def store_down(world: system.System, node_id: str) -> None:
    """Take the table down."""
    world.store.faults.down = True
    _repair_later(world, lambda: _store_up(world))


def store_slow(world: system.System, node_id: str) -> None:
    """Delay the responses of the table."""
    world.store.faults.slow_s = SLOW_S
    _repair_later(world, lambda: _store_up(world))


def _store_up(world: system.System) -> None:
    world.store.faults.down = False
    world.store.faults.slow_s = 0.0


def answer_lost(world: system.System, node_id: str) -> None:
    """Lose the responses to writes that have taken effect."""
    world.store.faults.lose_answers = LOST_ANSWERS


def operators_race(world: system.System, node_id: str) -> None:
    """Let two operators write over the same version of a row."""
    for weight in (2.0, 3.0):
        body = sites.workspace(weight)
        current = world.store.entries[("workspace", "w1")]
        entry = dataclasses.replace(current, body=body)
        world.time.call_later(
            0.001, lambda e=entry: world.store.write_entries((e,))
        )


def cold_again(world: system.System, node_id: str) -> None:
    """Return the busiest model endpoint to the cold state."""
    world.endpoints[_busiest_endpoint(world)].turn_cold(COLD_DETECTION_S)


def bad_version(world: system.System, node_id: str) -> None:
    """Make the new version fail from now on."""
    for virtual_endpoint in world.endpoints.values():
        if virtual_endpoint.spec.version == "v2":
            virtual_endpoint.behaviour = endpoint.Behaviour(fail_rate=1.0)


def poison(world: system.System, node_id: str) -> None:
    """Send two requests that crash their endpoints."""
    for virtual_endpoint in world.endpoints.values():
        virtual_endpoint.poison.add("poison")
    for delay_s in (0.0, 3.0):
        world.time.call_later(delay_s, lambda: _send_poison(world))
    for number in range(1, 5):
        world.time.call_later(
            number * REPAIR_AFTER_S, lambda: _restart_dead(world)
        )


def _send_poison(world: system.System) -> None:
    alive = [node_id for node_id, n in world.nodes.items() if n.alive]
    name = f"poison-{world.time.now_s:.3f}"
    workload = system.workload(
        name, world.time.now_s + 30.0, fingerprint="poison"
    )
    world.submit(alive[0], workload)


def _restart_dead(world: system.System) -> None:
    for endpoint_id, virtual_endpoint in world.endpoints.items():
        if not virtual_endpoint.alive:
            world.restart_endpoint(endpoint_id)


FAULTS: dict[str, Fault] = {
    "endpoint-killed": endpoint_killed,
    "service-killed": service_killed,
    "reclaim-wave": reclaim_wave,
    "reclaim-cut-short": reclaim_cut_short,
    "node-killed": node_killed,
    "node-leaves": node_leaves,
    "node-paused": node_paused,
    "lease-lapsed": lease_lapsed,
    "link-cut": link_cut,
    "node-cut-off": node_cut_off,
    "store-down": store_down,
    "store-slow": store_slow,
    "answer-lost": answer_lost,
    "operators-race": operators_race,
    "cold-again": cold_again,
    "bad-version": bad_version,
    "poison": poison,
}


class Traffic:
    """Sends mixed requests; resends filings interrupted by a dead node."""

    def __init__(self, world: system.System, duration_s: float) -> None:
        self._world = world
        self._ends_s = world.time.now_s + duration_s
        self._count = 0
        self._retried: set[str] = set()
        self._schedule(0.2, self._chat)
        self._schedule(0.5, self._file)
        self._schedule(0.7, self._look)
        world.time.call_every(1.0, self._resend_interrupted, 0.5)

    def _schedule(
        self, mean_s: float, call: collections.abc.Callable[[], bool]
    ) -> None:
        def send_and_reschedule() -> None:
            if call():
                self._schedule(mean_s, call)

        delay_s = self._world.rng.expovariate(1.0 / mean_s)
        self._world.time.call_later(delay_s, send_and_reschedule)

    def _node(self) -> str:
        alive = [
            node_id
            for node_id, n in self._world.nodes.items()
            if n.alive and n.core.ready(self._world.time.now_s)
        ]
        return alive[self._count % len(alive)] if alive else ""

    def _submit(self, **fields: object) -> bool:
        self._count += 1
        now_s = self._world.time.now_s
        node_id = self._node()
        if node_id:
            name = f"r{self._count}"
            workload = system.workload(name, now_s + 30.0, **fields)
            self._world.submit(node_id, workload)
        return now_s < self._ends_s

    def _chat(self) -> bool:
        tokens = 20 + self._count % 60
        if self._count % LONG_STREAM_EVERY == 0:
            tokens = LONG_STREAM_TOKENS
        return self._submit(output_tokens=tokens)

    def _look(self) -> bool:
        return self._submit(route="look", service="app", kind=_PLAIN)

    def _file(self) -> bool:
        key = f"k{self._count}"
        return self._submit(
            route="file",
            service="app",
            kind=_PLAIN,
            key=key,
            fingerprint=key,
            at_most_once=True,
        )

    def _resend_interrupted(self) -> bool:
        for request_id, result in list(self._world.results.items()):
            request = result.workload.request
            if not result.interrupted or request_id in self._retried:
                continue
            self._retried.add(request_id)
            if not request.at_most_once:
                continue
            self._submit(
                route="file",
                service="app",
                kind=_PLAIN,
                key=request.idempotency_key,
                fingerprint=request.fingerprint,
                at_most_once=True,
            )
        return self._world.time.now_s < self._ends_s + REPAIR_AFTER_S


def build(seed: int) -> system.System:
    """Return a cell's site, with endpoints of two versions and jobs."""
    world = sites.build(sites.SMALL, seed)
    for number, domain in enumerate(("d0", "d1"), start=3):
        sites.add_model(world, f"m{number}", domain, version="v2")
    world.settle(2.0)
    for number in range(2):
        workload = system.workload(f"size{number}", 0.0, output_tokens=400)
        world.submit_job(f"job{number}", workload, 7200.0)
    return world


def _shut_down_job_owner(world: system.System) -> None:
    owners = {row.job.owner for row in world.store.jobs.values()}
    alive = [node_id for node_id, n in world.nodes.items() if n.alive]
    node_id = next((a for a in alive if a in owners), alive[0])
    world.nodes[node_id].shut_down(9.0)


def _start_rollout(world: system.System) -> None:
    world.change(lambda p: p.start_rollout("w1", "model", "v2", 40.0))


def _change_weight(world: system.System) -> None:
    def plan(_: object) -> tuple[configuration.Entry, ...]:
        current = world.store.entries[("workspace", "w1")]
        assert isinstance(current.body, configuration.Workspace)
        body = dataclasses.replace(current.body, weight=1.5)
        return (dataclasses.replace(current, body=body),)

    world.change(plan)


def _injector(
    world: system.System, fault: str
) -> collections.abc.Callable[[str], None]:
    """Return a call that injects a fault while work is in flight."""

    def inject(node_id: str) -> None:
        world.time.call_later(
            INJECTION_DELAY_S, lambda: FAULTS[fault](world, node_id)
        )

    return inject


def run_cell(
    faults: collections.abc.Mapping[str, str], seed: int
) -> tuple[list[str], set[str]]:
    """Run faults by step; return the violations and the steps reached."""
    world = build(seed)
    _start_rollout(world)
    for step, fault in faults.items():
        world.inject_at_step(step, _injector(world, fault))
    Traffic(world, TRAFFIC_S)
    world.time.call_later(2.0, lambda: _change_weight(world))
    world.time.call_later(4.4, lambda: world.drain("d1"))
    world.time.call_later(14.0, lambda: world.drain("d1", False))
    if "handover" in faults:
        world.time.call_later(5.0, lambda: _shut_down_job_owner(world))
    world.time.run_for(TRAFFIC_S + SETTLE_S)
    return world.violations(), world.steps_reached
