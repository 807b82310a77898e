"""Prevents a node that was paused from acting on stale state.

A running node handles a tick at short intervals, so a gap between its
events shows that the process was paused.  After a gap, nothing new is
sent to endpoints until the store has responded to a read started after
the gap, or until ``MAX_BLOCK_S`` have passed, in which the peers can
send their updates.
"""

MIN_PAUSE_S = 1.0
MAX_BLOCK_S = 2.0


class PauseGuard:
    """Detects pauses from the times of a node's events."""

    def __init__(self) -> None:
        self._last_event_s: float | None = None
        self._resumed_s = float("-inf")
        self._blocked = False

    def record_event(self, now_s: float) -> None:
        """Record the time of an event."""
        if (
            self._last_event_s is not None
            and now_s - self._last_event_s > MIN_PAUSE_S
        ):
            self._resumed_s = now_s
            self._blocked = True
        self._last_event_s = now_s

    def confirm(self, asked_s: float) -> None:
        """Record the store's response to a read started at ``asked_s``."""
        if asked_s >= self._resumed_s:
            self._blocked = False

    def blocks_dispatch(self, now_s: float) -> bool:
        """Return whether no new requests may be sent to endpoints."""
        if self._blocked and now_s - self._resumed_s >= MAX_BLOCK_S:
            self._blocked = False
        return self._blocked
