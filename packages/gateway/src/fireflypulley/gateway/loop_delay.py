"""How late the reactor runs what is due, for a node's log and metrics."""

from fireflypulley.gateway import decision_log

REPORTED_DELAY_S = 0.5
"""Callers and peers notice a turn of the event loop that is longer."""


class LoopDelay:
    """Compares the times of periodic calls with their interval.

    A turn of the event loop that takes long delays all connections of a
    node; so does a process that stood still.
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._previous_s: float | None = None
        self._longest_s = 0.0

    def note(self, now_s: float) -> None:
        """Record a periodic call."""
        previous_s, self._previous_s = self._previous_s, now_s
        if previous_s is None:
            return
        delay_s = max(0.0, now_s - previous_s - self._interval_s)
        self._longest_s = max(self._longest_s, delay_s)
        if delay_s > REPORTED_DELAY_S:
            decision_log.note("loop", delay_ms=round(delay_s * 1000))

    def take_longest_s(self) -> float:
        """Return the longest delay since the last call of this."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s
