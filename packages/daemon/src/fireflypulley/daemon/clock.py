"""Unix time that does not jump when the system clock is set."""

import time

from twisted.internet import interfaces


class Clock:
    """The Unix time at start plus the monotonic time since then."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor
        self._offset_s = time.time() - reactor.seconds()

    def now_s(self) -> float:
        """Return the Unix time."""
        return self._reactor.seconds() + self._offset_s
