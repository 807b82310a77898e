"""Requests beyond the limits of a workspace or of an endpoint."""

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan


class Quota(base.Checker):
    """Requests of the workspace that run beyond its limit, at all endpoints.

    A request counts in a window if it was sent and ran in it.  Nothing
    excuses more: nodes out of touch keep their part.
    """

    rule = "QUOTA"
    sentence = "a workspace's requests run within its rate and burst"
    window_s = 8.0
    overshoot = 0.1
    tolerance = 10

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        rate = seen.plan.load.limit_per_s
        if not rate:
            return base.Verdict(0, [])
        amount = rate * self.window_s + seen.plan.load.limit_burst
        allowed = amount * (1 + self.overshoot) + self.tolerance
        moments = self._find_moments(seen)
        breaks = []
        for from_s, _ in moments:
            until_s = from_s + self.window_s
            count = sum(
                from_s <= sent_s and ran_s < until_s
                for sent_s, ran_s in moments
            )
            if count > allowed:
                text = f"{count} requests in 8 s, {allowed:.1f} allowed"
                breaks.append(base.Break(self.rule, from_s, text))
                break
        return base.Verdict(len(moments), breaks)

    def _find_moments(
        self, seen: evidence.Evidence
    ) -> list[tuple[float, float]]:
        """Return when each request that ran was sent, and first ran."""
        moments = []
        for answer in seen.answers:
            runs = seen.runs_of(answer.request_id)
            if runs:
                first_s = min(run.began_s for run in runs)
                moments.append((answer.sent_s, first_s))
        return sorted(moments)


class EndpointLimits(base.Checker):
    """Requests that an endpoint runs beyond the limit that it names.

    The limit binds some time after it is named until it is taken back.
    Nothing excuses more.
    """

    rule = "LIMIT"
    sentence = "an endpoint gets no more a second than it says it takes"
    binds_after_s = 3.0
    window_s = 4.0
    overshoot = 1.5
    slack = 5

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for happening in seen.performed(plan.Kind.LIMIT):
            target, rate = happening.strike.target, happening.strike.times
            from_s = happening.began_s + self.binds_after_s
            began_s = sorted(
                run.began_s
                for run in seen.runs
                if run.endpoint == target
                and from_s <= run.began_s <= happening.ended_s
            )
            checked += len(began_s)
            most, at_s = self._find_most(began_s)
            allowed = self.overshoot * rate * self.window_s + self.slack
            if most > allowed:
                text = f"{target}: {most} in 4 s, {allowed:.1f} allowed"
                breaks.append(base.Break(self.rule, at_s, text))
        return base.Verdict(checked, breaks)

    def _find_most(self, began_s: list[float]) -> tuple[int, float]:
        """Return the most requests in a window, and when it begins."""
        counts = [
            (sum(one <= at_s < one + self.window_s for at_s in began_s), one)
            for one in began_s
        ]
        return max(counts, default=(0, 0.0))
