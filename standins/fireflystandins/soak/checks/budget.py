"""Repeats beyond the share that a service allows."""

import collections.abc

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence


class Repeats(base.Checker):
    """Arrivals beyond the first of each request."""

    rule = "BUDGET"
    sentence = "repeats stay within the share of requests, and the slack"
    ratio = 0.2
    window_s = 10.0
    slack = 19

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for service in ("s", "r"):
            runs = [
                run for run in seen.runs if run.endpoint.startswith(service)
            ]
            routes = base.STREAM_ROUTES
            if service == "r":
                routes = frozenset({"fetch", "file"})
            sent_s = [
                answer.sent_s
                for answer in seen.answers
                if answer.route in routes and answer.sent_s
            ]
            for at_s in _find_repeats(runs):
                checked += 1
                problem = self._find_excess(at_s, runs, sent_s)
                if problem:
                    breaks.append(base.Break(self.rule, at_s, problem))
                    break
        return base.Verdict(checked, breaks)

    def _find_excess(
        self,
        at_s: float,
        runs: collections.abc.Sequence[evidence.Run],
        sent_s: list[float],
    ) -> str:
        """Judge the window that begins at a repeat."""
        repeats = sum(
            at_s <= moment_s < at_s + self.window_s
            for moment_s in _find_repeats(runs)
        )
        most = max(
            sum(start <= moment < start + self.window_s for moment in sent_s)
            for start in (
                at_s,
                at_s - self.window_s / 2,
                at_s - self.window_s,
            )
        )
        allowed = self.ratio * most + self.slack
        if repeats <= allowed:
            return ""
        return f"{repeats} repeats in 10 s, {allowed:.1f} allowed"


def _find_repeats(
    runs: collections.abc.Iterable[evidence.Run],
) -> list[float]:
    known: set[str] = set()
    moments_s = []
    for run in sorted(runs, key=lambda run: run.began_s):
        if run.request_id in known:
            moments_s.append(run.began_s)
        known.add(run.request_id)
    return moments_s
