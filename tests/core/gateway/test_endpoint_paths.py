"""When a node takes itself for cut off from the endpoints."""

import pytest

from fireflypulley.core.gateway import endpoint_paths

E1, E2, E3 = ("e1", 1), ("e2", 1), ("e3", 1)


@pytest.fixture
def paths():
    return endpoint_paths.EndpointPaths()


def test_one_endpoint_that_takes_no_connection_may_be_gone(paths):
    for at_s in (1.0, 1.1, 1.2):
        paths.note_direct(E1, False, at_s)
    assert not paths.is_cut_off(1.2)


def test_a_node_that_reaches_none_of_several_is_cut_off(paths):
    paths.note_direct(E1, False, 1.0)
    paths.note_direct(E2, False, 1.1)
    assert paths.is_cut_off(1.1)


def test_a_success_shows_that_the_links_stand(paths):
    paths.note_direct(E1, False, 1.0)
    paths.note_direct(E3, True, 1.05)
    paths.note_direct(E2, False, 1.1)
    assert not paths.is_cut_off(1.1)
    paths.note_direct(E1, False, 1.2)
    assert paths.is_cut_off(1.2)
    paths.note_direct(E1, True, 1.3)
    assert not paths.is_cut_off(1.3)


def test_old_failures_do_not_count(paths):
    paths.note_direct(E1, False, 1.0)
    later_s = 1.0 + endpoint_paths.FAILURE_VALID_S
    paths.note_direct(E2, False, later_s)
    assert not paths.is_cut_off(later_s)


def test_probes_try_the_endpoints_in_turn_while_cut_off(paths):
    assert not paths.begin_probe(0.5)
    paths.note_direct(E1, False, 1.0)
    paths.note_direct(E2, False, 1.1)
    assert paths.begin_probe(1.2)
    assert not paths.begin_probe(1.3)
    assert paths.next_probe([E1, E2, E3]) == E3
    paths.note_direct(E3, False, 1.4)
    assert paths.begin_probe(1.2 + endpoint_paths.PROBE_INTERVAL_S)
    assert paths.next_probe([E1, E2, E3]) == E1


def test_endpoints_that_are_gone_are_forgotten(paths):
    paths.note_direct(E1, False, 1.0)
    paths.note_direct(E2, False, 1.0)
    paths.forget_absent({E2})
    assert not paths.is_cut_off(1.0)
