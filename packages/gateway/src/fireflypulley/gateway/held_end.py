"""The end of an answer that only a close has told, while it is in doubt."""

import collections.abc

from twisted.internet import interfaces

from fireflypulley.core.gateway import answer_ends

Verdict = collections.abc.Callable[[answer_ends.Doubt | None], None]
"""Gets the reason to doubt an end, None if there is none."""


class HeldEnd:
    """Waits for the verdict on one end; later ones are void."""

    def __init__(
        self, timer: interfaces.IDelayedCall, on_verdict: Verdict
    ) -> None:
        self._timer = timer
        self._on_verdict: Verdict | None = on_verdict

    def judge(self, doubt: answer_ends.Doubt | None) -> None:
        """Pass on the first verdict, unless the end was dropped."""
        on_verdict, self._on_verdict = self._on_verdict, None
        self._stop_timer()
        if on_verdict is not None:
            on_verdict(doubt)

    def drop(self) -> None:
        """Wait for no verdict, as nobody needs the answer any more."""
        self._on_verdict = None
        self._stop_timer()

    def _stop_timer(self) -> None:
        if self._timer.active():
            self._timer.cancel()
