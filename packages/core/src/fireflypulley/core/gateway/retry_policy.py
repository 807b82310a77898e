"""Decides whether a request is retried at another endpoint."""

import collections

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import runs

MAX_CHOICES = 6
EXTRA_ARRIVALS = 2
"""Attempts allowed beyond the route's maximum if endpoints refuse to run."""
RETRY_AFTER_S = 0.3
FREE = frozenset({calls.Outcome.UNREACHED, calls.Outcome.WITHHELD})
"""Outcomes of attempts that no byte was sent of, so that the next one is no
retry."""

_SPECULATIVE = frozenset({calls.Outcome.SILENT, calls.Outcome.SLOW})
"""Outcomes after which the endpoint may still go on."""


class RetryPolicy:
    """Keeps retries within the route's attempts and the retry budget."""

    def __init__(self, budget: limits.RetryBudget) -> None:
        self._budget = budget
        self.retried: collections.Counter[calls.Outcome]
        self.retried = collections.Counter()

    def refusal(
        self,
        request: calls.AdmittedRequest,
        outcome: calls.Outcome,
        counts: runs.AttemptCounts,
        nodes: int,
        now_s: float,
    ) -> runs.Refusal | None:
        """Return None if the request may be retried, and count the retry.

        A request that may have run is retried only if its route allows
        it.  One that was withheld from a limited endpoint is no retry.
        """
        if outcome is calls.Outcome.WITHHELD:
            if counts.withheld < MAX_CHOICES:
                return None
            return _refuse(counts, runs.RetryObstacle.ATTEMPTS)
        route = request.route
        if not outcome.certainly_not_run and not route.repeatable:
            once = runs.RetryObstacle.AT_MOST_ONCE
            unknown = calls.RefusalReason.OUTCOME_UNKNOWN
            return runs.Refusal(unknown, None, once.value)
        is_exhausted = (
            counts.runs >= route.max_attempts
            or counts.arrivals >= route.max_attempts + EXTRA_ARRIVALS
            or counts.choices >= MAX_CHOICES
        )
        if is_exhausted:
            return _refuse(counts, runs.RetryObstacle.ATTEMPTS)
        if not self._fits_budget(request, outcome, nodes, now_s):
            return _refuse(counts, runs.RetryObstacle.BUDGET)
        self.retried[outcome] += 1
        return None

    def refund(self, grant: runs.Grant) -> None:
        """Take back a retry that was allowed and is not made."""
        self.retried[grant.outcome] -= 1
        self._budget.refund(grant.service, grant.granted_s)

    def _fits_budget(
        self,
        request: calls.AdmittedRequest,
        outcome: calls.Outcome,
        nodes: int,
        now_s: float,
    ) -> bool:
        """Return whether the budget allows the retry."""
        if outcome in FREE:
            return True
        worth = limits.RetryWorth.ENDED
        if outcome in _SPECULATIVE:
            worth = limits.RetryWorth.SPECULATIVE
        return self._budget.spend(request.service.name, nodes, now_s, worth)


def _refuse(
    counts: runs.AttemptCounts, obstacle: runs.RetryObstacle
) -> runs.Refusal:
    if counts.runs:
        unknown = calls.RefusalReason.OUTCOME_UNKNOWN
        return runs.Refusal(unknown, None, obstacle.value)
    full = calls.RefusalReason.ENDPOINTS_FULL
    return runs.Refusal(full, RETRY_AFTER_S, obstacle.value)
