"""Keeps a node that was paused from acting on what it knew before.

Between its own ticks a node never sleeps long; a gap in the times of its
events shows that the process was stopped.  Until the store has answered
a question asked after the gap, or a short time has passed in which peers
could tell the news, nothing new is sent to endpoints.
"""

PAUSE_S = 1.0
HOLD_S = 2.0


class PauseGuard:
    """Watches the times of a node's events."""

    def __init__(self) -> None:
        self._seen_s: float | None = None
        self._resumed_s = float("-inf")
        self._held = False

    def note(self, now_s: float) -> None:
        """Record that an event is being handled."""
        if self._seen_s is not None and now_s - self._seen_s > PAUSE_S:
            self._resumed_s = now_s
            self._held = True
        self._seen_s = now_s

    def confirm(self, asked_s: float) -> None:
        """Record an answer of the store, asked for at that time."""
        if asked_s >= self._resumed_s:
            self._held = False

    def holds(self, now_s: float) -> bool:
        """Return whether nothing new may be sent."""
        if self._held and now_s - self._resumed_s >= HOLD_S:
            self._held = False
        return self._held
