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
    Those that end shortly before count as checked.
    Excused are nodes that were struck in contact time or while they had the
    request, and callers that read slowly or send early.
    """

    rule = "TIME-OUT"
    sentence = "a request is answered when its route's time is over"
    timeout_s = callers.DEADLINE_MS / 1000
    slack_s = 0.5
    most_share = 0.25

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        judged = [one for one in seen.answers if self._is_judged(seen, one)]
        lasted = [one for one in judged if _took_s(one) >= self.timeout_s]
        latest_s = self.timeout_s + self.slack_s
        late = [one for one in lasted if _took_s(one) > latest_s]
        breaks = []
        if len(late) > self.most_share * len(lasted):
            breaks = [base.of(self, one, _tell(one)) for one in late]
        return base.Verdict(len(judged), breaks)

    def _is_judged(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> bool:
        if answer.style not in _JUDGED_STYLES or answer.how in base.UNJUDGED:
            return False
        near_s = self.timeout_s - self.slack_s
        if not answer.sent_s or _took_s(answer) < near_s:
            return False
        return not seen.was_disturbed(
            answer.sent_s - base.CONTACT_S,
            answer.ended_s,
            base.UNPLANNED | {plan.Kind.STOP, plan.Kind.CALL},
            answer.node,
        )


def _took_s(answer: callers.Answer) -> float:
    return answer.ended_s - answer.sent_s


def _tell(answer: callers.Answer) -> str:
    return (
        f"{answer.route} by a {answer.style} caller: {answer.how},"
        f" status {answer.status}, after {_took_s(answer):.2f} s"
    )
