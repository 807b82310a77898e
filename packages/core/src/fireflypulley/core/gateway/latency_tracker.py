"""Compares the latency of answers with the baseline of their route.

A version that is several times slower may still meet each route's target
while its load is low, so targets alone do not reveal it.
"""

import math

from fireflypulley.core import facts
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import versions

SMOOTHING = 0.1
"""Weight of the newest answer in the baseline."""
MIN_ANSWERS = 3
"""Fewer answers give no baseline."""
LATE_FACTOR = 3.0
"""A first event is late if it takes this many times the baseline.  A
version without cached prompts is slower too, but by less."""
LONG_PAUSE_FACTOR = 2.5
PAUSE_EVENTS = 8
"""Events over which pauses are averaged; pauses of a stream are alike."""


class LatencyBaselines:
    """Geometric means of times by name."""

    def __init__(self) -> None:
        self._log_means: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def observe(self, name: str, time_s: float) -> None:
        """Record a time."""
        count = self._counts[name] = self._counts.get(name, 0) + 1
        weight = max(SMOOTHING, 1.0 / count)
        mean = self._log_means.get(name, 0.0)
        self._log_means[name] = mean + weight * (_log(time_s) - mean)

    def exceeds(self, name: str, time_s: float, factor: float) -> bool:
        """Return whether a time exceeds the baseline times a factor."""
        return _log(time_s) > self._log_means[name] + math.log(factor)

    def is_known(self, name: str) -> bool:
        """Return whether there are enough times for a baseline."""
        return self._counts.get(name, 0) >= MIN_ANSWERS


def _log(time_s: float) -> float:
    return math.log(max(time_s, 0.001))


class LatencyTracker:
    """Measures answers, and records them as evidence on their version."""

    def __init__(self, rollouts: versions.RolloutTracker) -> None:
        self._rollouts = rollouts
        self._first_events = LatencyBaselines()
        self._pauses = LatencyBaselines()

    def first_event(self, run: runs.Run, now_s: float) -> None:
        """Record the first event of an answer."""
        self._measure(
            run,
            now_s - run.began_s,
            self._first_events,
            LATE_FACTOR,
            facts.Measure.FIRST_EVENT,
        )

    def event(self, run: runs.Run, event_id: int, now_s: float) -> None:
        """Record any event of a stream."""
        if run.first_event_s is None:
            return
        if run.first_event_id is None:
            run.first_event_id = event_id
        events = event_id - run.first_event_id
        if events < PAUSE_EVENTS or run.pause_measured:
            return
        run.pause_measured = True
        self._measure(
            run,
            (now_s - run.first_event_s) / events,
            self._pauses,
            LONG_PAUSE_FACTOR,
            facts.Measure.PAUSE,
        )

    def _measure(
        self,
        run: runs.Run,
        time_s: float,
        baselines: LatencyBaselines,
        factor: float,
        measure: facts.Measure,
    ) -> None:
        service = run.request.service.name
        version = run.member.registration.version
        route = run.request.route.name
        if baselines.is_known(route):
            is_slow = baselines.exceeds(route, time_s, factor)
            self._rollouts.observe(
                service, version, route, False, is_slow, measure
            )
        if self._rollouts.is_baseline(service, version):
            baselines.observe(route, time_s)
