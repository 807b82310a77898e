"""By how many nodes a bound is shared."""

import pytest

from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import sharing


def _joined(known):
    nodes = sharing.SharingNodes()
    nodes.begin()
    nodes.note(known, 0.0)
    nodes.join(0.0, False, 0.0)
    return nodes


# Guards against a node that, long after its start, takes the whole bound
# since it never came to know the others.
def test_a_node_that_has_not_joined_assumes_many():
    nodes = sharing.SharingNodes()
    nodes.begin()
    assert nodes.count(1000.0) == sharing.ASSUMED_NODES
    nodes.note(80, 1000.0)
    assert nodes.count(1000.0) == 80


def test_at_the_first_start_nodes_may_not_know_each_other():
    nodes = sharing.SharingNodes()
    nodes.begin()
    nodes.note(3, 0.5)
    nodes.join(0.0, True, 0.5)
    assert nodes.count(0.5) == sharing.ASSUMED_NODES
    nodes.note(3, 1.0)
    nodes.note(3, 1.4)
    nodes.note(3, 1.8)
    assert nodes.count(limits.JOINING_S) == 3


# Guards against a node that shares by those it knew before others came.
def test_after_a_standstill_others_may_have_come():
    nodes = _joined(3)
    assert nodes.count(0.1) == 3
    assert nodes.count(5.0) == sharing.ASSUMED_NODES
    heard_s = 5.0 + limits.JOINING_S
    tick_s = 5.0
    while tick_s < heard_s:
        nodes.note(12, tick_s)
        tick_s += 0.25
    assert nodes.count(heard_s) == 12


@pytest.mark.parametrize("known", [-1, 0, 10**9])
def test_what_can_be_no_count_is_refused(known):
    nodes = _joined(3)
    with pytest.raises(sharing.BadCount):
        nodes.note(known, 0.1)
    assert nodes.count(0.2) == 3
