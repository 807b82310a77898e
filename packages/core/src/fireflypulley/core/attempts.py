"""Updates a request as its attempts progress and end."""

from fireflypulley.core import actions
from fireflypulley.core import dispatch
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import open_requests
from fireflypulley.core import pool
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import retries
from fireflypulley.core import state

_CRASHES = frozenset({requests.Outcome.CUT})
_LOST = frozenset({requests.Outcome.CUT, requests.Outcome.UNREACHABLE})
_FAILURES = frozenset(
    {
        requests.Outcome.UNREACHABLE,
        requests.Outcome.SERVER_ERROR,
        requests.Outcome.CUT,
        requests.Outcome.INVALID,
        requests.Outcome.TIMEOUT,
    }
)


class Attempts:
    """Handles the events of attempts."""

    def __init__(
        self,
        node: state.NodeState,
        dispatcher: dispatch.Dispatcher,
        opened: open_requests.OpenRequests,
    ) -> None:
        self._node = node
        self._dispatcher = dispatcher
        self._open = opened

    def sent(
        self, event: events.AttemptSent, now_s: float
    ) -> list[actions.Action]:
        """Record that an attempt's first bytes were sent."""
        progress = self._open.get(event.request_id)
        if progress is not None and progress.is_current(event.attempt_id):
            progress.mark_sent(now_s)
        return []

    def first_token(
        self, event: events.AttemptFirstToken, now_s: float
    ) -> list[actions.Action]:
        """Record the start of a response."""
        progress = self._open.get(event.request_id)
        if progress is None or not progress.is_current(event.attempt_id):
            return []
        progress.mark_streaming(now_s)
        self._observe_latency(progress, now_s)
        return []

    def _observe_latency(
        self, progress: requests.Progress, now_s: float
    ) -> None:
        attempt = progress.attempt
        if attempt is None or attempt.observed:
            return
        latency_s = now_s - attempt.started_s
        slow_after_s = self._slow_after_s(progress.request)
        self._observe(progress, False, latency_s > slow_after_s)
        endpoint = self._node.pool.get(attempt.endpoint_id)
        if endpoint is not None:
            self._node.pool.record_answer(endpoint, latency_s, now_s)

    def mark_cold(self, endpoint: pool.EndpointState) -> list[actions.Action]:
        """Treat a warm endpoint as cold again."""
        endpoint.measured_speed.reset()
        fact = self._node.warmup.mark_cold(endpoint.endpoint.endpoint_id)
        self._node.counters.turned_cold += fact is not None
        return self._dispatcher.publish(fact)

    def _slow_after_s(self, request: requests.Request) -> float:
        workspace = self._node.config.workspace(request.workspace)
        service = workspace.service(request.service) if workspace else None
        return 0.33 if service is None else service.slow_after_s

    def _observe(
        self, progress: requests.Progress, failed: bool, slow: bool
    ) -> None:
        attempt = progress.attempt
        if attempt is None or attempt.observed or attempt.arm is None:
            return
        attempt.observed = True
        request = progress.request
        self._node.rollouts.observe(
            request.workspace,
            request.service,
            request.route,
            attempt.arm,
            failed,
            slow,
        )

    def ended(
        self, event: events.AttemptEnded, now_s: float
    ) -> list[actions.Action]:
        """Finish, retry or refuse a request after its attempt ended."""
        progress = self._open.get(event.request_id)
        if progress is None or not progress.is_current(event.attempt_id):
            self._node.counters.late_events += 1
            return []
        self._node.counters.attempts[event.outcome] += 1
        progress.tokens = max(progress.tokens, event.tokens)
        if event.outcome is requests.Outcome.COMPLETE:
            todo = self._complete(progress, event, now_s)
        else:
            todo = self._failed(progress, event.outcome, now_s)
        return todo

    def _complete(
        self,
        progress: requests.Progress,
        event: events.AttemptEnded,
        now_s: float,
    ) -> list[actions.Action]:
        request = progress.request
        answer = event.answer
        if answer is not None and answer.status >= 500:
            self._observe(progress, True, False)
        if progress.attempt is not None:
            if progress.attempt.first_token_s is None:
                self._observe_latency(progress, now_s)
            took_s = now_s - progress.attempt.started_s
            self._open.queues[request.service].record_service_time(took_s)
        todo = self._dispatcher.end_attempt(progress, succeeded=True)
        self._node.quarantine.record_answer(request.fingerprint, now_s)
        if request.at_most_once:
            todo += self._node.ledger.finish(request.request_id, answer, now_s)
        self._open.close(request)
        self._node.counters.answered += 1
        return [actions.Finish(request.request_id), *todo]

    def _failed(
        self,
        progress: requests.Progress,
        outcome: requests.Outcome,
        now_s: float,
    ) -> list[actions.Action]:
        attempt = progress.attempt
        assert attempt is not None
        endpoint = self._node.pool.get(attempt.endpoint_id)
        leaving = endpoint is None or endpoint.leaving
        todo: list[actions.Action] = []
        if outcome is requests.Outcome.BUSY:
            self._back_off(endpoint, now_s)
            todo += self._dispatcher.end_attempt(progress, succeeded=None)
            return todo + self._retry(progress, outcome, now_s)
        if outcome in _FAILURES and not leaving:
            attempt.observed = False
            self._observe(progress, True, False)
            todo += self._record_failure(endpoint, outcome, now_s)
        if outcome in _CRASHES and not leaving:
            todo += self._record_crash(progress, attempt, now_s)
        todo += self._dispatcher.end_attempt(progress, succeeded=False)
        progress.avoided_endpoints.add(attempt.endpoint_id)
        if attempt.arm is facts.Arm.NEW:
            progress.old_version_only = True
        return todo + self._retry(progress, outcome, now_s)

    def _back_off(
        self, endpoint: pool.EndpointState | None, now_s: float
    ) -> None:
        if endpoint is not None:
            endpoint.busy_until_s = now_s + pool.BUSY_BACKOFF_S

    def _record_failure(
        self,
        endpoint: pool.EndpointState | None,
        outcome: requests.Outcome,
        now_s: float,
    ) -> list[actions.Action]:
        if endpoint is None:
            return []
        if outcome in _LOST:
            endpoint.suspect(now_s)
        if not self._node.pool.record_failure(endpoint, now_s):
            return []
        self._node.counters.ejections += 1
        todo = self.mark_cold(endpoint)
        return todo + [
            actions.StateChanged(
                "endpoint", endpoint.endpoint.endpoint_id, "ejected"
            )
        ]

    def _record_crash(
        self,
        progress: requests.Progress,
        attempt: requests.Attempt,
        now_s: float,
    ) -> list[actions.Action]:
        fact = self._node.quarantine.record_crash(
            progress.request.fingerprint, attempt.isolated, now_s
        )
        self._node.shared.merge(fact, now_s)
        return [actions.Spread((fact,))]

    def _retry(
        self,
        progress: requests.Progress,
        outcome: requests.Outcome,
        now_s: float,
    ) -> list[actions.Action]:
        stop = self._reason_to_stop(progress, outcome, now_s)
        if stop is not None:
            detail = f"the attempt ended as {outcome.value}"
            return self._open.refuse(progress, stop, detail, now_s)
        reason = requests.RETRY_REASONS.get(outcome)
        if reason is not None:
            self._node.counters.retried[reason] += 1
        self._open.enqueue(progress, now_s, at_front=True)
        return []

    def _reason_to_stop(
        self,
        progress: requests.Progress,
        outcome: requests.Outcome,
        now_s: float,
    ) -> problems.Reason | None:
        """Return why a request may not be retried, or None."""
        fingerprint = progress.request.fingerprint
        if not retries.may_retry(progress, outcome):
            return problems.Reason.OUTCOME_UNKNOWN
        if self._node.quarantine.is_quarantined(fingerprint, now_s):
            return problems.Reason.QUARANTINED
        attempts_used = progress.attempt_count >= retries.MAX_ATTEMPTS
        if attempts_used and outcome is not requests.Outcome.BUSY:
            return problems.Reason.RETRIES_EXHAUSTED
        if not self._node.budget.try_spend(outcome):
            return problems.Reason.RETRY_BUDGET_EMPTY
        return None
