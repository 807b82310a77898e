"""Requests that a node handles as only an older configuration allows."""

from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

_REFUSALS = frozenset({401, 403, 404})
_DISTURBING = base.UNPLANNED | {plan.Kind.STOP}


class Configurations(base.Checker):
    """Requests that run though they may not, or are refused though they may.

    A node knows a version ``applies_s`` after it was written.  Excused is
    one that was struck, or whose store was, since so long before the request
    that it had no time to get in touch and learn of the version.
    """

    rule = "CONFIG"
    sentence = "a request is handled as the newest configuration says"
    applies_s = 6.0

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        if len(seen.versions) < 2:
            return base.Verdict(0, [])
        for answer in seen.answers:
            version = self._find_version(seen, answer)
            if version is None or answer.how in base.UNJUDGED:
                continue
            if self._is_excused(seen, answer):
                continue
            checked += 1
            problem = self._find_problem(seen, answer, version)
            if problem:
                text = f"{answer.route} {problem} by version {version.number}"
                breaks.append(base.of(self, answer, text))
        return base.Verdict(checked, breaks)

    def _find_version(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> evidence.Version | None:
        """Return the version that all know while a request is there."""
        from_s = answer.sent_s - self.applies_s
        known = [one for one in seen.versions if one.written_s <= from_s]
        newer = [one for one in seen.versions if one not in known]
        if not known or any(one.began_s <= answer.ended_s for one in newer):
            return None
        return known[-1]

    def _find_problem(
        self,
        seen: evidence.Evidence,
        answer: callers.Answer,
        version: evidence.Version,
    ) -> str:
        is_allowed = version.has_key and answer.route in version.routes
        if is_allowed and answer.status in _REFUSALS:
            return f"refused with {answer.status} though allowed"
        if not is_allowed and seen.runs_of(answer.request_id):
            return "run though not allowed"
        return ""

    def _is_excused(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> bool:
        from_s = answer.sent_s - self.applies_s - base.CONTACT_S
        span = from_s, answer.ended_s
        is_struck = seen.was_disturbed(*span, _DISTURBING, answer.node)
        store = frozenset({plan.Kind.STORE})
        return is_struck or seen.was_disturbed(*span, store)
