"""Requests without a final answer at the time-out of their route."""

from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

_JUDGED_STYLES = frozenset({"whole", "leaving"})
"""Others read late, or write a request that is not read yet."""


class Timeouts(base.Checker):
    """Requests that nodes in touch hold beyond the time-out of their route.

    Of those that last as long, few may lack a final answer a little later.
    Excused are nodes that were struck in contact time or while they had the
    request, and callers that read slowly or send early.
    """

    rule = "TIME-OUT"
    sentence = "a request is answered when its route's time is over"
    timeout_s = callers.DEADLINE_MS / 1000
    slack_s = 0.5
    most_share = 0.25

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        lasted = [one for one in seen.answers if self._is_judged(seen, one)]
        latest_s = self.timeout_s + self.slack_s
        late = [one for one in lasted if one.ended_s - one.sent_s > latest_s]
        breaks = []
        if len(late) > self.most_share * len(lasted):
            breaks = [base.of(self, one, _tell(one)) for one in late]
        return base.Verdict(len(lasted), breaks)

    def _is_judged(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> bool:
        took_s = answer.ended_s - answer.sent_s
        if answer.style not in _JUDGED_STYLES or answer.how in base.UNJUDGED:
            return False
        if not answer.sent_s or took_s < self.timeout_s:
            return False
        return not seen.was_disturbed(
            answer.sent_s - base.CONTACT_S,
            answer.ended_s,
            base.UNPLANNED | {plan.Kind.STOP, plan.Kind.CALL},
            answer.node,
        )


def _tell(answer: callers.Answer) -> str:
    took_s = answer.ended_s - answer.sent_s
    return (
        f"{answer.route} by a {answer.style} caller: {answer.how},"
        f" status {answer.status}, after {took_s:.2f} s"
    )
