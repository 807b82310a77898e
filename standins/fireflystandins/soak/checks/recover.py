"""Nodes that don't serve again after the last strike."""

import math

from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence

_SERVED = frozenset({"whole", "left"})
_OPEN = frozenset({"crossed", ""})


class Recover(base.Checker):
    """Nodes that serve little once all strikes have ended.

    A node that served little before the first strike is not judged, and
    nothing excuses another.  Of few requests one has to be served: a node
    that no request reaches takes no connections.
    """

    rule = "RECOVER"
    sentence = "each node serves again after the last strike"
    recovery_s = 12.0
    least_share = 0.25
    least_requests = 8

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        first_s = min((one.began_s for one in seen.happenings), default=0.0)
        last_s = max(
            (one.ended_s for one in seen.happenings), default=math.inf
        )
        from_s = last_s + self.recovery_s
        end_s = max((one.sent_s for one in seen.answers), default=0.0)
        if end_s - from_s < base.CONTACT_S:
            return base.Verdict(0, [])
        checked, breaks = 0, []
        for node in sorted({one.node for one in seen.answers}):
            own = [one for one in seen.answers if one.node == node]
            before = [one for one in own if 0 < one.sent_s < first_s]
            if not self._serves(before):
                continue
            checked += 1
            after = [one for one in own if one.sent_s >= from_s]
            if self._serves(after):
                continue
            text = (
                f"{_count_served(after)} of {len(after)} requests served"
                f" from {self.recovery_s:.0f} s after the last strike on"
            )
            breaks.append(base.Break(self.rule, from_s, text, node))
        return base.Verdict(checked, breaks)

    def _serves(self, answers: list[callers.Answer]) -> bool:
        """Return whether there are requests, and enough are served."""
        ended = [one for one in answers if one.how not in _OPEN]
        if len(ended) < self.least_requests:
            return any(_is_served(one) for one in answers)
        return _count_served(ended) >= self.least_share * len(ended)


def _count_served(answers: list[callers.Answer]) -> int:
    return sum(_is_served(one) for one in answers)


def _is_served(answer: callers.Answer) -> bool:
    return answer.how in _SERVED and 200 <= answer.status < 300
