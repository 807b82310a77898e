"""Requests that run more often than they may."""

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence


class Twice(base.Checker):
    """Requests with an effect that run more than once."""

    rule = "TWICE"
    sentence = "a request with an effect runs once at most"

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            if answer.route in base.REPEATABLE_ROUTES:
                continue
            checked += 1
            runs = seen.runs_of(answer.request_id)
            if len(runs) > 1:
                places = ", ".join(run.endpoint for run in runs)
                breaks.append(base.of(self, answer, f"ran at {places}"))
        return base.Verdict(checked, breaks)
