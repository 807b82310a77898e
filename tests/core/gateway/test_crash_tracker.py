"""Requests that crash endpoints are counted once for each crash."""

import itertools

import pytest

from fireflypulley.core import facts
from fireflypulley.core.gateway import crash_tracker
from fireflypulley.core import poison

MOST = poison.CRASHES_TO_QUARANTINE


class Nodes:
    """Nodes that hear of each other's facts at once."""

    def __init__(self, count):
        self.shared = [facts.SharedState() for _ in range(count)]
        self.trackers = [
            crash_tracker.CrashTracker(one) for one in self.shared
        ]

    def crashed(self, index, start, now_s=1.0):
        """Let a node count a crash, and tell the others."""
        fact = self.trackers[index].crashed("f", now_s, start)
        for shared in self.shared:
            shared.merge(fact, now_s)
        return fact.crashes

    def are_quarantining(self, now_s=1.0):
        return {one.is_quarantined("f", now_s) for one in self.trackers}


# Guards against a sound request that is refused everywhere: each node that
# had a copy at an endpoint which crashed for another reason counted it.
def test_copies_at_several_nodes_count_one_crash():
    nodes = Nodes(6)
    counts = [nodes.crashed(index, "e1/1") for index in range(6)]
    assert counts == [1] * 6
    assert nodes.are_quarantining() == {False}


def test_a_request_that_crashes_endpoints_is_refused_everywhere():
    nodes = Nodes(3)
    for number in range(MOST):
        nodes.crashed(number % 3, f"e{number}/1")
    assert nodes.are_quarantining() == {True}


def test_another_start_of_an_endpoint_crashes_anew():
    nodes = Nodes(1)
    counts = [nodes.crashed(0, f"e1/{start}") for start in range(1, 4)]
    assert counts == [1, 2, 3]


@pytest.mark.parametrize(
    "order", list(itertools.permutations(["e1/1", "e2/1", "e1/1"]))
)
def test_the_order_in_which_nodes_count_does_not_matter(order):
    nodes = Nodes(3)
    counts = [nodes.crashed(index, one) for index, one in enumerate(order)]
    assert counts[-1] == 2


def test_a_start_that_crashes_again_later_is_counted_again():
    nodes = Nodes(2)
    later_s = 1.0 + poison.SAME_CRASH_S
    assert nodes.crashed(0, "e1/1") == 1
    assert nodes.crashed(1, "e1/1", later_s - 0.1) == 1
    assert nodes.crashed(1, "e1/1", later_s) == 2


def test_a_crash_without_a_name_counts_each_time():
    nodes = Nodes(1)
    assert [nodes.crashed(0, "") for _ in range(3)] == [1, 2, 3]


def test_a_suspicion_that_has_lapsed_names_no_start():
    nodes = Nodes(1)
    nodes.crashed(0, "e1/1")
    later_s = 2.0 + poison.SUSPECT_S
    nodes.shared[0].expire(later_s)
    assert nodes.crashed(0, "e1/1", later_s) == 1


# Guards against a fact that grows all day: a request that is sent often has a
# copy at each endpoint that crashes.
def test_what_is_kept_of_the_crashes_of_a_request_is_bounded():
    nodes = Nodes(1)
    for number in range(1000):
        nodes.crashed(0, f"e{number}/1", float(number))
    fact = nodes.shared[0].get("suspicion", "f")
    assert fact.crashes == 1000
    assert len(fact.starts) <= poison.MAX_STARTS
    assert nodes.crashed(0, "e999/1", 999.5) == 1000


# Guards against a node that refuses, from its start on, what the others
# have seen answered and serve (soak, all, seed 5015).
def test_a_starting_node_hears_of_an_answer_after_the_crashes():
    nodes = Nodes(2)
    for number in range(MOST):
        nodes.crashed(0, f"e{number}/1")
    nodes.trackers[0].answered("f", 1.5)
    starting = facts.SharedState()
    for fact in nodes.shared[0].snapshot():
        starting.merge(fact, 2.0)
    assert not crash_tracker.CrashTracker(starting).is_quarantined("f", 2.0)


def test_the_other_nodes_are_told_once_of_an_answer():
    nodes = Nodes(2)
    for number in range(MOST):
        nodes.crashed(0, f"e{number}/1")
    nodes.trackers[0].answered("f", 1.5)
    (fact,) = nodes.trackers[0].updates(2.0)
    assert nodes.trackers[0].updates(2.0) == []
    assert nodes.trackers[1].is_quarantined("f", 2.0)
    nodes.shared[1].merge(fact, 2.0)
    assert not nodes.trackers[1].is_quarantined("f", 2.0)


def test_an_answer_counts_though_another_node_counts_a_crash_beside_it():
    nodes = Nodes(2)
    for number in range(MOST - 1):
        nodes.crashed(0, f"e{number}/1")
    crash = nodes.trackers[1].crashed("f", 1.4, "e9/1")
    nodes.trackers[0].answered("f", 1.5)
    (answer,) = nodes.trackers[0].updates(1.6)
    nodes.shared[1].merge(answer, 1.6)
    nodes.shared[0].merge(crash, 1.6)
    assert nodes.trackers[1].is_quarantined("f", 1.7)
    (again,) = nodes.trackers[0].updates(1.7)
    nodes.shared[1].merge(again, 1.7)
    assert not nodes.trackers[1].is_quarantined("f", 1.7)


def test_an_answer_to_a_request_without_crashes_is_no_news():
    nodes = Nodes(1)
    nodes.trackers[0].answered("f", 1.0)
    assert nodes.trackers[0].updates(1.0) == []
    assert nodes.crashed(0, "e1/1", 2.0) == 1
