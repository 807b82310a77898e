"""Estimates how long the requests of a route take."""

import dataclasses

SMOOTHING = 0.2
"""Weight of the newest request in the averages."""
DEVIATIONS = 2.0
"""Few requests take longer than the mean plus this many deviations."""


@dataclasses.dataclass(slots=True)
class _Average:
    mean_s: float
    deviation_s: float

    def take(self, took_s: float) -> None:
        off_s = abs(took_s - self.mean_s)
        self.deviation_s += SMOOTHING * (off_s - self.deviation_s)
        self.mean_s += SMOOTHING * (took_s - self.mean_s)


class Durations:
    """Moving averages of the time to a complete answer, by route."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def observe(self, route: str, took_s: float) -> None:
        """Record the duration of a completely answered request."""
        known = self._averages.get(route)
        if known is None:
            self._averages[route] = _Average(took_s, took_s / 2)
        else:
            known.take(took_s)

    def expected_s(self, route: str) -> float | None:
        """Return the time within which most requests end, None if unknown."""
        known = self._averages.get(route)
        if known is None:
            return None
        return known.mean_s + DEVIATIONS * known.deviation_s
