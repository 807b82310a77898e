"""What a node holds for others, and who gives up when it is too much."""

import random

from twisted.internet import task

from fireflypulley.transport import memory

BOUND = 1000


class Holder(memory.Holder):
    """Releases what it holds when it gives up, or only later."""

    def __init__(self, budget, is_late=False):
        self.budget = budget
        self.is_late = is_late
        self.has_given_up = False

    def give_up(self):
        assert not self.has_given_up
        self.has_given_up = True
        if not self.is_late:
            self.leave()

    def leave(self):
        self.budget.release(self, memory.Use.UPLOAD, self.held_bytes)


def _budget():
    clock = task.Clock()
    return clock, memory.MemoryBudget(clock, BOUND)


def test_nobody_gives_up_within_the_bound():
    _, budget = _budget()
    holders = [Holder(budget) for _ in range(10)]
    for one in holders:
        budget.hold(one, memory.Use.UPLOAD, BOUND // 10)
    assert budget.total_bytes == BOUND
    assert budget.is_scarce and budget.total_bytes + 1 > budget.bound_bytes
    assert not any(one.has_given_up for one in holders)


def test_who_holds_most_gives_up_first_if_all_move():
    _, budget = _budget()
    small, large = Holder(budget), Holder(budget)
    budget.hold(large, memory.Use.UPLOAD, 700)
    budget.hold(small, memory.Use.UPLOAD, 301)
    assert large.has_given_up and not small.has_given_up
    assert budget.total_bytes == 301


def test_who_does_not_move_gives_up_before_a_larger_one_that_does():
    clock, budget = _budget()
    still, moving = Holder(budget), Holder(budget)
    budget.hold(still, memory.Use.UPLOAD, 300)
    clock.advance(10.0)
    budget.hold(moving, memory.Use.UPLOAD, 701)
    assert still.has_given_up and not moving.has_given_up


def test_the_newcomer_gives_up_if_it_is_the_costliest():
    _, budget = _budget()
    others = [Holder(budget) for _ in range(3)]
    for one in others:
        budget.hold(one, memory.Use.UPLOAD, 100)
    newcomer = Holder(budget)
    budget.hold(newcomer, memory.Use.UPLOAD, BOUND)
    assert newcomer.has_given_up
    assert budget.total_bytes == 300


# Guards against a node that drops all its callers at once, because those who
# gave up release their memory only in a later turn.
def test_a_holder_that_releases_later_counts_as_gone():
    _, budget = _budget()
    late = Holder(budget, is_late=True)
    budget.hold(late, memory.Use.UPLOAD, 700)
    others = [Holder(budget) for _ in range(3)]
    for one in others:
        budget.hold(one, memory.Use.UPLOAD, 110)
    assert late.has_given_up
    assert not any(one.has_given_up for one in others)
    assert budget.total_bytes == 330
    assert budget.used_bytes[memory.Use.UPLOAD] == 1030
    late.leave()
    assert budget.total_bytes == 330
    assert budget.used_bytes[memory.Use.UPLOAD] == 330


def test_the_count_stays_right_through_any_history():
    for seed in range(30):
        chance = random.Random(seed)
        clock, budget = _budget()
        holders = [Holder(budget, chance.random() < 0.3) for _ in range(9)]
        for _ in range(300):
            clock.advance(chance.random())
            one = chance.choice(holders)
            if one.has_given_up:
                one.leave()
                one.has_given_up = False
                continue
            if chance.random() < 0.6:
                budget.hold(one, memory.Use.CALLER, chance.randrange(300))
            else:
                size = chance.randint(0, one.held_bytes)
                budget.release(one, memory.Use.CALLER, size)
            assert budget.total_bytes <= BOUND
            expected = sum(
                each.held_bytes for each in holders if not each.has_given_up
            )
            assert budget.total_bytes == expected


# Guards against memory that a few fill so that all others have to give up.
def test_the_more_is_held_the_less_each_may_keep():
    _, budget = _budget()
    assert budget.share_bytes(50) == 50
    budget.bound_bytes = 1 << 24
    assert budget.share_bytes(1 << 21) == 1 << 20
    budget.hold(Holder(budget), memory.Use.ANSWER, 1 << 22)
    assert budget.share_bytes(1 << 21) == 1 << 19
    budget.hold(Holder(budget), memory.Use.ANSWER, 1 << 22)
    assert budget.share_bytes(1 << 21) == memory.MIN_SHARE_BYTES


# Guards against callers that are dropped because each gets a large part of
# an answer at once, and these wait for all of them.
def test_an_answer_holds_less_the_more_waits_for_callers():
    _, budget = _budget()
    budget.bound_bytes = 1 << 30
    assert budget.share_bytes(1 << 20) == 1 << 20
    budget.callers_left = lambda: 1 << 22
    assert budget.share_bytes(1 << 20) == 1 << 19
    budget.callers_left = lambda: -1
    assert budget.share_bytes(1 << 20) == memory.MIN_SHARE_BYTES
