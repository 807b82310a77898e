"""Answers that end early around a stop."""

from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

_CALLS = frozenset({plan.Kind.CALL})


class Lost(base.Checker):
    """Answers that end early around a SIGTERM of their node.

    A request that reached no endpoint counts if its connection ended later
    than ``slack_s`` after it was sent: a node in touch has read it by then.
    """

    rule = "LOST"
    sentence = "a stop of a node ends no answer early"
    after_grace_s = 1.0
    accepts_s = 3.0
    slack_s = 0.2

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            stop = self._find_stop(seen, answer)
            if stop is None or answer.how in base.UNJUDGED:
                continue
            if not self._was_read(seen, answer):
                continue
            checked += 1
            if answer.how == "whole" or self._is_excused(seen, answer, stop):
                continue
            after_s = answer.ended_s - stop.began_s
            text = (
                f"{answer.route} by a {answer.style} caller: {answer.how},"
                f" status {answer.status}, {len(answer.body)} bytes,"
                f" {after_s:.2f} s after SIGTERM,"
                f" {answer.ended_s - answer.sent_s:.2f} s after it was sent"
            )
            breaks.append(base.of(self, answer, text))
        return base.Verdict(checked, breaks)

    def _was_read(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> bool:
        if answer.status or seen.runs_of(answer.request_id):
            return True
        waited_s = answer.ended_s - answer.sent_s
        return answer.sent_s > 0 and waited_s > self.slack_s

    def _find_stop(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> evidence.Happening | None:
        until_s = seen.plan.grace_s + self.after_grace_s
        for happening in seen.performed(plan.Kind.STOP):
            since_s = answer.ended_s - happening.began_s
            is_its_node = happening.strike.target == answer.node
            if is_its_node and 0 <= since_s <= until_s:
                return happening
        return None

    def _is_excused(
        self,
        seen: evidence.Evidence,
        answer: callers.Answer,
        stop: evidence.Happening,
    ) -> bool:
        runs = seen.runs_of(answer.request_id)
        took_s = answer.ended_s - answer.sent_s
        if took_s >= callers.DEADLINE_MS / 1000:
            return True
        if seen.was_disturbed(
            answer.sent_s - base.CONTACT_S, answer.ended_s, base.UNPLANNED
        ):
            return True
        if seen.was_disturbed(
            answer.sent_s, answer.ended_s, _CALLS, answer.node
        ):
            return True
        late_s = stop.began_s + seen.plan.grace_s * 5 / 6
        is_early = answer.sent_s <= stop.began_s + self.accepts_s
        if is_early and any(run.ended_s >= late_s for run in runs):
            return True
        return any(seen.broke_off(run, answer.ended_s) for run in runs)
