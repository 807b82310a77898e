"""Records what becomes of attempts, and what it says of endpoints."""

import collections

from fireflypulley.core.gateway import brittle_endpoints
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import crash_tracker
from fireflypulley.core.gateway import durations
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import latency_tracker
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import versions

FULL_BACKOFF_S = 0.15

_NO_VERDICT = frozenset(
    {
        calls.Outcome.AMBIGUOUS,
        calls.Outcome.FAILED,
        calls.Outcome.SLOW,
        calls.Outcome.UNRELATED,
        calls.Outcome.WITHHELD,
    }
)
"""Outcomes that say nothing about the endpoint's health."""
_NO_EVIDENCE = frozenset({calls.Outcome.AMBIGUOUS, calls.Outcome.UNRELATED})
"""Outcomes that say nothing about the endpoint's version either."""
_LATE = frozenset({calls.Outcome.SILENT, calls.Outcome.SLOW})
"""Outcomes that a caller who does not read may bring about."""


class AttemptEvaluator:
    """Turns the ends of attempts into the health of endpoints.

    Also into durations of routes and evidence on versions.
    """

    def __init__(
        self,
        members: fleet.Fleet,
        rollouts: versions.RolloutTracker,
        route_durations: durations.Durations,
        crashes: crash_tracker.CrashTracker,
        brittle: brittle_endpoints.BrittleEndpoints,
    ) -> None:
        self._fleet = members
        self._rollouts = rollouts
        self._latencies = latency_tracker.LatencyTracker(rollouts)
        self._durations = route_durations
        self._crashes = crashes
        self._brittle = brittle
        self.outcomes: collections.Counter[calls.Outcome]
        self.outcomes = collections.Counter()

    def note_sent(self, run: runs.Run, now_s: float) -> None:
        """Record that a request is being sent to its endpoint."""
        run.sent_s = now_s
        current = self._fleet.get(run.member.endpoint_id)
        if current is not None and current.removed_s is not None:
            run.removed_before_s = now_s - current.removed_s

    def note_event(
        self, run: runs.Run, event_id: int | None, now_s: float
    ) -> None:
        """Record the start of an answer, and each event of a stream."""
        run.events += 1
        if run.first_event_s is None:
            run.first_event_s = now_s
            run.load.note_first_event(run.tokens)
            self._observe(run, False, now_s)
            if not run.was_held:
                self._latencies.first_event(run, now_s)
        if event_id is not None and not run.was_held:
            self._latencies.event(run, event_id, now_s)

    def _observe(self, run: runs.Run, failed: bool, now_s: float) -> None:
        """Count an answer as evidence on its version."""
        if run.observed:
            return
        run.observed = True
        request = run.request
        took_s = now_s - run.began_s
        target_s = request.route.target_latency_s
        self._rollouts.observe(
            request.service.name,
            run.member.registration.version,
            request.route.name,
            failed,
            not failed and not run.was_held and took_s > target_s,
        )

    def note_ended(
        self, run: runs.Run, outcome: calls.Outcome, now_s: float
    ) -> None:
        """Record the end of an attempt."""
        if run.is_over:
            return
        run.is_over = True
        run.ended_s = now_s
        self.outcomes[outcome] += 1
        if run.first_event_s is None:
            run.load.note_first_event(run.tokens)
        run.load.end(run.is_held)
        self._judge(run, outcome, now_s)

    def note_disproved(self, run: runs.Run, now_s: float) -> None:
        """Record that another endpoint has shown this one to be wrong."""
        self._observe(run, True, now_s)
        if not run.member.leaving:
            run.load.failed(False, now_s)

    def note_abandoned(self, run: runs.Run) -> None:
        """Record that the caller left during an attempt."""
        if run.is_over:
            return
        run.is_over = True
        if run.first_event_s is None:
            run.load.note_first_event(run.tokens)
        run.load.end(run.is_held)

    def _judge(
        self, run: runs.Run, outcome: calls.Outcome, now_s: float
    ) -> None:
        request = run.request
        if run.was_held and outcome in _LATE:
            return
        is_known = outcome not in _NO_EVIDENCE
        if is_known and not outcome.certainly_not_run:
            failed = outcome is not calls.Outcome.COMPLETE
            self._observe(run, failed, now_s)
        if outcome is calls.Outcome.COMPLETE:
            run.load.succeeded()
            self._observe_duration(run, now_s)
            self._crashes.answered(request.fingerprint, now_s)
        elif outcome is calls.Outcome.NOT_RUN:
            run.load.full_until_s = now_s + FULL_BACKOFF_S
            self._brittle.note_refused(run.member, now_s)
        elif outcome in _NO_VERDICT:
            pass
        elif not run.member.leaving:
            lost = outcome is not calls.Outcome.GARBAGE
            run.load.failed(lost, now_s)

    def _observe_duration(self, run: runs.Run, now_s: float) -> None:
        """Record how long a complete answer took its endpoint."""
        if run.was_held:
            return
        if run.first_event_s is None:
            self._latencies.first_event(run, now_s)
        self._durations.observe(run.request.route.name, now_s - run.began_s)
