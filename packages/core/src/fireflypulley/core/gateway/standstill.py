"""Notices that a node stood still, and dates what waited meanwhile.

A frozen process misses its periodic ticks.  When it goes on, it first
reads the requests that waited for it, which callers sent any time since
it stopped.
"""

NOTICED_S = 0.5
"""A longer time between two signs of life is a standstill; a node ticks
several times in it."""
BACKLOG_S = 1.0
BACKLOG_FRACTION = 0.25
"""What waited is read within ``BACKLOG_S`` and this part of the standstill
after its end."""


class Standstill:
    """The time of a node's last sign of life, and of its last standstill.

    Nothing is noticed before the first tick.  The times may come from a
    clock that is set: a step forward counts as a standstill, and after a
    step back nobody knows for how long the node stood still.
    """

    def __init__(self) -> None:
        self._last_s: float | None = None
        self._held_from_s = 0.0
        self._held_until_s = float("-inf")

    def tick(self, now_s: float) -> float:
        """Record a sign of life that comes several times a second."""
        stood_s = self.observe(now_s)
        self._last_s = now_s
        return stood_s

    def observe(self, now_s: float) -> float:
        """Return how long the node stood still up to now, 0 if it didn't.

        A negative time tells by how much the clock was set back.
        """
        last_s = self._last_s
        if last_s is None:
            return 0.0
        self._last_s = now_s
        passed_s = now_s - last_s
        if abs(passed_s) <= NOTICED_S:
            return 0.0
        if passed_s < 0.0:
            self._held_from_s = float("-inf")
            self._held_until_s = now_s + BACKLOG_S
            return passed_s
        if last_s >= self._held_until_s:
            self._held_from_s = last_s
        backlog_s = BACKLOG_S + passed_s * BACKLOG_FRACTION
        self._held_until_s = now_s + backlog_s
        return passed_s

    def earliest_sent_s(self, now_s: float) -> float:
        """Return when a request that is read now was sent at the earliest."""
        if now_s < self._held_until_s:
            return self._held_from_s
        return now_s
