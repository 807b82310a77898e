"""Whether a request may go to another endpoint after an attempt."""

import collections

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import runs

MAX_CHOICES = 6
EXTRA_ARRIVALS = 2
"""Endpoints that turn a request away without running it."""
RETRY_AFTER_S = 0.3


class RetryPolicy:
    """Keeps requests within their route's attempts and the budget."""

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
        """Return None when the request may go on, and count the repeat.

        What may have run goes on only where the route allows it.
        """
        route = request.route
        if not outcome.certainly_not_run and not route.repeatable:
            return runs.Refusal(calls.RefusalReason.OUTCOME_UNKNOWN)
        is_exhausted = (
            counts.runs >= route.max_attempts
            or counts.arrivals >= route.max_attempts + EXTRA_ARRIVALS
            or counts.choices >= MAX_CHOICES
        )
        if is_exhausted or not self._fits_budget(
            request, outcome, nodes, now_s
        ):
            return self._exhausted(counts)
        self.retried[outcome] += 1
        return None

    def _fits_budget(
        self,
        request: calls.AdmittedRequest,
        outcome: calls.Outcome,
        nodes: int,
        now_s: float,
    ) -> bool:
        """Return whether the budget allows the repeat.

        Where no byte arrived, the next attempt is no repeat.
        """
        if outcome is calls.Outcome.UNREACHED:
            return True
        return self._budget.spend(request.service.name, nodes, now_s)

    def _exhausted(self, counts: runs.AttemptCounts) -> runs.Refusal:
        if counts.runs:
            return runs.Refusal(calls.RefusalReason.OUTCOME_UNKNOWN)
        return runs.Refusal(calls.RefusalReason.ENDPOINTS_FULL, RETRY_AFTER_S)
