"""Answers that are not what their endpoint gave."""

from fireflystandins.soak import answers
from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak.checks import order
from fireflystandins.soak import evidence


class Mixed(base.Checker):
    """Answers of another request or of no endpoint, or not whole.

    An answer that looks complete and isn't has no excuse but that its
    endpoint gave it so: a run without an event that said it was whole.
    """

    rule = "MIXED"
    sentence = "a caller gets its own answer, as its endpoint gave it"

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            if not answer.status and answer.how != "invalid":
                continue
            checked += 1
            events = seen.plan.load.events - answer.last
            problem = self._find_problem(answer, events)
            if problem and seen.has_empty_run(answer):
                events = len(order.find_events(answer))
                problem = self._find_problem(answer, events)
            if problem:
                breaks.append(base.of(self, answer, problem))
        return base.Verdict(checked, breaks)

    def _find_problem(self, answer: callers.Answer, events: int) -> str:
        if answer.how == "invalid":
            return "bytes that are no answer"
        if answer.names not in ("", answer.request_id):
            return f"an answer to {answer.names}"
        if not 200 <= answer.status < 300:
            return ""
        if not answer.seal:
            return "a success without a seal"
        if answer.route in base.STREAM_ROUTES:
            return self._find_event_problem(answer, events)
        expected = answers.expected_body(answer.request_id)
        if answer.how == "whole" and answer.body != expected:
            return f"the body {answer.body[:60]!r}"
        return ""

    def _find_event_problem(self, answer: callers.Answer, events: int) -> str:
        found = list(order.EVENT.finditer(answer.body))
        others = {one[2] for one in found} - {answer.request_id.encode()}
        if others:
            return f"events of {others}"
        size = sum(len(one[0]) for one in found)
        if answer.how != "whole":
            return ""
        if len(found) != events or size != len(answer.body):
            return f"success with {len(found)} of {events} events"
        return ""
