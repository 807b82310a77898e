"""The open connections of a node's callers."""

from fireflypulley.gateway import caller_account
from fireflypulley.gateway import memory


class OpenCallers:
    """Counts the connections that are open."""

    def __init__(self, budget: memory.MemoryBudget) -> None:
        self.budget = budget
        self._accounts: set[caller_account.CallerAccount] = set()

    def __len__(self) -> int:
        return len(self._accounts)

    def add(self, account: caller_account.CallerAccount) -> None:
        """Add a connection that was opened."""
        self._accounts.add(account)

    def remove(self, account: caller_account.CallerAccount) -> None:
        """Remove a connection that is closed."""
        self._accounts.discard(account)
        account.close()
