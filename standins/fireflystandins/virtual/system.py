"""Nodes, endpoints and a store on one virtual clock, with faults.

``System.violations`` returns the broken invariants of a run.
"""

import collections
import collections.abc
import dataclasses
import random

from fireflypulley.core import actions
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import job_rows
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.operators import changes
from fireflystandins.virtual import checks
from fireflystandins.virtual import clock
from fireflystandins.virtual import endpoint
from fireflystandins.virtual import node
from fireflystandins.virtual import store
from fireflystandins.virtual import tasks

LIST_LAG_S = 1.0
REPORT_LAG_S = 0.5
SAMPLE_S = 0.25
OPERATOR_RETRY_S = 0.5


@dataclasses.dataclass
class Policy:
    """Mechanisms that the bench can disable to measure their effect."""

    resume: bool = True


@dataclasses.dataclass
class Result:
    """The result of one request."""

    workload: endpoint.Workload
    arrived_s: float
    first_s: float | None = None
    ended_s: float | None = None
    answered: bool = False
    replayed: bool = False
    refusal: problems.Refusal | None = None
    interrupted: bool = False
    ends: int = 0
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    recomputed: int = 0
    regenerated: int = 0
    attempts: int = 0


class System:
    """A simulated system; each fault is a method."""

    def __init__(self, seed: int) -> None:
        self.time = clock.Clock()
        self.rng = random.Random(seed)
        self.policy = Policy()
        self.store = store.Store(self.time)
        self.nodes: dict[str, node.VirtualNode] = {}
        self.endpoints: dict[str, endpoint.VirtualEndpoint] = {}
        self.results: dict[str, Result] = {}
        self.changes: list[tuple[float, str, actions.StateChanged]] = []
        self.leaving: dict[str, tuple[float, float]] = {}
        self.reclaims: list[tuple[str, float, float]] = []
        self.killed: set[str] = set()
        self.drains: list[tuple[float, float, str]] = []
        self.refused_with_room = 0
        self.job_workloads: dict[str, endpoint.Workload] = {}
        self.steps_reached: set[str] = set()
        self._step_faults: dict[
            str, collections.abc.Callable[[str], None]
        ] = {}
        self._cut_links: set[tuple[str, str]] = set()
        self._started = 0
        self._operations = 0
        self._lists: collections.deque[tuple] = collections.deque()
        self._samples: collections.deque[tuple] = collections.deque()
        self._sample_now()
        self.time.call_every(SAMPLE_S, self._sample_now)

    # Setup

    def add_node(self, node_id: str, domain: str) -> node.VirtualNode:
        """Start a node."""
        self._started += 1
        this = topology.Node(node_id, f"{node_id}:1", domain)
        started = node.VirtualNode(self, this, self._started * 1000 + 7)
        self.nodes[node_id] = started
        self._sample_now()
        return started

    def add_endpoint(
        self,
        spec: topology.Endpoint,
        behaviour: endpoint.Behaviour = endpoint.Behaviour(),
        cold: bool = False,
    ) -> endpoint.VirtualEndpoint:
        """Start an endpoint; ``settle`` marks one that is not cold as warm."""
        started = endpoint.VirtualEndpoint(
            self.time, spec, behaviour, self.rng, cold
        )
        self.endpoints[spec.endpoint_id] = started
        self._sample_now()
        return started

    def settle(self, duration_s: float = 5.0) -> None:
        """Let nodes connect and list the endpoints; mark them as warm."""
        self.time.run_for(duration_s)
        for receiver in self.nodes.values():
            for endpoint_id, target in self.endpoints.items():
                if not target.cold:
                    fact = facts.Warmth(endpoint_id, 0, True)
                    event = events.FactsReceived("", (fact,))
                    receiver.feed(event)

    def change(
        self,
        plan: collections.abc.Callable[
            [changes.Planner], tuple[configuration.Entry, ...]
        ],
        *more_steps: str,
        accepted: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Make an operator's change; retried while the store is down."""
        if self.store.faults.down:
            self.time.call_later(
                OPERATOR_RETRY_S,
                lambda: self.change(plan, *more_steps, accepted=accepted),
            )
            return
        config = configuration.Configuration()
        for entry in self.store.entries.values():
            config.merge(entry)
        self._operations += 1
        origin = changes.Origin(f"op{self._operations}", self.time.now_s)
        written = self.store.write_entries(
            plan(changes.Planner(config, origin))
        )
        assert written is not None
        accepted()
        for step in ("configuration-write", *more_steps):
            self.step(step, next(iter(self.nodes)))
        first_node = next(n for n in self.nodes.values() if n.alive)
        for entry in written:
            first_node.feed_later(events.EntryWritten(entry))

    def put(
        self,
        kind: configuration.EntryKind,
        name: str,
        body: configuration.Body,
    ) -> None:
        """Write a row unchanged."""
        entry = configuration.Entry(kind, name, 0, f"put-{name}", body)
        self.store.write_entries((entry,))

    def drain(self, domain: str, drained: bool = True) -> None:
        """Drain or restore a failure domain."""
        step = "drain" if drained else "restore"
        self.change(
            lambda plan: plan.domain(domain, drained),
            step,
            accepted=lambda: self._drain_accepted(domain, drained),
        )

    def _drain_accepted(self, domain: str, drained: bool) -> None:
        now_s = self.time.now_s
        if drained:
            self.drains.append((now_s, float("inf"), domain))
            return
        for index, (began_s, ends_s, name) in enumerate(self.drains):
            if name == domain and ends_s == float("inf"):
                self.drains[index] = (began_s, now_s, name)

    # Views of the nodes

    def _sample_now(self) -> None:
        now_s = self.time.now_s
        self._lists.append((now_s, self._list_now()))
        reports = {
            endpoint_id: e.report()
            for endpoint_id, e in self.endpoints.items()
            if e.alive
        }
        self._samples.append((now_s, reports))
        for samples, lag_s in (
            (self._lists, LIST_LAG_S),
            (self._samples, REPORT_LAG_S),
        ):
            while len(samples) > 1 and samples[1][0] <= now_s - lag_s:
                samples.popleft()

    def _list_now(self) -> tuple:
        endpoints = []
        for endpoint_id, virtual_endpoint in self.endpoints.items():
            if endpoint_id in self.killed:
                continue
            spec = virtual_endpoint.spec
            if endpoint_id in self.leaving:
                spec = dataclasses.replace(
                    spec,
                    leaving=True,
                    leaves_at_s=self.leaving[endpoint_id][1],
                )
            endpoints.append(spec)
        nodes = [n.this for n in self.nodes.values() if n.alive]
        return tuple(endpoints), tuple(nodes)

    def instance_list(self) -> tuple:
        """Return the instance list of ``LIST_LAG_S`` ago."""
        return self._lists[0][1]

    def load_reports(self) -> dict[str, topology.LoadReport]:
        """Return the load reports of ``REPORT_LAG_S`` ago."""
        return self._samples[0][1]

    def can_reach(self, from_node: str, to_node: str) -> bool:
        """Return whether messages from one node reach the other."""
        return (from_node, to_node) not in self._cut_links

    def connect(self, dialer: node.VirtualNode, node_id: str) -> None:
        """Open a stream if neither direction is cut."""
        other = self.nodes.get(node_id)
        if other is None or not dialer.alive or not other.alive:
            return
        if dialer.paused or other.paused or node_id in dialer.peers:
            return
        directions = ((dialer.node_id, node_id), (node_id, dialer.node_id))
        if any(direction in self._cut_links for direction in directions):
            return
        dialer.peer_connected(other)
        other.peer_connected(dialer)

    # Faults

    def cut_link(self, from_node: str, to_node: str) -> None:
        """Drop all messages from one node to another."""
        self._cut_links.add((from_node, to_node))

    def restore_links(self) -> None:
        """Deliver all messages again."""
        self._cut_links.clear()

    def kill_endpoint(self, endpoint_id: str) -> None:
        """Kill an endpoint without notice."""
        self.endpoints[endpoint_id].crash()
        self.killed.add(endpoint_id)

    def reclaim_cut_short(
        self, endpoint_ids: list[str], notice_s: float
    ) -> None:
        """Announce a reclaim and kill halfway through its notice."""
        self.reclaim(endpoint_ids, notice_s)
        for endpoint_id in endpoint_ids:
            self.time.call_later(
                notice_s / 2, lambda e=endpoint_id: self.kill_endpoint(e)
            )

    def endpoints_in_domain(self, domain: str) -> list[str]:
        """Return the endpoints of a failure domain."""
        return [
            endpoint_id
            for endpoint_id, e in self.endpoints.items()
            if e.spec.failure_domain == domain and e.alive
        ]

    def restart_endpoint(self, endpoint_id: str) -> None:
        """Restart an endpoint; it is cold."""
        self.killed.discard(endpoint_id)
        self.leaving.pop(endpoint_id, None)
        self.endpoints[endpoint_id].restart()

    def reclaim(self, endpoint_ids: list[str], notice_s: float) -> None:
        """Announce a reclaim and kill when the notice ends."""
        now_s = self.time.now_s
        for endpoint_id in endpoint_ids:
            self.leaving[endpoint_id] = (now_s, now_s + notice_s)
            self.reclaims.append((endpoint_id, now_s, now_s + notice_s))
            self.time.call_later(
                notice_s, lambda e=endpoint_id: self.kill_endpoint(e)
            )

    # Requests

    def submit(self, node_id: str, workload: endpoint.Workload) -> Result:
        """Send a request to a node; a dead node interrupts it."""
        result = Result(workload, self.time.now_s)
        self.results[workload.request.request_id] = result
        target = self.nodes[node_id]
        if not target.alive:
            result.interrupted = True
            return result
        target.submit(workload)
        return result

    def inject_at_step(
        self,
        step: str,
        fault: collections.abc.Callable[[str], None],
    ) -> None:
        """Call ``fault`` with the id of the first node at a step."""
        self._step_faults[step] = fault

    def step(self, step: str, node_id: str) -> None:
        """Note that a node has reached a step; inject its fault."""
        fault = self._step_faults.pop(step, None)
        if fault is not None:
            self.steps_reached.add(step)
            fault(node_id)

    def submit_job(
        self, job_id: str, workload: endpoint.Workload, timeout_s: float
    ) -> bool:
        """Submit a job; return whether it was accepted."""
        if self.store.faults.down:
            return False
        now_s = self.time.now_s
        request = workload.request
        row = job_rows.Job(
            job_id,
            request.workspace,
            request.route,
            request.service,
            request.fingerprint,
            now_s,
            now_s + timeout_s,
        )
        self.job_workloads[job_id] = workload
        self.store.write_job(row, 0)
        return True

    def note_node_died(self, dead_node: node.VirtualNode) -> None:
        """Mark the requests of a dead node as interrupted."""
        for request_id, task in dead_node.tasks.items():
            if not task.job_id:
                self.results[request_id].interrupted = True

    def note_attempt(
        self, task: tasks.Task, attempt: endpoint.Attempt, alive: bool
    ) -> None:
        """Count an attempt and the tokens that it computes again."""
        if task.job_id:
            return
        result = self.results[task.workload.request.request_id]
        result.attempts += 1
        if result.attempts > 1 and alive:
            repeated_tokens = task.workload.prompt_tokens + task.tokens
            if not task.tokens and result.first_s is None:
                repeated_tokens = 0
            result.recomputed += repeated_tokens
            if not self.policy.resume:
                result.regenerated += task.tokens

    def note_first(self, task: tasks.Task, attempt: endpoint.Attempt) -> None:
        """Note the first token and the gap between tokens."""
        if task.job_id:
            return
        result = self.results[task.workload.request.request_id]
        if result.first_s is None:
            result.first_s = self.time.now_s
        result.gaps_s.append(attempt.gap_s)

    def note_answered(self, owner: node.VirtualNode, task: tasks.Task) -> None:
        """Note a completed response."""
        result = self.results[task.workload.request.request_id]
        result.ended_s = self.time.now_s
        result.ends += 1
        result.answered = task.tokens == task.workload.output_tokens

    def note_replayed(self, owner: node.VirtualNode, task: tasks.Task) -> None:
        """Note a response replayed from the ledger."""
        result = self.results[task.workload.request.request_id]
        result.ended_s = self.time.now_s
        result.ends += 1
        result.answered = result.replayed = True

    def note_refused(
        self,
        owner: node.VirtualNode,
        task: tasks.Task,
        refusal: problems.Refusal,
    ) -> None:
        """Note a refusal."""
        result = self.results[task.workload.request.request_id]
        result.ended_s = self.time.now_s
        result.ends += 1
        result.refusal = refusal
        if refusal.run is not problems.Run.NOT_RUN:
            return
        service = task.workload.request.service
        if any(
            self._has_free_slots(e)
            for e in self.endpoints.values()
            if e.spec.service == service
        ):
            self.refused_with_room += 1

    def _has_free_slots(self, target: endpoint.VirtualEndpoint) -> bool:
        busy = len(target.running) + len(target.waiting)
        usable = target.alive and not target.cold
        usable = usable and target.spec.endpoint_id not in self.leaving
        return usable and busy < target.spec.capacity // 2

    def violations(self) -> list[str]:
        """Return the broken invariants, each with its place."""
        return checks.Checks(self).violations()


def workload(
    request_id: str,
    deadline_s: float,
    workspace: str = "w1",
    route: str = "ask",
    service: str = "model",
    kind: topology.ServiceKind = topology.ServiceKind.MODEL,
    prompt_tokens: int = 200,
    output_tokens: int = 50,
    key: str = "",
    fingerprint: str = "",
    prefix: str = "",
    at_most_once: bool = False,
    background: bool = False,
) -> endpoint.Workload:
    """Return a request with its size in tokens."""
    request = requests.Request(
        request_id=request_id,
        workspace=workspace,
        route=route,
        service=service,
        kind=kind,
        deadline_s=deadline_s,
        fingerprint=fingerprint or request_id,
        prefix=prefix,
        at_most_once=at_most_once,
        idempotency_key=key,
        background=background,
    )
    if kind is topology.ServiceKind.PLAIN:
        output_tokens = 0
    return endpoint.Workload(request, prompt_tokens, output_tokens)
