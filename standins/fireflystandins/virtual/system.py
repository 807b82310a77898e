"""Nodes, endpoints and a store on one virtual clock, with faults.

What must always hold is checked by ``findings``: every broken promise
is collected with its time and place.
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
    """What the bench may switch off to see what it is worth."""

    resume: bool = True


@dataclasses.dataclass
class Result:
    """What became of one request."""

    job: endpoint.Job
    arrived_s: float
    first_s: float | None = None
    ended_s: float | None = None
    answered: bool = False
    replayed: bool = False
    refusal: problems.Refusal | None = None
    died: bool = False
    ends: int = 0
    gaps_s: list[float] = dataclasses.field(default_factory=list)
    recomputed: int = 0
    regenerated: int = 0
    attempts: int = 0


class System:
    """A small world; every fault is a method."""

    def __init__(self, seed: int) -> None:
        self.time = clock.Clock()
        self.chance = random.Random(seed)
        self.policy = Policy()
        self.store = store.Store(self.time)
        self.nodes: dict[str, node.VirtualNode] = {}
        self.endpoints: dict[str, endpoint.VirtualEndpoint] = {}
        self.results: dict[str, Result] = {}
        self.changes: list[tuple[float, str, actions.StateChanged]] = []
        self.leaving: dict[str, tuple[float, float]] = {}
        self.left: list[tuple[str, float, float]] = []
        self.gone: set[str] = set()
        self.drains: list[tuple[float, float, str]] = []
        self.refused_with_room = 0
        self.job_sizes: dict[str, endpoint.Job] = {}
        self.steps_reached: set[str] = set()
        self._step_faults: dict[
            str, collections.abc.Callable[[str], None]
        ] = {}
        self._cut: set[tuple[str, str]] = set()
        self._started = 0
        self._operations = 0
        self._lists: collections.deque[tuple] = collections.deque()
        self._samples: collections.deque[tuple] = collections.deque()
        self._sample_now()
        self.time.every(SAMPLE_S, self._sample_now)

    # Building

    def add_node(self, node_id: str, domain: str) -> node.VirtualNode:
        """Start a node."""
        self._started += 1
        this = topology.Node(node_id, f"{node_id}:1", domain)
        found = node.VirtualNode(self, this, self._started * 1000 + 7)
        self.nodes[node_id] = found
        self._sample_now()
        return found

    def add_endpoint(
        self,
        spec: topology.Endpoint,
        behaviour: endpoint.Behaviour = endpoint.Behaviour(),
        cold: bool = False,
    ) -> endpoint.VirtualEndpoint:
        """Start an endpoint; one that is not cold is known as warm."""
        found = endpoint.VirtualEndpoint(
            self.time, spec, behaviour, self.chance, cold
        )
        self.endpoints[spec.endpoint_id] = found
        self._sample_now()
        return found

    def settle(self, duration_s: float = 5.0) -> None:
        """Let nodes meet and learn of the endpoints, all held warm."""
        self.time.run_for(duration_s)
        for one in self.nodes.values():
            for endpoint_id, found in self.endpoints.items():
                if not found.cold:
                    fact = facts.Warmth(endpoint_id, 0, True)
                    event = events.FactsReceived("", (fact,))
                    one.feed(event)

    def change(
        self,
        plan: collections.abc.Callable[
            [changes.Planner], tuple[configuration.Entry, ...]
        ],
        *more_steps: str,
        accepted: collections.abc.Callable[[], None] = lambda: None,
    ) -> None:
        """Make an operator's change; tried again while the store is down."""
        if self.store.faults.down:
            self.time.after(
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
        first = next(n for n in self.nodes.values() if n.alive)
        for entry in written:
            first.later(events.EntryWritten(entry))

    def put(
        self,
        kind: configuration.EntryKind,
        name: str,
        body: configuration.Body,
    ) -> None:
        """Put a row in force as it is."""
        entry = configuration.Entry(kind, name, 0, f"put-{name}", body)
        self.store.write_entries((entry,))

    def drain(self, domain: str, drained: bool = True) -> None:
        """Take a failure domain out or back."""
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

    # What nodes see

    def _sample_now(self) -> None:
        now_s = self.time.now_s
        self._lists.append((now_s, self._list_now()))
        reports = {
            endpoint_id: one.report()
            for endpoint_id, one in self.endpoints.items()
            if one.alive
        }
        self._samples.append((now_s, reports))
        for kept, lag_s in (
            (self._lists, LIST_LAG_S),
            (self._samples, REPORT_LAG_S),
        ):
            while len(kept) > 1 and kept[1][0] <= now_s - lag_s:
                kept.popleft()

    def _list_now(self) -> tuple:
        endpoints = []
        for endpoint_id, one in self.endpoints.items():
            if endpoint_id in self.gone:
                continue
            spec = one.spec
            if endpoint_id in self.leaving:
                spec = dataclasses.replace(
                    spec,
                    leaving=True,
                    leaves_at_s=self.leaving[endpoint_id][1],
                )
            endpoints.append(spec)
        nodes = [n.this for n in self.nodes.values() if n.alive]
        return tuple(endpoints), tuple(nodes)

    def listed(self) -> tuple:
        """Return the instance list, which lags."""
        return self._lists[0][1]

    def reports(self) -> dict[str, topology.LoadReport]:
        """Return the load reports, which lag."""
        return self._samples[0][1]

    def linked(self, from_node: str, to_node: str) -> bool:
        """Return whether messages pass that way."""
        return (from_node, to_node) not in self._cut

    def connect(self, one: node.VirtualNode, node_id: str) -> None:
        """Open a stream, if both ways are free."""
        other = self.nodes.get(node_id)
        if other is None or not one.alive or not other.alive:
            return
        if one.paused or other.paused or node_id in one.peers:
            return
        ways = ((one.node_id, node_id), (node_id, one.node_id))
        if any(way in self._cut for way in ways):
            return
        one.peer_up(other)
        other.peer_up(one)

    # Faults

    def cut(self, from_node: str, to_node: str) -> None:
        """Lose all messages one way."""
        self._cut.add((from_node, to_node))

    def mend(self) -> None:
        """Let all messages pass again."""
        self._cut.clear()

    def kill_endpoint(self, endpoint_id: str) -> None:
        """Kill an endpoint with no notice."""
        self.endpoints[endpoint_id].crash()
        self.gone.add(endpoint_id)

    def reclaim_cut_short(
        self, endpoint_ids: list[str], notice_s: float
    ) -> None:
        """Announce a reclaim and kill half-way through its notice."""
        self.reclaim(endpoint_ids, notice_s)
        for endpoint_id in endpoint_ids:
            self.time.after(
                notice_s / 2, lambda e=endpoint_id: self.kill_endpoint(e)
            )

    def in_domain(self, domain: str) -> list[str]:
        """Return the endpoints of a failure domain."""
        return [
            endpoint_id
            for endpoint_id, one in self.endpoints.items()
            if one.spec.failure_domain == domain and one.alive
        ]

    def restart_endpoint(self, endpoint_id: str) -> None:
        """Bring an endpoint back, cold."""
        self.gone.discard(endpoint_id)
        self.leaving.pop(endpoint_id, None)
        self.endpoints[endpoint_id].restart()

    def reclaim(self, endpoint_ids: list[str], notice_s: float) -> None:
        """Announce a reclaim and kill when the notice is over."""
        now_s = self.time.now_s
        for endpoint_id in endpoint_ids:
            self.leaving[endpoint_id] = (now_s, now_s + notice_s)
            self.left.append((endpoint_id, now_s, now_s + notice_s))
            self.time.after(
                notice_s, lambda e=endpoint_id: self.kill_endpoint(e)
            )

    # Requests

    def submit(self, node_id: str, job: endpoint.Job) -> Result:
        """Send a request to a node; a dead node is not reached."""
        found = Result(job, self.time.now_s)
        self.results[job.request.request_id] = found
        one = self.nodes[node_id]
        if not one.alive:
            found.died = True
            return found
        one.submit(job)
        return found

    def at_step(
        self,
        step: str,
        fault: collections.abc.Callable[[str], None],
    ) -> None:
        """Call ``fault`` with a node's id when it first gets there."""
        self._step_faults[step] = fault

    def step(self, step: str, node_id: str) -> None:
        """Say that a node has come to a step."""
        fault = self._step_faults.pop(step, None)
        if fault is not None:
            self.steps_reached.add(step)
            fault(node_id)

    def submit_job(
        self, job_id: str, size: endpoint.Job, lasts_s: float
    ) -> bool:
        """Submit a job; return whether it was accepted."""
        if self.store.faults.down:
            return False
        now_s = self.time.now_s
        request = size.request
        row = job_rows.Job(
            job_id,
            request.workspace,
            request.route,
            request.service,
            request.fingerprint,
            now_s,
            now_s + lasts_s,
        )
        self.job_sizes[job_id] = size
        self.store.write_job(row, 0)
        return True

    def node_died(self, one: node.VirtualNode) -> None:
        """Mark the requests that a dead node had."""
        for request_id, task in one.tasks.items():
            if not task.job_id:
                self.results[request_id].died = True

    def note_attempt(
        self, task: tasks.Task, run: endpoint.Run, alive: bool
    ) -> None:
        """Count an attempt and the tokens that it makes again."""
        if task.job_id:
            return
        found = self.results[task.job.request.request_id]
        found.attempts += 1
        if found.attempts > 1 and alive:
            again = task.job.prompt_tokens + task.tokens
            if not task.tokens and found.first_s is None:
                again = 0
            found.recomputed += again
            if not self.policy.resume:
                found.regenerated += task.tokens

    def note_first(self, task: tasks.Task, run: endpoint.Run) -> None:
        """Note the first token and the gap between tokens."""
        if task.job_id:
            return
        found = self.results[task.job.request.request_id]
        if found.first_s is None:
            found.first_s = self.time.now_s
        found.gaps_s.append(run.gap_s)

    def answered(self, one: node.VirtualNode, task: tasks.Task) -> None:
        """Note a whole answer."""
        found = self.results[task.job.request.request_id]
        found.ended_s = self.time.now_s
        found.ends += 1
        found.answered = task.tokens == task.job.output_tokens

    def replayed(self, one: node.VirtualNode, task: tasks.Task) -> None:
        """Note an answer from the ledger."""
        found = self.results[task.job.request.request_id]
        found.ended_s = self.time.now_s
        found.ends += 1
        found.answered = found.replayed = True

    def refused(
        self,
        one: node.VirtualNode,
        task: tasks.Task,
        refusal: problems.Refusal,
    ) -> None:
        """Note a refusal."""
        found = self.results[task.job.request.request_id]
        found.ended_s = self.time.now_s
        found.ends += 1
        found.refusal = refusal
        if refusal.run is not problems.Run.NOT_RUN:
            return
        service = task.job.request.service
        if any(
            self._has_room(e)
            for e in self.endpoints.values()
            if e.spec.service == service
        ):
            self.refused_with_room += 1

    def _has_room(self, one: endpoint.VirtualEndpoint) -> bool:
        busy = len(one.running) + len(one.waiting)
        usable = one.alive and not one.cold
        usable = usable and one.spec.endpoint_id not in self.leaving
        return usable and busy < one.spec.capacity // 2

    def findings(self) -> list[str]:
        """Return every broken promise, with its place."""
        return checks.Checks(self).findings()


def job(
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
) -> endpoint.Job:
    """Return a request with its size."""
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
    return endpoint.Job(request, prompt_tokens, output_tokens)
