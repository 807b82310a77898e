"""Request tasks, which hold the attempt, the answer and the callers."""

import collections.abc
import dataclasses
import enum
import random

from fireflypulley.callers import events as sse
from fireflypulley.callers import gateway
from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import ledger_rows
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.daemon import logs
from fireflypulley.daemon import metrics
from fireflypulley.daemon import task_memory
from fireflypulley.endpoints import base
from fireflypulley.endpoints import clients
from fireflypulley.transport import memory

MAX_RUN_NUMBER = 999_998
EVENTS_PER_RUN = 1_000_000
"""The ids of a run follow one another from a multiple of this, so that they
tell the run of a caller that comes back.  Ids have up to 12 digits; those
of older nodes are below it."""

_Feed = collections.abc.Callable[[events.Event], None]


def _draw_first_id() -> int:
    """Return the id of the first event of a new run."""
    return random.randint(1, MAX_RUN_NUMBER) * EVENTS_PER_RUN


def unknown_run(key: str, last_event_id: int) -> problems.Refusal:
    """Return the refusal of a caller that has events of another run."""
    detail = f"the run that sent event {last_event_id} is not known here"
    logs.note("request", key, "run-unknown", detail)
    return problems.Refusal(
        problems.Reason.OUTCOME_UNKNOWN,
        problems.Run.UNKNOWN,
        f"{detail}; begin anew without Last-Event-ID",
    )


def key_reused() -> problems.Refusal:
    """Return the refusal of a request with the key of another one."""
    return problems.Refusal(
        problems.Reason.KEY_REUSED,
        problems.Run.NOT_RUN,
        "the idempotency key belongs to another request",
    )


class TaskState(enum.Enum):
    """The state of a task."""

    RUNNING = "running"
    COMPLETE = "whole"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The objects that all tasks share."""

    feed: _Feed
    clients: clients.Clients
    metrics: metrics.Metrics
    now_s: collections.abc.Callable[[], float]
    memory: memory.MemoryBudget


class _Listener(base.AttemptListener):
    """Converts the callbacks of an attempt into events of the core."""

    def __init__(self, task: "RequestTask", attempt_id: str) -> None:
        self._task = task
        self._attempt_id = attempt_id
        self._attempt_bytes = attempt_id.encode()
        self._request_bytes = task.request.request_id.encode()
        self._started_s = task.dependencies.now_s()
        self._first_s = 0.0
        self._tokens = 0

    def sent(self) -> None:
        self._task.dependencies.feed(
            events.AttemptSent(self._task.request.request_id, self._attempt_id)
        )

    def received(self, size_bytes: int) -> None:
        self._task.memory.hold_part(size_bytes)

    def frames(self, frames: list[bytes]) -> None:
        if not self._tokens:
            self._first_token()
        self._tokens += len(frames)
        self._task.add_frames(
            [
                frame.replace(self._attempt_bytes, self._request_bytes)
                for frame in frames
            ]
        )

    def _first_token(self) -> None:
        dependencies = self._task.dependencies
        self._first_s = dependencies.now_s()
        waited_s = self._first_s - self._started_s
        dependencies.metrics.first_token_s.observe({}, waited_s)
        dependencies.feed(
            events.AttemptFirstToken(
                self._task.request.request_id, self._attempt_id
            )
        )

    def ended(
        self, outcome: requests.Outcome, answer: base.Answer | None
    ) -> None:
        dependencies = self._task.dependencies
        if self._tokens > 1:
            duration_s = dependencies.now_s() - self._first_s
            gap_s = duration_s / (self._tokens - 1)
            dependencies.metrics.token_gap_s.observe({}, gap_s)
        stored = None
        if answer is None:
            self._task.memory.drop_part()
        else:
            stored = ledger_rows.stored_answer(
                answer.status, answer.content_type, answer.body
            )
            self._task.stored = stored
        dependencies.feed(
            events.AttemptEnded(
                self._task.request.request_id,
                self._attempt_id,
                outcome,
                self._task.tokens,
                stored,
            )
        )


class RequestTask:
    """Owns a request, its attempt and its answer until the request ends.

    ``transcript`` holds the numbered events that a caller may receive;
    ``key`` is what a caller or another node finds the task by.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        request: requests.Request,
        call: payload.Payload,
        key: str,
    ) -> None:
        self.dependencies = dependencies
        self.request = request
        self.payload = call
        self.key = key
        self.state = TaskState.RUNNING
        self.tokens = 0
        self._first_event_id = _draw_first_id()
        self.transcript = bytearray()
        self.stored: ledger_rows.StoredAnswer | None = None
        self.refusal: problems.Refusal | None = None
        self.ended_s = 0.0
        self.job_id = ""
        self._sinks: list[gateway.Sink] = []
        self._attempt: base.Attempt | None = None
        self.memory = task_memory.TaskMemory(
            dependencies.memory, self._give_up
        )

    def _give_up(self) -> None:
        """Let the callers go, as the node needs the memory."""
        for sink in list(self._sinks):
            sink.give_up()

    def preload(self, transcript: bytes, tokens: int) -> None:
        """Set the events that a previous owner received."""
        self.transcript = bytearray(transcript)
        self.tokens = tokens
        if transcript:
            self._first_event_id = sse.first_id(transcript)
        self.memory.hold(len(transcript))

    # Callers

    @property
    def last_event_id(self) -> int:
        """Return the id of the last event, ``NO_EVENT`` without any."""
        if not self.tokens:
            return gateway.NO_EVENT
        return self._first_event_id + self.tokens - 1

    def has_sent(self, last_event_id: int) -> bool:
        """Return whether a caller's last event is of this run."""
        if last_event_id == gateway.NO_EVENT:
            return True
        return self._first_event_id <= last_event_id <= self.last_event_id

    def attach(self, sink: gateway.Sink, last_event_id: int) -> None:
        """Send a caller the events it lacks, and all later ones."""
        if not self.has_sent(last_event_id):
            sink.refuse(unknown_run(self.key, last_event_id))
            return
        missing = bytes(self.transcript)
        if last_event_id != gateway.NO_EVENT:
            missing = sse.missing_events(missing, last_event_id)
        if missing:
            sink.events(missing)
        if self.state is TaskState.RUNNING:
            self._sinks.append(sink)
        else:
            self._send_end(sink)

    def detach(self, sink: gateway.Sink) -> bool:
        """Remove a caller; return whether none is left."""
        if sink in self._sinks:
            self._sinks.remove(sink)
        return not self._sinks

    def detach_all(self) -> list[gateway.Sink]:
        """Remove and return all callers."""
        sinks, self._sinks = self._sinks, []
        return sinks

    def add_frames(self, frames: list[bytes]) -> None:
        """Append events to the transcript and send them in one write."""
        data = sse.add_ids(frames, self._first_event_id + self.tokens)
        self.tokens += len(frames)
        self.transcript += data
        self.memory.hold(len(data))
        for sink in self._sinks:
            sink.events(data)

    def _send_end(self, sink: gateway.Sink) -> None:
        if self.refusal is not None:
            sink.refuse(self.refusal)
        elif self.stored is not None:
            sink.answer(self.stored)
        else:
            sink.finish(bytes(self.transcript))

    def _end(self, state: TaskState) -> None:
        if self.state is not TaskState.RUNNING:
            return
        self.state = state
        self.ended_s = self.dependencies.now_s()
        sinks, self._sinks = self._sinks, []
        for sink in sinks:
            self._send_end(sink)

    def finish(self) -> None:
        """End with the complete answer."""
        self._end(TaskState.COMPLETE)

    def replay(self, answer: ledger_rows.StoredAnswer) -> None:
        """End with an answer from the ledger."""
        self.stored = answer
        self._end(TaskState.COMPLETE)

    def refuse(self, refusal: problems.Refusal) -> None:
        """End with a refusal."""
        self.refusal = refusal
        self._end(TaskState.REFUSED)

    # Attempts

    def send(
        self, action: actions.SendAttempt, endpoint: topology.Endpoint
    ) -> None:
        """Start an attempt."""
        resume = None
        if self.tokens:
            text = sse.text_of(bytes(self.transcript))
            resume = base.Resume(text, self.tokens)
        order = base.AttemptRequest(
            action.attempt_id,
            endpoint.address,
            self.payload,
            self.request.idempotency_key,
            resume=resume,
            priority=int(action.priority),
        )
        self._attempt = self.dependencies.clients.start(
            self.request.kind,
            order,
            _Listener(self, action.attempt_id),
            retryable=not self.request.at_most_once,
        )

    def cancel_attempt(self) -> None:
        """Cancel the running attempt."""
        if self._attempt is not None:
            self._attempt.cancel()
            self._attempt = None
            self.memory.drop_part()

    def check_idle(self, reactor_s: float) -> None:
        """End an attempt whose endpoint has sent nothing for too long."""
        if self._attempt is not None:
            self._attempt.check_idle(reactor_s)
