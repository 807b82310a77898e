"""Watches whether a caller takes what is sent to it."""

import collections
import collections.abc
import typing

from twisted.internet import interfaces

from fireflypulley.core.gateway import caller_ends
from fireflypulley.transport import liveness
from fireflypulley.transport import tcp_state

CHECK_INTERVAL_S = 0.5
FIRST_CHECK_S = 0.02
"""Most answers have reached their callers by then."""
_OnDelivery = collections.abc.Callable[[caller_ends.Delivery], None]


class CallerWatch:
    """Watches one connection while bytes are on their way to the caller.

    ``on_end`` is called at most once, with the reason for which the
    connection is to be closed.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        transport: typing.Any,
        bounds: caller_ends.CallerBounds,
        on_end: collections.abc.Callable[[caller_ends.CallerEnd], None],
    ) -> None:
        self._reactor = reactor
        self._transport = transport
        self._bounds = bounds
        self._on_end = on_end
        self._liveness = liveness.PeerLiveness()
        self._written_bytes = 0
        self._taken_bytes = 0
        self._is_paused = False
        self._progress_s = reactor.seconds()
        self._timer: interfaces.IDelayedCall | None = None
        self._answers: collections.deque[tuple[int, _OnDelivery]]
        self._answers = collections.deque()
        """Where the answers that were written end, and who is told."""
        state = tcp_state.read(transport)
        self._first_byte = state.acknowledged_bytes if state else 0

    @property
    def unread_bytes(self) -> int:
        """Return the bytes that the caller's machine had not taken.

        They are those of the last look at the connection, and unknown (0)
        where the kernel does not tell.
        """
        return self._written_bytes - self._taken_bytes

    def note_written(self, size_bytes: int) -> None:
        """Record that bytes were given to the transport."""
        if not self.unread_bytes:
            self._progress_s = self._reactor.seconds()
        self._written_bytes += size_bytes
        if self._timer is None:
            self._schedule(CHECK_INTERVAL_S)

    def expect_delivery(self, on_delivery: _OnDelivery) -> None:
        """Call when all that was written has arrived, or can't any more."""
        self._answers.append((self._written_bytes, on_delivery))
        if self._timer is not None:
            self._timer.cancel()
        self._schedule(FIRST_CHECK_S)

    def note_paused(self, is_paused: bool) -> None:
        """Record whether the transport takes no more bytes for now."""
        self._is_paused = is_paused
        self._progress_s = self._reactor.seconds()

    def stop(self, end: caller_ends.CallerEnd) -> None:
        """Stop watching a connection that is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._answers:
            end_bytes, on_delivery = self._answers.popleft()
            unsent_bytes = end_bytes - self._taken_bytes
            on_delivery(caller_ends.Delivery(unsent_bytes, end))

    def _schedule(self, delay_s: float) -> None:
        self._timer = self._reactor.callLater(delay_s, self._check)

    def _check(self) -> None:
        self._timer = None
        end = self._find_end()
        if end is not None:
            self._on_end(end)
        elif self._timer is None and (self.unread_bytes or self._is_paused):
            self._schedule(CHECK_INTERVAL_S)

    def look(self) -> None:
        """Find out how much the caller's machine has taken."""
        self._take(tcp_state.read(self._transport))

    def _take(self, state: tcp_state.TcpState | None) -> None:
        taken_bytes = self._taken_bytes
        if state is not None:
            taken_bytes = state.acknowledged_bytes - self._first_byte
        elif not self._is_paused:
            taken_bytes = self._written_bytes
        if taken_bytes <= self._taken_bytes:
            return
        self._taken_bytes = min(taken_bytes, self._written_bytes)
        if state is not None:
            self._progress_s = self._reactor.seconds()
        while self._answers and self._answers[0][0] <= self._taken_bytes:
            _, on_delivery = self._answers.popleft()
            on_delivery(caller_ends.Delivery())

    def _find_end(self) -> caller_ends.CallerEnd | None:
        """Return why the connection is to be closed now, or None."""
        now_s = self._reactor.seconds()
        state = tcp_state.read(self._transport)
        self._take(state)
        if not self.unread_bytes and not self._is_paused:
            return None
        if state is not None and self._liveness.is_dead(state, now_s):
            return caller_ends.CallerEnd.DEAD
        if now_s - self._progress_s >= self._bounds.stall_s:
            return caller_ends.CallerEnd.TOO_SLOW
        return None
