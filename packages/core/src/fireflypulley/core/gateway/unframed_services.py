"""Which services answer without a length.

Where only a close tells the end of an answer, a second answer to an earlier
request of its connection can't be told from a part of it.  So requests for
such a service get connections that have carried no other.
"""

MEMORY_S = 60.0
"""A service counts as such for so long after an answer without a length."""


class UnframedServices:
    """Remembers the services with such answers for a while."""

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def note(self, service: str, now_s: float) -> None:
        """Record an answer of a service without a length."""
        self._until_s[service] = now_s + MEMORY_S

    def needs_unused(self, service: str, now_s: float) -> bool:
        """Return whether a request needs a connection of its own."""
        until_s = self._until_s.get(service)
        if until_s is None:
            return False
        if now_s < until_s:
            return True
        del self._until_s[service]
        return False
