"""Detection of cold endpoints by their speed.

While an endpoint is not busy, a run of slow responses shows that it is
cold.  Under load, slow responses can be due to queueing, so an engine's
token rate per running request is compared with that of its peers.
"""

import collections
import collections.abc
import dataclasses
import statistics

from fireflypulley.core import topology

WINDOW_S = 3.0
MIN_WINDOW_S = 1.4
MIN_SLOT_TIME_S = 3.0  # running requests times seconds
SLOW_RATE_FACTOR = 0.4
SLOW_LATENCY_FACTOR = 2.5
MIN_SLOW_ANSWERS = 2
MIN_SLOW_SPAN_S = 0.5  # from the first slow response to the last
BUSY_FRACTION = 0.7  # of the capacity; busy endpoints may be slow
LATENCY_WEIGHT = 0.1
RATE_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class _Sample:
    at_s: float
    tokens: int
    running: int


class Speed:
    """The measured speed of one endpoint."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._samples: collections.deque[_Sample] = collections.deque()
        self._usual_rate: float | None = None
        self._usual_latency_s: float | None = None
        self._slow_since_s = 0.0
        self._slow_until_s = 0.0
        self._slow_answers = 0

    def reset(self) -> None:
        """Drop all measurements, as after a cold start."""
        self._samples.clear()
        self._usual_rate = None
        self._usual_latency_s = None
        self._slow_answers = 0

    def record_report(self, report: topology.LoadReport, now_s: float) -> None:
        """Record a load report."""
        if report.waiting or (
            report.running >= BUSY_FRACTION * self._capacity
        ):
            self._slow_answers = 0
        if self._samples and report.tokens_total < self._samples[-1].tokens:
            self._samples.clear()
        self._samples.append(
            _Sample(now_s, report.tokens_total, report.running)
        )
        while self._samples[0].at_s < now_s - WINDOW_S:
            self._samples.popleft()

    @property
    def rate(self) -> float | None:
        """Return the tokens per second of one running request.

        The rate is None while there are too few samples.
        """
        samples = list(self._samples)
        if len(samples) < 2 or not samples[-1].tokens:
            return None
        if samples[-1].at_s - samples[0].at_s < MIN_WINDOW_S:
            return None
        slot_s = sum(
            (current.at_s - previous.at_s)
            * (current.running + previous.running)
            / 2
            for previous, current in zip(samples, samples[1:])
        )
        if slot_s < MIN_SLOT_TIME_S:
            return None
        return (samples[-1].tokens - samples[0].tokens) / slot_s

    def record_latency(
        self, latency_s: float, now_s: float, usual_s: float | None
    ) -> None:
        """Record a response; ``usual_s`` is the usual latency of peers."""
        known = [s for s in (self._usual_latency_s, usual_s) if s]
        usual_s = min(known, default=latency_s)
        if latency_s <= SLOW_LATENCY_FACTOR * usual_s:
            self._slow_answers = 0
            own_s = self._usual_latency_s or latency_s
            change_s = LATENCY_WEIGHT * (latency_s - own_s)
            self._usual_latency_s = own_s + change_s
            return
        if not self._slow_answers:
            self._slow_since_s = now_s
        self._slow_until_s = now_s
        self._slow_answers += 1

    @property
    def usual_latency_s(self) -> float | None:
        """Return the endpoint's smoothed latency, without slow responses."""
        return self._usual_latency_s

    def is_cold(self, peers: collections.abc.Sequence["Speed"]) -> bool:
        """Return whether the endpoint is far slower than its peers.

        Without peers, it is compared with its own history.
        """
        if self._has_slow_answers():
            return True
        rate = self.rate
        if rate is None:
            return False
        rates = [r for r in (peer.rate for peer in peers) if r is not None]
        usual = statistics.median(rates) if rates else self._usual_rate
        if usual is not None and rate < SLOW_RATE_FACTOR * usual:
            return True
        own_rate = self._usual_rate or rate
        self._usual_rate = own_rate + RATE_WEIGHT * (rate - own_rate)
        return False

    def _has_slow_answers(self) -> bool:
        if self._slow_answers < MIN_SLOW_ANSWERS:
            return False
        return self._slow_until_s - self._slow_since_s >= MIN_SLOW_SPAN_S
