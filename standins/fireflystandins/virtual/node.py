"""A node on the virtual clock: the real core without sockets."""

import collections
import collections.abc
import typing

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import ledger_rows
from fireflypulley.core import node
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflystandins.virtual import endpoint
from fireflystandins.virtual import node_jobs
from fireflystandins.virtual import store
from fireflystandins.virtual import tasks

if typing.TYPE_CHECKING:
    from fireflystandins.virtual import system

TICK_S = 0.1
CONFIG_POLL_S = 1.0
INSTANCES_POLL_S = 0.5
LOAD_POLL_S = 0.5
HEARTBEAT_S = 1.0
_STORED_ANSWER = ledger_rows.stored_answer(200, "text/plain", b"done")


class VirtualNode:
    """A node that can be killed, paused and resumed."""

    def __init__(
        self, world: "system.System", this: topology.Node, incarnation: int
    ) -> None:
        self.world = world
        self.this = this
        self.core = node.Node(this, incarnation)
        self.incarnation = incarnation
        self.alive = True
        self.paused = False
        self.tasks: dict[str, tasks.Task] = {}
        self.peers: set[str] = set()
        self.sent_facts = 0
        self.job_tokens: dict[str, int] = {}
        self._wanted_peers: tuple[str, ...] = ()
        self._deferred: list[events.Event] = []
        self._queue: collections.deque[events.Event] = collections.deque()
        self._running = False
        self._config_seen: dict[tuple[str, str], int] = {}
        self._reading = False
        self._handlers: dict[
            type[actions.Action],
            collections.abc.Callable[[typing.Any], None],
        ] = {
            actions.SendAttempt: self._send,
            actions.CancelAttempt: self._cancel,
            actions.Finish: self._finish,
            actions.Refuse: self._refuse,
            actions.Replay: self._replay,
            actions.Transact: self._transact,
            actions.ReadRow: self._read_row,
            actions.AskLease: self._ask_lease,
            actions.WriteEntry: self._write_entry,
            actions.Spread: self._spread,
            actions.Tell: self._tell,
            actions.ConnectPeers: self._connect,
            actions.DropPeer: self._drop,
            actions.AskSlot: self._ask_slot,
            actions.GrantSlot: self._grant_slot,
            actions.ReturnSlot: self._return_slot,
            actions.StateChanged: self._state_changed,
        }
        self._handlers |= node_jobs.JobActions(self).handlers()
        time = world.time
        offset_s = (incarnation % 97) / 1000.0
        time.call_every(TICK_S, lambda: self._timer(self._tick), offset_s)
        time.call_every(CONFIG_POLL_S, lambda: self._timer(self._poll_config))
        time.call_every(
            INSTANCES_POLL_S, lambda: self._timer(self._poll_instances)
        )
        time.call_every(
            LOAD_POLL_S, lambda: self._timer(self._poll_load), offset_s
        )
        time.call_every(
            HEARTBEAT_S, lambda: self._timer(self._send_heartbeats), offset_s
        )

    @property
    def node_id(self) -> str:
        """Return the node's id."""
        return self.this.node_id

    def _timer(self, work: collections.abc.Callable[[], None]) -> bool:
        if self.alive and not self.paused:
            work()
        return self.alive

    # Events

    def feed(self, event: events.Event) -> None:
        """Pass an event to the core; hold it back while paused."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append(event)
            return
        self._queue.append(event)
        if self._running:
            return
        self._running = True
        while self._queue:
            next_event = self._queue.popleft()
            for action in self.core.handle(next_event, self.world.time.now_s):
                self._handlers[type(action)](action)
        self._running = False

    def feed_later(
        self, event: events.Event, delay_s: float = tasks.HOP_S
    ) -> None:
        """Pass an event to the core after a delay."""
        self.world.time.call_later(delay_s, lambda: self.feed(event))

    def pause(self) -> None:
        """Suspend the node, as SIGSTOP does."""
        self.paused = True

    def resume(self) -> None:
        """Resume the node and handle the events received while paused."""
        self.paused = False
        self.feed(events.Tick())
        deferred, self._deferred = self._deferred, []
        for event in deferred:
            self.feed(event)

    def kill(self) -> None:
        """End at once; attempts and peers see closed connections."""
        self.alive = False
        for task in self.tasks.values():
            if task.attempt is not None:
                self.world.endpoints[task.endpoint_id].cancel(task.attempt)
        for peer in list(self.peers):
            self.world.nodes[peer].peer_lost(self.node_id)
        self.world.note_node_died(self)

    def peer_lost(self, node_id: str) -> None:
        """Handle the loss of the stream to a node."""
        if node_id in self.peers:
            self.peers.discard(node_id)
            self.feed_later(events.PeerLost(node_id))

    def submit(
        self,
        workload: endpoint.Workload,
        tokens: int = 0,
        accepted: bool = False,
    ) -> None:
        """Receive a request from a caller or a leaving node."""
        self.world.step("accept", self.node_id)
        if not self.alive:
            self.world.results[workload.request.request_id].interrupted = True
            return
        self.tasks[workload.request.request_id] = tasks.Task(workload, tokens)
        self.feed(events.RequestArrived(workload.request, tokens, accepted))

    def shut_down(self, notice_s: float) -> None:
        """Shut down, as on a reclaim notice; end when the notice ends."""
        leaves_at_s = self.world.time.now_s + notice_s
        self.feed(events.ShutdownStarted(leaves_at_s))
        self.world.time.call_later(notice_s, self.kill)

    # Timers

    def _tick(self) -> None:
        self.feed(events.Tick())

    def _poll_config(self) -> None:
        if self._reading:
            return
        self._reading = True
        asked_s = self.world.time.now_s
        rows = self.world.store

        def read_updates() -> object:
            return tuple(
                entry
                for key, entry in rows.entries.items()
                if entry.version > self._config_seen.get(key, 0)
            )

        def done(result: object) -> None:
            self._reading = False
            if isinstance(result, store.Unavailable):
                return
            for entry in result:
                key = (entry.kind.value, entry.name)
                self._config_seen[key] = entry.version
            self.feed(events.EntriesRead(result, asked_s))

        rows.call(read_updates, done)
        self._poll_jobs()

    def _poll_jobs(self) -> None:
        def done(result: object) -> None:
            if not isinstance(result, store.Unavailable):
                self.feed(events.JobsRead(result))

        rows = self.world.store
        rows.call(lambda: tuple(rows.jobs.values()), done)

    def _poll_instances(self) -> None:
        instances = self.world.instance_list()
        self.feed(events.InstancesListed(*instances))

    def _poll_load(self) -> None:
        for endpoint_id, report in self.world.load_reports().items():
            self.feed(events.LoadReported(endpoint_id, report))

    def _send_heartbeats(self) -> None:
        for peer in list(self.peers):
            other = self.world.nodes[peer]
            if self.world.can_reach(self.node_id, peer) and other.alive:
                other.feed_later(events.HeartbeatReceived(self.node_id))
        self._dial()

    # Actions on requests

    def _send(self, action: actions.SendAttempt) -> None:
        task = self.tasks[action.request_id]
        at_most_once = task.workload.request.at_most_once
        step = "filing" if at_most_once else "dispatch"
        self.world.step(step, self.node_id)
        target = self.world.endpoints[action.endpoint_id]

        def on_event(event: str, outcome: requests.Outcome | None) -> None:
            self.world.time.call_later(
                tasks.HOP_S,
                lambda: self._on_attempt_event(task, attempt, event, outcome),
            )

        resumed = task.tokens if self.world.policy.resume else 0
        attempt = endpoint.Attempt(
            task.workload,
            action.attempt_id,
            resumed,
            on_event,
            priority=int(action.priority),
        )
        task.attempt = attempt
        task.endpoint_id = action.endpoint_id
        self.world.note_attempt(task, attempt, target.alive)
        self.world.time.call_later(tasks.HOP_S, lambda: target.submit(attempt))

    def _on_attempt_event(
        self,
        task: tasks.Task,
        attempt: endpoint.Attempt,
        event: str,
        outcome: requests.Outcome | None,
    ) -> None:
        request_id = task.workload.request.request_id
        if event == "sent":
            self.feed(events.AttemptSent(request_id, attempt.attempt_id))
        elif task.attempt is not attempt:
            return
        elif event == "first":
            self.world.step("stream", self.node_id)
            self.world.note_first(task, attempt)
            self.feed(events.AttemptFirstToken(request_id, attempt.attempt_id))
        elif outcome is not None:
            self._end_attempt(task, attempt, outcome)

    def _end_attempt(
        self,
        task: tasks.Task,
        attempt: endpoint.Attempt,
        outcome: requests.Outcome,
    ) -> None:
        request = task.workload.request
        task.tokens = max(task.tokens, attempt.tokens(self.world.time.now_s))
        stored_answer = None
        if outcome is requests.Outcome.COMPLETE:
            task.tokens = task.workload.output_tokens
            if request.kind is topology.ServiceKind.PLAIN:
                stored_answer = _STORED_ANSWER
        task.attempt = None
        self.feed(
            events.AttemptEnded(
                request.request_id,
                attempt.attempt_id,
                outcome,
                task.tokens,
                stored_answer,
            )
        )

    def _cancel(self, action: actions.CancelAttempt) -> None:
        task = self.tasks.get(action.request_id)
        if task is None or task.attempt is None:
            return
        task.tokens = max(
            task.tokens, task.attempt.tokens(self.world.time.now_s)
        )
        self.world.endpoints[task.endpoint_id].cancel(task.attempt)
        task.attempt = None

    def _finish(self, action: actions.Finish) -> None:
        task = self.tasks[action.request_id]
        if task.workload.request.at_most_once:
            self.world.step("answer", self.node_id)
        del self.tasks[action.request_id]
        if task.job_id:
            self.job_tokens[task.job_id] = task.tokens
            self.feed(events.JobAnswered(task.job_id))
            return
        self.world.note_answered(self, task)

    def _refuse(self, action: actions.Refuse) -> None:
        task = self.tasks.pop(action.request_id)
        if task.job_id:
            self.feed(
                events.JobRefused(task.job_id, action.refusal, task.tokens)
            )
            return
        self.world.note_refused(self, task, action.refusal)

    def _replay(self, action: actions.Replay) -> None:
        task = self.tasks.pop(action.request_id)
        self.world.note_replayed(self, task)

    # Actions on the store

    def _transact(self, action: actions.Transact) -> None:
        self.world.step("claim", self.node_id)

        def done(result: object) -> None:
            commit = ledger_rows.Commit.COMMITTED
            conflicts: tuple[int, ...] = ()
            if isinstance(result, store.Unavailable):
                commit = ledger_rows.Commit.LOST
            elif result:
                commit = ledger_rows.Commit.CONFLICT
                conflicts = result
            self.feed(
                events.TransactionEnded(action.operation_id, commit, conflicts)
            )

        rows = self.world.store
        rows.call(lambda: rows.transact(action.writes), done, writes=True)

    def _read_row(self, action: actions.ReadRow) -> None:
        def done(result: object) -> None:
            failed = isinstance(result, store.Unavailable)
            row = None if failed else result
            self.feed(events.RowRead(action.row_key, row, failed))

        rows = self.world.store
        rows.call(lambda: rows.ledger.get(action.row_key), done)

    def _ask_lease(self, action: actions.AskLease) -> None:
        asked_s = self.world.time.now_s

        def done(result: object) -> None:
            if result is None or isinstance(result, store.Unavailable):
                self.feed(events.LeaseRefused(action.name))
                return
            self.feed(
                events.LeaseHeld(action.name, result.fencing, result.expires_s)
            )

        rows = self.world.store
        rows.call(
            lambda: rows.acquire(
                action.name, self.node_id, asked_s, action.ttl_s
            ),
            done,
            writes=True,
        )

    def _write_entry(self, action: actions.WriteEntry) -> None:
        self.world.step("rollout-step", self.node_id)

        def done(result: object) -> None:
            if isinstance(result, tuple):
                self.feed(events.EntryWritten(result[0]))

        rows = self.world.store
        rows.call(
            lambda: rows.write_entries((action.entry,)), done, writes=True
        )

    # Actions on other nodes

    def _send_event(self, node_id: str, event: events.Event) -> None:
        other = self.world.nodes.get(node_id)
        if other is not None and self.world.can_reach(self.node_id, node_id):
            other.feed_later(event)

    def _spread(self, action: actions.Spread) -> None:
        for peer in self.peers:
            if peer != action.except_node:
                self.sent_facts += len(action.facts)
                event = events.FactsReceived(self.node_id, action.facts)
                self._send_event(peer, event)

    def _tell(self, action: actions.Tell) -> None:
        self.sent_facts += len(action.facts)
        event = events.FactsReceived(self.node_id, action.facts)
        self._send_event(action.to_node, event)

    def _connect(self, action: actions.ConnectPeers) -> None:
        self._wanted_peers = action.node_ids
        self._dial()

    def _dial(self) -> None:
        for node_id in self._wanted_peers:
            if node_id not in self.peers:
                self.world.time.call_later(
                    tasks.HOP_S, lambda n=node_id: self.world.connect(self, n)
                )

    def peer_connected(self, other: "VirtualNode") -> None:
        """Handle a new stream to a node."""
        self.peers.add(other.node_id)
        self.feed(events.PeerConnected(other.node_id, other.incarnation))
        facts = self.core.state.shared.snapshot()
        if facts:
            self._send_event(
                other.node_id, events.FactsReceived(self.node_id, facts)
            )

    def _drop(self, action: actions.DropPeer) -> None:
        self.peers.discard(action.node_id)
        other = self.world.nodes.get(action.node_id)
        if other is not None:
            other.peer_lost(self.node_id)

    def _ask_slot(self, action: actions.AskSlot) -> None:
        event = events.SlotAsked(
            self.node_id,
            action.endpoint_id,
            action.hold_s,
            action.patient,
        )
        self._send_event(action.owner_node, event)

    def _grant_slot(self, action: actions.GrantSlot) -> None:
        event = events.SlotAnswered(
            self.node_id, action.endpoint_id, action.granted, action.expires_s
        )
        self._send_event(action.to_node, event)

    def _return_slot(self, action: actions.ReturnSlot) -> None:
        event = events.SlotReturned(
            self.node_id,
            action.endpoint_id,
            action.expires_s,
            action.answered_well,
        )
        self._send_event(action.owner_node, event)

    def _state_changed(self, action: actions.StateChanged) -> None:
        self.world.changes.append(
            (self.world.time.now_s, self.node_id, action)
        )
