"""Which routes are answered without a length.

Where only a close tells the end of an answer, a second answer to an earlier
request of its connection can't be told from a part of it.  So requests of
such a route get connections that have carried no other.
"""

MEMORY_S = 60.0
"""A route counts as such for so long after an answer without a length."""


class UnframedRoutes:
    """Remembers the routes of such answers for a while."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def note(self, route: str, now_s: float) -> None:
        """Record an answer of a route without a length."""
        self._until_s[route] = now_s + MEMORY_S

    def needs_unused(self, route: str, now_s: float) -> bool:
        """Return whether a request needs a connection of its own."""
        until_s = self._until_s.get(route)
        if until_s is None:
            return False
        if now_s < until_s:
            return True
        del self._until_s[route]
        return False
