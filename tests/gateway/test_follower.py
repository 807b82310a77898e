"""How a node tells an outage of the store from failed calls."""

import pytest
from twisted.internet import task

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import follower

from . import networks


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def following(clock):
    store_follower = follower.Follower(
        clock,
        None,
        networks.RowCodec(),
        scheduler.RequestScheduler("a", bounds.SharedBounds()),
    )
    store_follower.peers_lost_store = lambda: True
    clock.advance(100.0)
    return store_follower


def test_the_store_is_in_outage_while_no_node_reaches_it(following):
    assert not following.in_outage
    following.note_failure("no answer")
    assert following.in_outage


def test_a_failure_of_one_node_alone_is_no_outage(following):
    following.peers_lost_store = lambda: False
    following.note_failure("busy")
    assert not following.in_outage


def test_failures_of_other_nodes_alone_are_no_outage(following):
    following.note_peer_failure()
    assert following.store_doubted
    assert not following.in_outage


# Guards against rule DRAIN being broken: an entry that disappears long after
# an outage was removed, as the store acknowledged; it did not just lapse.
def test_an_outage_ends_once_lapsed_entries_are_registered_again(
    following, clock
):
    following.note_failure("no answer")
    following._note_reachable()
    clock.advance(follower.RECOVERY_WINDOW_S - 0.1)
    assert following.in_outage
    clock.advance(0.2)
    assert following.store_failed
    assert not following.in_outage
