"""Detects attempts of repeatable requests that get no response in time."""

import collections.abc

from twisted.internet import interfaces

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs

CHECK_INTERVAL_S = 0.1
MAX_CHECK_INTERVAL_S = 0.8
"""An attempt that stays late asks for another one this often."""
STREAM_TIMEOUT_S = 0.8
MIN_PLAIN_TIMEOUT_S = 0.1
PLAIN_TIMEOUT_TARGET_FRACTION = 0.6
"""A plain request is retried after this fraction of its route's target
latency, so that the retry can still meet the target."""


class ResponseWatchdog:
    """Watches one attempt.

    A stream fails when its endpoint sends nothing to any request; a plain
    request fails when the head of its response is late.  While the caller
    does not read, nothing is late.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        run: runs.Run,
        has_head: collections.abc.Callable[[], bool],
        on_timeout: collections.abc.Callable[[calls.Outcome], None],
    ) -> None:
        self._reactor = reactor
        self._run = run
        self._has_head = has_head
        self._on_timeout = on_timeout
        route = run.request.route
        self._pause_s = CHECK_INTERVAL_S
        timeout_s = STREAM_TIMEOUT_S
        if not route.is_stream:
            target_s = route.target_latency_s * PLAIN_TIMEOUT_TARGET_FRACTION
            timeout_s = max(MIN_PLAIN_TIMEOUT_S, target_s)
        self._timeout_s = timeout_s
        self._timer = reactor.callLater(timeout_s, self._check)

    def check_again(self) -> None:
        """Check again after a while, which doubles each time."""
        self.stop()
        self._timer = self._reactor.callLater(self._pause_s, self._check)
        self._pause_s = min(2 * self._pause_s, MAX_CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Cancel the watchdog."""
        if self._timer.active():
            self._timer.cancel()

    def _check(self) -> None:
        if self._run.is_held and not self._run.is_over:
            self._timer = self._reactor.callLater(self._timeout_s, self._check)
            return
        if self._find_problem() is None:
            self._pause_s = CHECK_INTERVAL_S
            self._watch_on()
            return
        # If this node itself stood still, what has arrived since is read
        # before the next turn.
        self._timer = self._reactor.callLater(0.0, self._confirm)

    def _watch_on(self) -> None:
        if self._run.is_over:
            return
        if self._run.is_held:
            # What the node does not read has its time from when it does.
            delay_s = self._timeout_s
        elif self._run.request.route.is_stream:
            delay_s = CHECK_INTERVAL_S
        else:
            return
        self._timer = self._reactor.callLater(delay_s, self._check)

    def _confirm(self) -> None:
        problem = self._find_problem()
        if problem is None:
            self._watch_on()
        else:
            self._on_timeout(problem)

    def _find_problem(self) -> calls.Outcome | None:
        """Return as what the attempt is late, or None."""
        if self._run.is_over or self._run.is_held:
            return None
        if not self._run.request.route.is_stream:
            return None if self._has_head() else calls.Outcome.SLOW
        if self._run.is_unresponsive(self._reactor.seconds()):
            return calls.Outcome.SILENT
        return None
