"""The open connections of a node's callers, and how many there may be."""

import abc

from fireflypulley.transport import memory


class Account(memory.Holder):
    """What one connection holds."""

    @abc.abstractmethod
    def close(self) -> None:
        """Count nothing any more; the connection is gone."""


class OpenCallers:
    """Keeps the connections within ``limit``.

    One more than that ends the one that has not moved for longest, of those
    whose callers do not wait for the node, else the new one.
    """

    def __init__(self, budget: memory.MemoryBudget, limit: int) -> None:
        self.budget = budget
        self._limit = limit
        self._accounts: set[Account] = set()

    def add(self, account: Account) -> None:
        """Add a connection that was opened."""
        self._accounts.add(account)
        if len(self._accounts) <= self._limit:
            return
        idle = (one for one in self._accounts if not one.is_awaited)
        self.budget.let_give_up(self.budget.find_stalest(idle) or account)

    def remove(self, account: Account) -> None:
        """Remove a connection that is closed."""
        self._accounts.discard(account)
        account.close()
