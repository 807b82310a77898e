"""How many attempts may be made again.

Attempts that failed through overload or errors share a budget that is a
tenth of the first tries.  An attempt that lost its endpoint is taken up
elsewhere without it, since refusing would lose accepted work.
"""

from fireflypulley.core import requests

BUDGET_FRACTION = 0.1
BUDGET_START = 3.0
BUDGET_MAX = 100.0
MAX_ATTEMPTS = 6

_BUDGETED = frozenset(
    {
        requests.Outcome.SERVER_ERROR,
        requests.Outcome.GARBAGE,
        requests.Outcome.TIMEOUT,
    }
)


class RetryBudget:
    """A bucket that first tries fill and retries empty."""

    def __init__(self) -> None:
        self._tokens = BUDGET_START

    @property
    def tokens(self) -> float:
        """Return how many retries are left."""
        return self._tokens

    def add_first_try(self) -> None:
        """Add the share that one first try earns."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_FRACTION)

    def try_spend(self, outcome: requests.Outcome) -> bool:
        """Return whether an attempt that ended so may be made again."""
        if outcome not in _BUDGETED:
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(progress: requests.Progress, outcome: requests.Outcome) -> bool:
    """Return whether repeating keeps every promise to the caller."""
    if not progress.request.at_most_once:
        return True
    return not progress.ever_sent
