"""Keeps a node that was paused from acting on what it knew before.

Between its own ticks a node never sleeps long; a gap in the times of its
events shows that the process was stopped.  Until the store has answered
a question asked after the gap, or a short time has passed in which peers
could tell the news, nothing new is sent to endpoints.
"""

MIN_PAUSE_S = 1.0
MAX_BLOCK_S = 2.0


class PauseGuard:
    """Watches the times of a node's events."""

    def __init__(self) -> None:
        self._last_event_s: float | None = None
        self._resumed_s = float("-inf")
        self._blocked = False

    def note(self, now_s: float) -> None:
        """Record that an event is being handled."""
        if (
            self._last_event_s is not None
            and now_s - self._last_event_s > MIN_PAUSE_S
        ):
            self._resumed_s = now_s
            self._blocked = True
        self._last_event_s = now_s

    def confirm(self, asked_s: float) -> None:
        """Record an answer of the store, asked for at that time."""
        if asked_s >= self._resumed_s:
            self._blocked = False

    def blocks_dispatch(self, now_s: float) -> bool:
        """Return whether nothing new may be sent."""
        if self._blocked and now_s - self._resumed_s >= MAX_BLOCK_S:
            self._blocked = False
        return self._blocked
