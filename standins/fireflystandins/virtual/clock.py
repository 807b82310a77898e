"""Virtual time: scheduled calls run in order without waiting."""

import collections.abc
import heapq
import itertools

START_S = 1_000_000.0


class Clock:
    """A virtual clock with a queue of scheduled calls."""

    def __init__(self) -> None:
        self.now_s = START_S
        self._calls: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._sequence = itertools.count()

    def call_later(
        self, delay_s: float, call: collections.abc.Callable[[], None]
    ) -> None:
        """Run a call after a delay."""
        due_s = self.now_s + delay_s
        heapq.heappush(self._calls, (due_s, next(self._sequence), call))

    def call_every(
        self,
        period_s: float,
        call: collections.abc.Callable[[], bool | None],
        first_s: float = 0.0,
    ) -> None:
        """Run a call periodically until it returns False."""

        def run_and_reschedule() -> None:
            if call() is not False:
                self.call_later(period_s, run_and_reschedule)

        self.call_later(first_s, run_and_reschedule)

    def run_for(self, duration_s: float) -> None:
        """Advance the clock by a duration and run the calls due in it."""
        end_s = self.now_s + duration_s
        while self._calls and self._calls[0][0] <= end_s:
            due_s, _, call = heapq.heappop(self._calls)
            self.now_s = max(self.now_s, due_s)
            call()
        self.now_s = end_s
