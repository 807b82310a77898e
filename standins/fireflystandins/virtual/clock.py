"""Virtual time: what is due runs in order, with no waiting."""

import collections.abc
import heapq
import itertools

START_S = 1_000_000.0


class Clock:
    """A queue of calls by their time."""

    def __init__(self) -> None:
        self.now_s = START_S
        self._due: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._order = itertools.count()

    def after(
        self, delay_s: float, call: collections.abc.Callable[[], None]
    ) -> None:
        """Run a call after a delay."""
        due_s = self.now_s + delay_s
        heapq.heappush(self._due, (due_s, next(self._order), call))

    def every(
        self,
        period_s: float,
        call: collections.abc.Callable[[], bool | None],
        first_s: float = 0.0,
    ) -> None:
        """Run a call again and again until it returns False."""

        def again() -> None:
            if call() is not False:
                self.after(period_s, again)

        self.after(first_s, again)

    def run_for(self, duration_s: float) -> None:
        """Run all that is due within a duration."""
        ends_s = self.now_s + duration_s
        while self._due and self._due[0][0] <= ends_s:
            due_s, _, call = heapq.heappop(self._due)
            self.now_s = max(self.now_s, due_s)
            call()
        self.now_s = ends_s
