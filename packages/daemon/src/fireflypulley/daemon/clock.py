"""Unix time that never jumps."""

import time

from twisted.internet import interfaces


class Clock:
    """The Unix time of the start, moved on by the monotonic clock."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor
        self._offset_s = time.time() - reactor.seconds()

    def now_s(self) -> float:
        """Return the Unix time."""
        return self._reactor.seconds() + self._offset_s
