"""Hands open requests and jobs over to other nodes, and receives them."""

import dataclasses

from twisted.internet import interfaces

from fireflypulley.callers import gateway
from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import job_rows
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.daemon import driver
from fireflypulley.daemon import fetches
from fireflypulley.daemon import jobs
from fireflypulley.daemon import key_directory
from fireflypulley.daemon import logs
from fireflypulley.daemon import registry
from fireflypulley.daemon import tasks
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

HANDOVER_TIMEOUT_S = 2.0
RUN_IDS_FEATURE = "run-ids"
"""Nodes that go on with the ids of the events that are handed over."""


@dataclasses.dataclass(slots=True)
class _Offer:
    to_node: str
    job_id: str
    timer: interfaces.IDelayedCall


class Handovers:
    """The requests and jobs that are being handed over."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        loop: driver.Driver,
        streams: hub.Hub,
        task_registry: registry.Registry,
        dependencies: tasks.Dependencies,
        runner: jobs.JobRunner,
        directory: key_directory.KeyDirectory,
        answer_fetches: fetches.Fetches,
    ) -> None:
        self._reactor = reactor
        self._loop = loop
        self._streams = streams
        self._registry = task_registry
        self._dependencies = dependencies
        self._runner = runner
        self._directory = directory
        self._answer_fetches = answer_fetches
        self._offers: dict[str, _Offer] = {}
        loop.set_handler(actions.HandOver, self._offer)
        loop.set_handler(actions.HandOverJob, self._offer_job)

    def __len__(self) -> int:
        """Return the number of handovers that are not confirmed."""
        return len(self._offers)

    def _send(
        self, request_id: str, to_node: str, message: messages.Handover
    ) -> None:
        timer = self._reactor.callLater(
            HANDOVER_TIMEOUT_S, self._on_timeout, request_id
        )
        job_id = "" if message.job is None else message.job.job_id
        self._offers[request_id] = _Offer(to_node, job_id, timer)
        self._streams.send(to_node, message)

    def _offer(self, action: actions.HandOver) -> None:
        task = self._registry.by_id(action.request_id)
        if task is None or action.request_id in self._offers:
            return
        if task.tokens and not self._reads_ids(action.to_node):
            detail = f"node {action.to_node!r} numbers events from 0"
            logs.note("handover", action.request_id, "withheld", detail)
            return
        self._loop.feed(events.HandedOver(action.request_id))
        message = messages.Handover(
            task.request,
            task.payload,
            task.key,
            task.tokens,
            bytes(task.transcript),
        )
        self._send(action.request_id, action.to_node, message)

    def _reads_ids(self, node_id: str) -> bool:
        return node_id in self._streams.peers_with(RUN_IDS_FEATURE)

    def _offer_job(self, action: actions.HandOverJob) -> None:
        job = action.job
        request = job_rows.request_of(job)
        if request.request_id in self._offers:
            return
        transcript = self._runner.transcript(job.job_id)
        if transcript is None:
            return
        body = self._runner.payload(job.job_id)
        message = messages.Handover(
            request,
            payload.Payload("POST", jobs.RUN_PATH, "", body),
            job.job_id,
            self._runner.tokens(job.job_id),
            transcript,
            job,
        )
        self._send(request.request_id, action.to_node, message)

    def _on_timeout(self, request_id: str) -> None:
        """Resume a request here if its handover was not confirmed."""
        offer = self._offers.pop(request_id)
        task = self._registry.by_id(request_id)
        if offer.job_id or task is None:
            return
        self._loop.feed(
            events.RequestArrived(task.request, task.tokens, accepted=True)
        )

    def receive(self, from_node: str, message: messages.Handover) -> None:
        """Take over a request or a job of a leaving node."""
        if message.job is not None:
            self._runner.receive(
                message.job,
                message.payload.body,
                message.transcript,
                message.tokens,
            )
        elif not self._take_over(message):
            return
        self._streams.send(
            from_node, messages.HandoverTaken(message.request.request_id)
        )

    def _take_over(self, message: messages.Handover) -> bool:
        """Return whether this node holds the run that was handed over.

        The leaving node fetches the rest for its callers, so a run with
        other events must not be taken for theirs.
        """
        request = message.request
        held = self._registry.by_key(message.key)
        if held is not None:
            is_same = held.request.request_id == request.request_id
            if is_same and held.transcript.startswith(message.transcript):
                return True
            detail = f"holds run {held.request.request_id!r} with other events"
            logs.note("handover", request.request_id, "declined", detail)
            return False
        task = tasks.RequestTask(
            self._dependencies, request, message.payload, message.key
        )
        task.preload(message.transcript, message.tokens)
        self._registry.add(task)
        self._directory.report_holder(message.key)
        self._loop.feed(
            events.RequestArrived(request, message.tokens, accepted=True)
        )
        return True

    def receive_taken(self, message: messages.HandoverTaken) -> None:
        """Drop what another node took over, and fetch its answer there."""
        offer = self._offers.pop(message.request_id, None)
        if offer is None:
            return
        offer.timer.cancel()
        if offer.job_id:
            self._loop.feed(events.JobHandedOver(offer.job_id))
            return
        task = self._registry.by_id(message.request_id)
        if task is None:
            return
        self._registry.drop(task)
        for sink in task.detach_all():
            self._fetch_rest(task, offer.to_node, sink)

    def _fetch_rest(
        self, task: tasks.RequestTask, node_id: str, sink: gateway.Sink
    ) -> None:
        self._answer_fetches.begin(
            task.key,
            task.request.fingerprint,
            node_id,
            task.last_event_id,
            sink,
            lambda: _refuse_dropped(sink, task.key, node_id),
            bytes(task.transcript),
        )


def _refuse_dropped(sink: gateway.Sink, key: str, node_id: str) -> None:
    """Refuse a caller whose run ended before its rest was asked for."""
    detail = f"node {node_id!r}, which took the run over, has dropped it"
    logs.note("handover", key, "dropped", detail)
    sink.refuse(
        problems.Refusal(
            problems.Reason.OUTCOME_UNKNOWN, problems.Run.UNKNOWN, detail
        )
    )
