"""Processes requests from admission to their final response."""

from fireflypulley.core import actions
from fireflypulley.core import admission
from fireflypulley.core import admission_checks
from fireflypulley.core import attempts
from fireflypulley.core import dispatch
from fireflypulley.core import events
from fireflypulley.core import ledger
from fireflypulley.core import open_requests
from fireflypulley.core import ownership
from fireflypulley.core import pool
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import state
from fireflypulley.core import topology

MOVE_MARGIN_S = 2.0  # before the endpoint leaves
MOVE_SPREAD_FRACTION = 0.5  # of the notice, so that moves do not coincide


class Serving:
    """Admits, dispatches and finishes the requests of this node."""

    def __init__(self, node: state.NodeState) -> None:
        self._node = node
        self._dispatcher = dispatch.Dispatcher(node)
        self._open = open_requests.OpenRequests(node, self._dispatcher)
        components = (node, self._dispatcher, self._open)
        self._admission_checks = admission_checks.AdmissionChecks(*components)
        self._attempts = attempts.Attempts(*components)

    def __len__(self) -> int:
        return len(self._open)

    def progress(self, request_id: str) -> requests.Progress | None:
        """Return an open request, or None."""
        return self._open.get(request_id)

    @property
    def open_requests(self) -> list[requests.Progress]:
        """Return the open requests."""
        return list(self._open)

    def queue_lengths(self) -> dict[str, int]:
        """Return the number of waiting requests by service."""
        return {name: len(queue) for name, queue in self._open.queues.items()}

    # Admission

    def arrived(
        self, event: events.RequestArrived, now_s: float
    ) -> list[actions.Action]:
        """Admit or refuse a new request."""
        request = event.request
        progress = requests.Progress(request, now_s, tokens=event.tokens)
        progress.ever_sent = event.accepted
        refusal = self._admission_checks.refusal(progress, now_s)
        if refusal is not None:
            return [self._open.count_refusal(request.request_id, refusal)]
        self._open.add(progress)
        self._node.counters.accepted += 1
        self._node.budget.add_first_try()
        self._open.enqueue(progress, now_s, at_front=event.accepted)
        return self.dispatch_queue(request.service, now_s)

    # Dispatch

    def dispatch_all_queues(self, now_s: float) -> list[actions.Action]:
        """Dispatch the waiting requests of all services."""
        todo: list[actions.Action] = []
        for service in list(self._open.queues):
            todo += self.dispatch_queue(service, now_s)
        return todo

    def dispatch_queue(
        self, service: str, now_s: float
    ) -> list[actions.Action]:
        """Dispatch a service's waiting requests in fair order.

        Requests that no endpoint can take now stay in the queue; slots
        on cold endpoints are requested for them.
        """
        queue = self._open.queues[service]
        todo: list[actions.Action] = []
        dispatched = True
        while dispatched and len(queue):
            dispatched = False
            for request_id in queue.dispatch_order():
                sent = self._dispatch(self._open.require(request_id), now_s)
                if sent is not None:
                    todo += sent
                    dispatched = True
                    break
        queue.rate.record_backlog(now_s, len(queue))
        for request_id in queue.dispatch_order():
            progress = self._open.require(request_id)
            todo += self._dispatcher.ask_slots(progress, now_s)
        return todo

    def _dispatch(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action] | None:
        request = progress.request
        suspect = self._node.quarantine.is_suspect(request.fingerprint, now_s)
        if suspect and not self._node.quarantine.may_run_isolated():
            return None
        chosen = self._dispatcher.choose(progress, now_s)
        if chosen is None:
            return None
        self._open.queues[request.service].take(
            request.request_id,
            request.workspace,
            self._open.weight(request.workspace),
            now_s,
        )
        if request.at_most_once and progress.claimed_s is None:
            progress.phase = requests.Phase.CLAIMING
            progress.claim_requested = True
            return self._node.ledger.claim(request, now_s)
        endpoint, arm = chosen
        return self._dispatcher.begin_attempt(progress, endpoint, arm, now_s)

    # Claims

    def claims_settled(
        self, settled: list[ledger.SettledClaim], now_s: float
    ) -> list[actions.Action]:
        """Continue the requests whose claims have been settled."""
        todo: list[actions.Action] = []
        for settlement in settled:
            progress = self._open.get(settlement.request_id)
            if progress is not None:
                todo += self._claim_settled(progress, settlement, now_s)
        return todo

    def _claim_settled(
        self,
        progress: requests.Progress,
        settled: ledger.SettledClaim,
        now_s: float,
    ) -> list[actions.Action]:
        request = progress.request
        if settled.claim is ledger.Claim.GRANTED:
            progress.claimed_s = now_s
            if now_s >= request.deadline_s:
                return self._open.refuse(
                    progress,
                    problems.Reason.CLAIM_LAPSED,
                    "the deadline passed while the claim was written",
                    now_s,
                )
            self._open.enqueue(progress, now_s, at_front=True)
            return self.dispatch_queue(request.service, now_s)
        if settled.claim is ledger.Claim.REPLAY:
            self._open.close(request)
            if settled.answer is not None:
                self._node.counters.replayed += 1
                return [actions.Replay(request.request_id, settled.answer)]
        self._open.close(request)
        refusal = _claim_refusal(settled.claim)
        return [self._open.count_refusal(request.request_id, refusal)]

    # Attempts

    def sent(
        self, event: events.AttemptSent, now_s: float
    ) -> list[actions.Action]:
        """Record that an attempt's first bytes were sent."""
        return self._attempts.sent(event, now_s)

    def first_token(
        self, event: events.AttemptFirstToken, now_s: float
    ) -> list[actions.Action]:
        """Record the start of a response."""
        return self._attempts.first_token(event, now_s)

    def ended(
        self, event: events.AttemptEnded, now_s: float
    ) -> list[actions.Action]:
        """Finish, retry or refuse a request after its attempt ended."""
        progress = self._open.get(event.request_id)
        todo = self._attempts.ended(event, now_s)
        if progress is None:
            return todo
        return todo + self.dispatch_queue(progress.request.service, now_s)

    def mark_cold(self, endpoint: pool.EndpointState) -> list[actions.Action]:
        """Treat a warm endpoint as cold again."""
        return self._attempts.mark_cold(endpoint)

    # Handovers and disconnected callers

    def handed_over(
        self, event: events.HandedOver, now_s: float
    ) -> list[actions.Action]:
        """Remove a request that another node has taken over."""
        progress = self._open.get(event.request_id)
        if progress is None:
            return []
        return self._open.abandon(progress, now_s)

    def movable_requests(self) -> list[str]:
        """Return the ids of requests that another node could continue."""
        return [
            progress.request.request_id
            for progress in self._open
            if progress.request.kind is topology.ServiceKind.MODEL
            and not progress.request.background
        ]

    def caller_left(
        self, event: events.CallerLeft, now_s: float
    ) -> list[actions.Action]:
        """Drop a request whose caller has disconnected.

        An at-most-once call that may have been sent continues, so that
        its outcome is recorded.
        """
        progress = self._open.get(event.request_id)
        if progress is None:
            return []
        request = progress.request
        if request.at_most_once and progress.attempt is not None:
            return []
        self._node.counters.refused[problems.Reason.CALLER_LEFT] += 1
        todo = self._open.abandon(progress, now_s)
        return todo + self.dispatch_queue(request.service, now_s)

    # Deadlines and moves

    def tick(self, now_s: float) -> list[actions.Action]:
        """Refuse late requests and move attempts off leaving endpoints."""
        todo: list[actions.Action] = []
        for queue in self._open.queues.values():
            for request_id in queue.expired(now_s + queue.service_time_s):
                todo += self._refuse_late(
                    self._open.require(request_id), now_s
                )
        for progress in self._open:
            if progress.request.deadline_s <= now_s:
                todo += self._open.refuse(
                    progress,
                    problems.Reason.DEADLINE_EXCEEDED,
                    "the deadline passed",
                    now_s,
                )
            elif progress.attempt is not None:
                todo += self._move_if_due(progress, now_s)
        return todo + self.dispatch_all_queues(now_s)

    def _refuse_late(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action]:
        """Refuse a waiting request that would miss its deadline."""
        return self._open.refuse(
            progress,
            problems.Reason.DEADLINE_UNREACHABLE,
            "too little time is left for an answer",
            now_s,
        )

    def _move_if_due(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action]:
        attempt = progress.attempt
        if attempt is None or progress.request.at_most_once:
            return []
        if progress.request.kind is not topology.ServiceKind.MODEL:
            return []
        endpoint = self._node.pool.get(attempt.endpoint_id)
        if endpoint is None or endpoint.leaves_at_s is None:
            return []
        notice_s = endpoint.leaves_at_s - endpoint.leaving_seen_s
        jitter = ownership.fraction(progress.request.request_id)
        lead_s = MOVE_MARGIN_S + jitter * MOVE_SPREAD_FRACTION * max(
            0.0, notice_s
        )
        if now_s < endpoint.leaves_at_s - lead_s:
            return []
        return self._move(progress, now_s)

    def _move(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action]:
        chosen = self._dispatcher.choose(progress, now_s)
        if chosen is None or progress.attempt is None:
            return []
        cancel = actions.CancelAttempt(
            progress.request.request_id, progress.attempt.attempt_id
        )
        todo = self._dispatcher.end_attempt(progress, succeeded=None)
        leaving = problems.RetryReason.LEAVING
        self._node.counters.retried[leaving] += 1
        target, arm = chosen
        send = self._dispatcher.begin_attempt(progress, target, arm, now_s)
        return [cancel, *send, *todo]


def _claim_refusal(claim: ledger.Claim) -> problems.Refusal:
    if claim is ledger.Claim.MISMATCH:
        return problems.Refusal(
            problems.Reason.KEY_REUSED,
            problems.Run.NOT_RUN,
            "the idempotency key belongs to another request",
        )
    if claim is ledger.Claim.UNAVAILABLE:
        return problems.Refusal(
            problems.Reason.LEDGER_UNAVAILABLE,
            problems.Run.NOT_RUN,
            "the at-most-once record could not be written",
            admission.MIN_RETRY_AFTER_S,
        )
    if claim is ledger.Claim.IN_PROGRESS:
        return problems.Refusal(
            problems.Reason.IN_PROGRESS,
            problems.Run.UNKNOWN,
            "another request with this key has not ended",
            admission.MIN_RETRY_AFTER_S,
        )
    return problems.Refusal(
        problems.Reason.OUTCOME_UNKNOWN,
        problems.Run.UNKNOWN,
        "an earlier request with this key ended without an answer",
    )
