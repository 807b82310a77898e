"""Duties that two nodes do at once, as the store's side saw their calls."""

import collections.abc
import itertools

from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

_Calls = collections.abc.Sequence[evidence.DutyCall]
_STANDSTILLS = frozenset({plan.Kind.PAUSE, plan.Kind.LINK})
_STORE = frozenset({plan.Kind.STORE})


class Duties(base.Checker):
    """Calls of a duty by two holders at once, and reports that differ.

    Reports of one window that differ and a fencing token of two holders
    have no excuse.  A token that falls and a holder that comes back within
    its lease are excused shortly after the caller stood still or was cut
    off, and beside a store that fails or just did.
    """

    rule = "ONE"
    sentence = "a duty has one holder, and a window one report"
    lease_s = 3.0
    thaw_s = 0.3

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        calls = sorted(seen.duty_calls, key=lambda call: call.at_s)
        breaks = list(self._find_reports(calls))
        subjects: dict[tuple[str, str], list[evidence.DutyCall]] = {}
        for call in calls:
            subjects.setdefault((call.duty, call.subject), []).append(call)
        for own in subjects.values():
            breaks.extend(self._find_shared_tokens(own))
            breaks.extend(self._find_falls(seen, own))
            breaks.extend(self._find_returns(seen, own))
        return base.Verdict(len(calls), breaks)

    def _find_reports(
        self, calls: _Calls
    ) -> collections.abc.Iterator[base.Break]:
        first: dict[str, evidence.DutyCall] = {}
        for call in calls:
            if not call.window:
                continue
            before = first.setdefault(call.window, call)
            if before.content != call.content:
                told = f"{before.content} of {before.holder}, {call.content}"
                yield self._break(call, f"window {call.window}: {told}")

    def _find_shared_tokens(
        self, calls: _Calls
    ) -> collections.abc.Iterator[base.Break]:
        holders: dict[int, str] = {}
        for call in calls:
            holder = holders.setdefault(call.token, call.holder)
            if holder != call.holder:
                yield self._break(call, f"token {call.token} of {holder} too")

    def _find_falls(
        self, seen: evidence.Evidence, calls: _Calls
    ) -> collections.abc.Iterator[base.Break]:
        highest = 0
        for call in calls:
            if call.token < highest and not self._is_excused(seen, call):
                yield self._break(call, f"token {call.token} after {highest}")
            highest = max(highest, call.token)

    def _find_returns(
        self, seen: evidence.Evidence, calls: _Calls
    ) -> collections.abc.Iterator[base.Break]:
        turns = [
            list(found)
            for _, found in itertools.groupby(calls, lambda one: one.holder)
        ]
        for one, other, again in zip(turns, turns[1:], turns[2:]):
            call = again[0]
            is_soon = call.at_s - one[-1].at_s < self.lease_s
            if call.holder != one[0].holder or not is_soon:
                continue
            involved = (one[-1], *other, call)
            if not any(self._is_excused(seen, each) for each in involved):
                yield self._break(call, f"again after {other[0].holder}")

    def _is_excused(
        self, seen: evidence.Evidence, call: evidence.DutyCall
    ) -> bool:
        return seen.was_disturbed(
            call.at_s - self.thaw_s, call.at_s, _STANDSTILLS, call.holder
        ) or seen.was_disturbed(call.at_s - base.CONTACT_S, call.at_s, _STORE)

    def _break(self, call: evidence.DutyCall, text: str) -> base.Break:
        told = f"{call.duty} by {call.holder}: {text}"
        return base.Break(self.rule, call.at_s, told, call.holder)
