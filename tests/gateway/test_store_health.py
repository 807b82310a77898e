"""How a node tells an outage of the store from failed calls."""

import pytest
from twisted.internet import task

from fireflypulley.gateway import store_health


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def health(clock):
    known = store_health.StoreHealth(clock)
    known.peers_lost_store = lambda: True
    clock.advance(100.0)
    return known


def test_the_store_is_in_outage_while_no_node_reaches_it(health):
    assert not health.in_outage
    health.note_failure("no answer")
    assert health.in_outage


def test_a_failure_of_one_node_alone_is_no_outage(health):
    health.peers_lost_store = lambda: False
    health.note_failure("busy")
    assert not health.in_outage


def test_failures_of_other_nodes_alone_are_no_outage(health):
    health.note_peer_failure()
    assert health.is_doubted
    assert not health.in_outage


# Guards against rule DRAIN being broken: an entry that disappears long after
# an outage was removed, as the store acknowledged; it did not just lapse.
def test_an_outage_ends_once_lapsed_entries_are_registered_again(
    health, clock
):
    health.note_failure("no answer")
    health.note_answer()
    clock.advance(store_health.RECOVERY_WINDOW_S - 0.1)
    assert health.in_outage
    clock.advance(0.2)
    assert health.is_failing
    assert not health.in_outage


# Guards against an answer about one table that hides that calls about the
# other one, sent while the store was silent, stay unanswered.
def test_an_answer_about_a_table_speaks_for_no_other_one(health):
    health.note_failure("no answer", "op")
    health.note_failure("no answer", "servers")
    health.note_answer("servers")
    assert health.is_unanswered("op")
    assert not health.is_unanswered("servers")


def test_entries_may_have_lapsed_after_two_failures_in_a_row(health):
    health.note_failure("closed", "servers")
    assert not health.may_have_lapsed("servers")
    health.note_failure("closed", "servers")
    assert health.may_have_lapsed("servers")
    health.note_answer("servers")
    assert not health.may_have_lapsed("servers")
