"""Memory and descriptors that rise all the while."""

import collections.abc

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence

MINUTE_S = 60.0


class Trends(base.Checker):
    """Memory or descriptors of a process that rise steadily.

    The slope of a line through its samples, once it has warmed up, is
    judged, if it lived long enough for one.  Connections come and go, so
    descriptors may rise by as many as a minute of strikes brings.
    """

    rule = "TREND"
    sentence = "a node's memory and descriptors do not rise all the while"
    warm_up_s = 8.0
    least_samples = 20
    memory_bytes_per_min = 8 << 20
    descriptors_per_min = 240

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for key, rows in seen.samples.items():
            warm = [
                row for row in rows if row[0] >= rows[0][0] + self.warm_up_s
            ]
            if len(warm) < self.least_samples:
                continue
            checked += 1
            memory = _slope([(row[0], row[1]) for row in warm]) * MINUTE_S
            opened = _slope([(row[0], row[2]) for row in warm]) * MINUTE_S
            is_steady = (
                memory <= self.memory_bytes_per_min
                and opened <= self.descriptors_per_min
            )
            if is_steady:
                continue
            text = (
                f"{key}: {memory / (1 << 20):.1f} MiB and {opened:.0f}"
                f" descriptors more each minute, over {len(warm)} samples"
            )
            node = key.partition("/")[0]
            breaks.append(base.Break(self.rule, warm[-1][0], text, node))
        return base.Verdict(checked, breaks)


def _slope(points: collections.abc.Sequence[tuple[float, float]]) -> float:
    """Return the slope of the line that fits best, a second."""
    count = len(points)
    mean_s = sum(at_s for at_s, _ in points) / count
    mean = sum(value for _, value in points) / count
    spread = sum((at_s - mean_s) ** 2 for at_s, _ in points)
    joint = sum((at_s - mean_s) * (value - mean) for at_s, value in points)
    return joint / spread
