"""Finds a shorter plan that still breaks a rule, by leaving out strikes."""

import collections.abc
import dataclasses

from fireflystandins.soak import plan

MAX_PLAYS = 40
TRIES = 2
"""A plan that breaks nothing is played again: what callers send differs."""

IsBroken = collections.abc.Callable[[plan.Plan], bool]
_Strikes = tuple[plan.Strike, ...]


class Shrinker:
    """Plays parts of a plan, ever smaller ones left out, while it may."""

    def __init__(
        self,
        is_broken: IsBroken,
        max_plays: int = MAX_PLAYS,
        tries: int = TRIES,
    ) -> None:
        self._is_broken = is_broken
        self._left = max_plays
        self._tries = tries
        self._sound: set[_Strikes] = set()
        """What broke nothing in all its tries."""

    def shorten(self, played: plan.Plan) -> plan.Plan:
        """Return the shortest plan found that breaks the rule."""
        size = len(played.strikes)
        while size >= 1 and self._left:
            shorter = self._leave_out(played, size)
            if shorter is None:
                size //= 2
                continue
            played = shorter
            size = min(size, len(played.strikes))
        return played

    def _leave_out(self, played: plan.Plan, size: int) -> plan.Plan | None:
        """Return a broken plan without some ``size`` strikes in a row."""
        strikes = played.strikes
        for start in range(0, len(strikes), size):
            kept = strikes[:start] + strikes[start + size :]
            shorter = dataclasses.replace(played, strikes=kept)
            if self._breaks(shorter):
                return shorter
        return None

    def _breaks(self, shorter: plan.Plan) -> bool:
        if shorter.strikes in self._sound:
            return False
        for _ in range(self._tries):
            if not self._left:
                return False
            self._left -= 1
            if self._is_broken(shorter):
                return True
        self._sound.add(shorter.strikes)
        return False
