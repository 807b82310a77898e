"""Accounts for the attempts of one request, and logs them."""

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import attempt
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import record


class AttemptAccounts:
    """Tells the scheduler, the metrics and the usage how attempts went.

    Each attempt is counted once in the counts of its request.
    """

    def __init__(
        self,
        shared: dependencies.Dependencies,
        request_record: record.RequestRecord,
    ) -> None:
        self._shared = shared
        self._record = request_record
        self._is_usage_counted = False
        self._unrelated: list[runs.Run] = []
        """Runs that did not follow the caller's event, if it has it."""

    def _now_s(self) -> float:
        return self._shared.reactor.seconds()

    def count_usage(self) -> None:
        """Count the request in its workspace's usage, once."""
        request = self._record.request
        if (
            request is None
            or request.workspace is None
            or self._is_usage_counted
        ):
            return
        self._is_usage_counted = True
        self._shared.count_usage(request.workspace.name)

    def note_event(
        self, sent: attempt.Attempt, last_event_id: int | None
    ) -> None:
        """Record an event of a stream."""
        self.count_usage()
        self._blame_unrelated()
        run = sent.run
        self._shared.scheduler.evaluator.note_event(
            run, last_event_id, self._now_s()
        )
        if run.events == prompt_crashes.PROVEN_EVENTS:
            self._shared.crash_detector.note_answered(run)

    def _blame_unrelated(self) -> None:
        """Count runs as failed, for another one has gone on rightly."""
        unrelated, self._unrelated = self._unrelated, []
        for run in unrelated:
            self._shared.scheduler.evaluator.note_disproved(run, self._now_s())

    def keep(self, sent: attempt.Attempt) -> None:
        """Count an attempt that goes on beside another one."""
        if sent.is_counted:
            return
        sent.is_counted = True
        self._record.attempt_counts.choices += 1
        self._record.attempt_counts.runs += 1

    def end(self, ended: attempt.Attempt, outcome: calls.Outcome) -> None:
        """Record how an attempt ended."""
        ended.stop_watching()
        if ended.run.is_over:
            return
        self._count(ended, outcome)
        self._shared.scheduler.evaluator.note_ended(
            ended.run, outcome, self._now_s()
        )
        if outcome is calls.Outcome.UNRELATED:
            self._unrelated.append(ended.run)
        if outcome is calls.Outcome.COMPLETE:
            self._shared.metrics.observe_attempt(ended.run, self._now_s())
            self._shared.crash_detector.note_answered(ended.run)
        if outcome is calls.Outcome.CUT and ended.was_sent:
            self.count_usage()
            self._shared.crash_detector.note_cut(ended.run)

    def _count(self, ended: attempt.Attempt, outcome: calls.Outcome) -> None:
        counts = self._record.attempt_counts
        may_have_run = ended.was_sent and not outcome.certainly_not_run
        if ended.is_counted:
            counts.runs -= not may_have_run
            return
        ended.is_counted = True
        if outcome is calls.Outcome.WITHHELD:
            counts.withheld += 1
        else:
            counts.choices += 1
        counts.runs += may_have_run

    def end_late(self, late: attempt.Attempt) -> None:
        """Record that an attempt was given up as late."""
        outcome = calls.Outcome.SLOW
        if late.run.is_unresponsive(self._now_s()):
            outcome = calls.Outcome.SILENT
        self.end(late, outcome)

    def drop(self, other: attempt.Attempt) -> None:
        """Record the end of an attempt that is not needed any more.

        One that is counted before its end was late; else it is not to
        blame.
        """
        if other.is_counted:
            self.end_late(other)
            return
        if other.was_sent:
            self.keep(other)
        self._shared.scheduler.evaluator.note_abandoned(other.run)

    def log_late(
        self,
        late: attempt.Attempt,
        outcome: calls.Outcome,
        refusal: runs.Refusal | None,
    ) -> None:
        """Log what follows a late attempt, once for each obstacle."""
        obstacle = ""
        if refusal is not None:
            obstacle = refusal.detail or refusal.reason.value
            if obstacle == late.obstacle:
                return
        late.obstacle = obstacle
        follows = "stay" if refusal else "beside"
        self.log(late, outcome, "no response in time", follows, refusal)

    def log(
        self,
        logged: attempt.Attempt,
        outcome: calls.Outcome,
        detail: str,
        follows: str,
        refusal: runs.Refusal | None,
    ) -> None:
        """Log an attempt that failed or is late, and what follows."""
        self._record.log_attempt(
            logged.run, outcome, detail, follows, refusal, self._now_s()
        )
