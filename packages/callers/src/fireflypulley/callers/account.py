"""What the connection of one caller holds of a node's memory."""

import collections.abc

from fireflypulley.transport import memory
from fireflypulley.transport import open_callers

CONNECTION_BYTES = 24 << 10
"""The objects of a connection and a request."""


class ChannelAccount(open_callers.Account):
    """Counts what a connection holds; ``abort`` closes it at once.

    ``is_served`` returns whether the node works on its request and the
    caller keeps nothing waiting.
    """

    def __init__(
        self,
        budget: memory.MemoryBudget,
        abort: collections.abc.Callable[[], None],
        is_served: collections.abc.Callable[[], bool],
    ) -> None:
        self._budget = budget
        self._abort = abort
        self._is_served = is_served
        self._read_bytes = 0
        self._request_bytes = 0
        self._waiting_bytes = 0
        self.has_given_up = False
        budget.hold(self, memory.Use.CONNECTION, CONNECTION_BYTES)

    @property
    def is_awaited(self) -> bool:
        """Return whether the caller waits for the node."""
        return self._is_served()

    def give_up(self) -> None:
        self.has_given_up = True
        self._abort()

    def note_read(self, size_bytes: int) -> None:
        """Count bytes of a request that does not run yet."""
        self._read_bytes += size_bytes
        self._budget.hold(self, memory.Use.UPLOAD, size_bytes)

    def begin_request(self) -> None:
        """Count what was read as a request under way."""
        size_bytes, self._read_bytes = self._read_bytes, 0
        self._request_bytes += size_bytes
        self._budget.release(self, memory.Use.UPLOAD, size_bytes)
        self._budget.hold(self, memory.Use.REQUEST, size_bytes)

    def end_request(self) -> None:
        """Count no request any more; what follows it is read again."""
        self._drop(memory.Use.UPLOAD, self._read_bytes)
        self._drop(memory.Use.REQUEST, self._request_bytes)
        self._read_bytes = self._request_bytes = 0

    def count_waiting(self, size_bytes: int) -> None:
        """Count so many bytes that wait for the caller, and no others."""
        change, self._waiting_bytes = (
            size_bytes - self._waiting_bytes,
            size_bytes,
        )
        if change > 0:
            self._budget.hold(self, memory.Use.CALLER, change)
        elif change:
            self._drop(memory.Use.CALLER, -change)

    def _drop(self, use: memory.Use, size_bytes: int) -> None:
        self._budget.release(self, use, size_bytes)

    def close(self) -> None:
        """Count nothing any more; the connection is gone."""
        self.end_request()
        self.count_waiting(0)
        self._drop(memory.Use.CONNECTION, CONNECTION_BYTES)
