"""The limits on retries.

Retries after server errors, invalid responses and time-outs share a
budget of a tenth of the first attempts.  A retry after the loss of an
endpoint needs no budget, since a refusal would lose accepted work.
"""

from fireflypulley.core import requests

BUDGET_FRACTION = 0.1  # retries earned per first attempt
INITIAL_BUDGET_RETRIES = 3.0
MAX_BUDGET_RETRIES = 100.0
MAX_ATTEMPTS = 6

_BUDGETED = frozenset(
    {
        requests.Outcome.SERVER_ERROR,
        requests.Outcome.INVALID,
        requests.Outcome.TIMEOUT,
    }
)


class RetryBudget:
    """A token bucket that first attempts fill and retries drain."""

    def __init__(self) -> None:
        self._tokens = INITIAL_BUDGET_RETRIES

    @property
    def tokens(self) -> float:
        """Return the number of retries left."""
        return self._tokens

    def add_first_try(self) -> None:
        """Add the fraction of a retry earned by one first attempt."""
        self._tokens = min(MAX_BUDGET_RETRIES, self._tokens + BUDGET_FRACTION)

    def try_spend(self, outcome: requests.Outcome) -> bool:
        """Take a token if the outcome needs one; return whether to retry."""
        if outcome not in _BUDGETED:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(progress: requests.Progress, outcome: requests.Outcome) -> bool:
    """Return whether a retry keeps at-most-once execution."""
    if not progress.request.at_most_once:
        return True
    return not progress.ever_sent
