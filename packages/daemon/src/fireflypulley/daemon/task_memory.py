"""What a request's answer takes of a node's memory."""

import collections.abc

from fireflypulley.transport import memory

COPIES = 2
"""Events are kept in a buffer that is copied as it grows; the parts of an
answer are joined, and again by the transport."""


def _do_nothing() -> None:
    """Give nothing up; the answer is gone."""


class TaskMemory(memory.Holder):
    """Counts the events of an answer, and what an attempt has received."""

    def __init__(
        self,
        budget: memory.MemoryBudget,
        on_give_up: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._on_give_up = on_give_up
        self._part_bytes = 0

    def hold(self, size_bytes: int) -> None:
        """Count events that are kept until the request ends."""
        self._budget.hold(self, memory.Use.ANSWER, size_bytes * COPIES)

    def hold_part(self, size_bytes: int) -> None:
        """Count a part of an answer that is not complete."""
        self._part_bytes += size_bytes * COPIES
        self.hold(size_bytes)

    def drop_part(self) -> None:
        """Count nothing of what the attempt has received."""
        size_bytes, self._part_bytes = self._part_bytes, 0
        self._budget.release(self, memory.Use.ANSWER, size_bytes)

    def close(self) -> None:
        """Count nothing any more."""
        self._on_give_up = _do_nothing
        self._part_bytes = 0
        self._budget.release(self, memory.Use.ANSWER, self.held_bytes)

    def give_up(self) -> None:
        self._on_give_up()
