"""Streams between nodes, in a full mesh and with relays."""

import pytest

from fireflypulley.core.gateway import overlay
from fireflypulley.core.gateway import peer_registry


def _entry(name, domain="a", cores=1.0):
    return peer_registry.NodeEntry(name, f"{name}:1", domain, 1, cores)


def _names(count):
    return [f"n{number:03}" for number in range(count)]


def _all(names):
    return {
        one: overlay.Overlay(_entry(one), [_entry(n) for n in names])
        for one in names
    }


@pytest.mark.parametrize("count", [1, 2, 9, overlay.MAX_MESH_NODES])
def test_few_nodes_form_a_full_mesh(count):
    names = _names(count)
    for name, node_overlay in _all(names).items():
        assert node_overlay.is_mesh
        assert set(node_overlay.wanted(set(), set(), 0)) == set(names) - {name}


@pytest.mark.parametrize("count", [overlay.MAX_MESH_NODES + 1, 60, 80, 390])
def test_most_of_many_nodes_keep_two_streams(count):
    names = _names(count)
    overlays = _all(names)
    relays = {
        frozenset(node_overlay.relays) for node_overlay in overlays.values()
    }
    assert len(relays) == 1
    (agreed,) = relays
    for name, node_overlay in overlays.items():
        wanted = set(node_overlay.wanted(set(names), set(names), 0))
        if name in agreed:
            assert wanted == agreed - {name}
        else:
            assert len(wanted) == overlay.RELAYS_PER_NODE
            assert wanted <= agreed


def test_a_relay_has_a_limited_number_of_streams():
    """The work of a node does not grow in proportion to the node count."""
    names = _names(390)
    overlays = _all(names)
    loads = dict.fromkeys(names, 0)
    for name, node_overlay in overlays.items():
        for other in node_overlay.wanted(set(names), set(names), 0):
            loads[other] += 1
    assert max(loads.values()) <= 80


def _non_relay():
    others = [_entry(name) for name in _names(60)]
    node_overlay = overlay.Overlay(_entry("n030x"), others)
    assert not node_overlay.is_relay
    return node_overlay


def test_a_node_prefers_relays_that_are_alive():
    node_overlay = _non_relay()
    relays = set(node_overlay.relays)
    first = node_overlay.wanted(relays, relays, 0)
    assert first[0] not in node_overlay.wanted(relays, relays - {first[0]}, 0)


def test_a_node_without_a_relay_tries_them_in_turn():
    node_overlay = _non_relay()
    tried = {
        one
        for turn in range(20)
        for one in node_overlay.wanted(set(), set(), turn)
    }
    assert tried == node_overlay.relays


def test_a_newly_connected_relay_is_kept():
    """It may only be slow; if all nodes moved on, relays would overload."""
    node_overlay = _non_relay()
    reached = sorted(node_overlay.relays)[0]
    for turn in range(20):
        assert reached in node_overlay.wanted({reached}, set(), turn)


def test_a_node_with_enough_relays_wants_no_others():
    node_overlay = _non_relay()
    feeding = set(sorted(node_overlay.relays)[-2:])
    for turn in range(20):
        assert (
            set(node_overlay.wanted(feeding, set(node_overlay.relays), turn))
            == feeding
        )


def test_the_largest_nodes_are_relays():
    large = [_entry(f"large{number}", cores=2.0) for number in range(9)]
    small = [_entry(name, cores=0.5) for name in _names(71)]
    node_overlay = overlay.Overlay(small[0], [*small, *large])
    assert node_overlay.relays == {one.node_id for one in large}


def test_relays_of_the_own_failure_domain_are_preferred():
    large = [
        _entry(f"large-{domain}{number}", domain, 2.0)
        for domain in "abcd"
        for number in (1, 2)
    ]
    small = [_entry(name, "c", 0.5) for name in _names(50)]
    node_overlay = overlay.Overlay(small[0], [*small, *large])
    relays = set(node_overlay.relays)
    assert node_overlay.feeding_relays(relays, relays) == (
        "large-c1",
        "large-c2",
    ) or (
        node_overlay.feeding_relays(relays, relays) == ("large-c2", "large-c1")
    )
