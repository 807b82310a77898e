"""What the connection of one caller holds of a node's memory."""

import collections.abc

from fireflypulley.gateway import header_codec
from fireflypulley.transport import memory
from fireflypulley.transport import open_callers

CONNECTION_BYTES = 24 << 10
"""The objects of a connection that has said nothing yet."""
FIELD_BYTES = 640
"""The objects of a header field beside its bytes."""
BODY_COPIES = 2
"""The body is kept for another attempt while one is being written."""
REQUESTS_SHARE = 0.5
"""Of the bound, for the requests that are under way together."""
SMALL_REQUEST_BYTES = 32 << 10
"""Requests up to this size are not refused for those under way."""


class CallerAccount(open_callers.Account):
    """Counts what a connection holds; ``on_give_up`` ends it.

    ``is_served`` returns whether the node works on its request and the
    caller keeps nothing waiting.
    """

    def __init__(
        self,
        budget: memory.MemoryBudget,
        on_give_up: collections.abc.Callable[[], None],
        is_served: collections.abc.Callable[[], bool],
    ) -> None:
        self._budget = budget
        self._on_give_up = on_give_up
        self._is_served = is_served
        self._read_bytes = 0
        self._request_bytes = 0
        budget.hold(self, memory.Use.CONNECTION, CONNECTION_BYTES)

    @property
    def is_awaited(self) -> bool:
        """Return whether the caller waits for the node."""
        return self._is_served()

    def give_up(self) -> None:
        self._on_give_up()

    def note_read(self, size_bytes: int) -> None:
        """Count bytes of a request that is not complete."""
        self._read_bytes += size_bytes
        self._budget.hold(self, memory.Use.UPLOAD, size_bytes)

    def drop_read(self, left_bytes: int = 0) -> None:
        """Count no more of what was read than is left of it."""
        size_bytes = self._read_bytes - left_bytes
        self._read_bytes = left_bytes
        self._budget.release(self, memory.Use.UPLOAD, size_bytes)

    def begin_request(
        self,
        headers: header_codec.Headers,
        body_bytes: int,
        left_bytes: int = 0,
    ) -> bool:
        """Count a complete request; return False if there is no room.

        ``left_bytes`` have been read of those that follow it.
        """
        self.drop_read(left_bytes)
        size_bytes = body_bytes * BODY_COPIES + sum(
            len(name) + len(value) + FIELD_BYTES for name, value in headers
        )
        if not self._has_room(size_bytes):
            return False
        self._request_bytes = size_bytes
        self._budget.hold(self, memory.Use.REQUEST, size_bytes)
        return True

    def _has_room(self, size_bytes: int) -> bool:
        if size_bytes <= SMALL_REQUEST_BYTES:
            return True
        under_way_bytes = self._budget.used_bytes[memory.Use.REQUEST]
        bound_bytes = self._budget.bound_bytes * REQUESTS_SHARE
        return under_way_bytes + size_bytes <= bound_bytes

    def end_request(self) -> None:
        """Count nothing of the request any more."""
        size_bytes, self._request_bytes = self._request_bytes, 0
        self._budget.release(self, memory.Use.REQUEST, size_bytes)

    def note_moved(self) -> None:
        """Record that the caller has taken or sent something."""
        self._budget.note_moved(self)

    def close(self) -> None:
        """Count nothing any more; the connection is gone."""
        self.drop_read()
        self.end_request()
        self._budget.release(self, memory.Use.CONNECTION, CONNECTION_BYTES)
