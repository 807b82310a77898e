"""A plan shrinks to the strikes that its break needs."""

import collections
import dataclasses

import pytest

from fireflystandins.soak import plan
from fireflystandins.soak import shrink

PLAN = plan.build(7, lasts_s=60.0)


class _Player:
    """Breaks plans that hold some strikes, but not each time."""

    def __init__(self, *needed, breaks_each=1):
        self.needed = {PLAN.strikes[number] for number in needed}
        self.played = []
        self._breaks_each = breaks_each
        self._met = 0

    def is_broken(self, shorter):
        self.played.append(shorter)
        if not self.needed <= set(shorter.strikes):
            return False
        self._met += 1
        return self._met % self._breaks_each == 0


@pytest.mark.parametrize(
    "needed", [(), (0,), (3,), (1, 2), (0, 7), (2, 5, 9)], ids=str
)
def test_only_the_needed_strikes_are_left_in_their_order(needed):
    player = _Player(*needed)
    shrinker = shrink.Shrinker(player.is_broken, max_plays=1000)
    shorter = shrinker.shorten(PLAN)
    kept = tuple(one for one in PLAN.strikes if one in player.needed)
    assert shorter == dataclasses.replace(PLAN, strikes=kept)


def test_a_break_that_shows_each_second_time_is_found():
    player = _Player(3, breaks_each=2)
    shrinker = shrink.Shrinker(player.is_broken, max_plays=1000)
    assert set(shrinker.shorten(PLAN).strikes) == player.needed


@pytest.mark.parametrize("max_plays", [0, 1, 5])
def test_no_more_plans_are_played_than_allowed(max_plays):
    player = _Player(2, 5, 9)
    shrinker = shrink.Shrinker(player.is_broken, max_plays=max_plays)
    shorter = shrinker.shorten(PLAN)
    assert len(player.played) == max_plays
    assert player.needed <= set(shorter.strikes)


def test_a_plan_that_never_breaks_stays_whole():
    def is_sound(shorter):
        return False

    assert shrink.Shrinker(is_sound).shorten(PLAN) == PLAN


@pytest.mark.parametrize("needed", [(), (0,), (2, 5, 9)], ids=str)
def test_no_plan_is_played_more_often_than_it_has_tries(needed):
    player = _Player(*needed)
    shrinker = shrink.Shrinker(player.is_broken, max_plays=1000)
    shrinker.shorten(PLAN)
    counts = collections.Counter(one.strikes for one in player.played)
    assert max(counts.values()) <= shrink.TRIES
