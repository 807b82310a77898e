"""Decides whether an attempt may follow another one, and where."""

import dataclasses

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import retry_policy
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import attempt
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import record
from fireflypulley.gateway import relay

MIN_RETRY_TIME_S = 0.05


class AttemptChooser:
    """Chooses endpoints for the attempts of one request.

    ``excluded`` are the starts of endpoints that an attempt ended at.
    """

    def __init__(
        self,
        shared: dependencies.Dependencies,
        response_relay: relay.ResponseRelay,
        request_record: record.RequestRecord,
    ) -> None:
        self._dependencies = shared
        self._relay = response_relay
        self._record = request_record
        self.excluded: frozenset[tuple[str, int]] = frozenset()
        self._unused: runs.Grant | None = None
        """A retry that was allowed and has not been sent."""

    def _now_s(self) -> float:
        return self._dependencies.reactor.seconds()

    def has_time(self, request: calls.AdmittedRequest) -> bool:
        """Return whether an attempt can still be answered in time."""
        return request.deadline_s - self._now_s() >= MIN_RETRY_TIME_S

    def choose(
        self, request: calls.AdmittedRequest
    ) -> runs.Run | runs.Refusal:
        """Begin a run, or return why there is none.

        Once the request may have run, no refusal sends its caller
        elsewhere, and a run that may be cut is better than none.
        """
        is_new = not self._record.attempt_counts.runs
        if is_new and self._would_be_cut(request):
            stopping = calls.RefusalReason.STOPPING
            return runs.Refusal(stopping, calls.RETRY_ELSEWHERE_S)
        return self._dependencies.scheduler.choose(
            request,
            self.excluded,
            self._now_s(),
            self._record.attempt_counts.withheld,
        )

    def _would_be_cut(self, request: calls.AdmittedRequest) -> bool:
        """Return whether the node stops before an attempt is likely to end."""
        durations = self._dependencies.scheduler.endpoint_filter.durations
        expected_s = durations.expected_s(request.route.name) or 0.0
        return self._now_s() + expected_s > self._dependencies.stops_at_s()

    def choose_beside(
        self, late: attempt.Attempt, outcome: calls.Outcome
    ) -> runs.Run | runs.Refusal:
        """Begin a run at another sound endpoint, or return what hinders."""
        request = late.run.request
        if not self.has_time(request):
            return runs.Refusal(calls.RefusalReason.NO_TIME_LEFT)
        if self._would_be_cut(request):
            return runs.Refusal(calls.RefusalReason.STOPPING)
        refusal = self.find_refusal(late, outcome, self.counts_with(late))
        if refusal is not None:
            return refusal
        node_scheduler = self._dependencies.scheduler
        run = node_scheduler.choose_beside(
            request,
            self.excluded | {late.key},
            self._now_s(),
            self._record.attempt_counts.withheld,
        )
        if isinstance(run, runs.Refusal):
            self.give_back()
        return run

    def note_sent(self) -> None:
        """Record that a retry that was allowed has been sent."""
        self._unused = None

    def give_back(self) -> None:
        """Return a retry that was allowed and is not made."""
        unused, self._unused = self._unused, None
        if unused is not None:
            self._dependencies.scheduler.retry_policy.refund(unused)

    def counts_with(self, sent: attempt.Attempt) -> runs.AttemptCounts:
        """Return the counts that include an attempt that goes on."""
        counts = self._record.attempt_counts
        if sent.is_counted:
            return counts
        return dataclasses.replace(
            counts, choices=counts.choices + 1, runs=counts.runs + 1
        )

    def may_follow(self, failed: attempt.Attempt) -> bool:
        """Return whether another attempt may follow a failure."""
        request, counts = failed.run.request, self.counts_with(failed)
        if self._relay.head_sent or not self.has_time(request):
            return False
        return self.find_refusal(failed, calls.Outcome.FAILED, counts) is None

    def find_refusal(
        self,
        ended: attempt.Attempt,
        outcome: calls.Outcome,
        counts: runs.AttemptCounts,
    ) -> runs.Refusal | None:
        """Return why no attempt may follow another, or None."""
        if not self._relay.may_continue:
            unknown = calls.RefusalReason.OUTCOME_UNKNOWN
            part = runs.RetryObstacle.PART
            return runs.Refusal(unknown, None, part.value)
        now_s = self._now_s()
        refusal = self._dependencies.scheduler.may_retry(
            ended.run.request, outcome, counts, now_s, ended.run.has_begun
        )
        if refusal is None and outcome not in retry_policy.FREE:
            service = ended.run.request.service.name
            self._unused = runs.Grant(service, outcome, now_s)
        return refusal
