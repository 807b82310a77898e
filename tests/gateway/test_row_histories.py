"""Rows of the store at nodes, through faults in many orders."""

import pytest

from fireflypulley.core.gateway import overlay

from . import histories

SEEDS = range(1, 31)
FAULTS = (
    "restart",
    "freeze",
    "cut_store",
    "cut_stores",
    "cut_node",
    "compact",
    "silence",
    "turn_away",
    "outage",
    "compact_late",
    "slow",
)


@pytest.fixture(params=["mesh", "relays"])
def node_count(request, monkeypatch):
    """Return how many nodes there are; some of five read through relays."""
    if request.param == "mesh":
        return 3
    monkeypatch.setattr(overlay, "MAX_MESH_NODES", 2)
    monkeypatch.setattr(overlay, "MIN_RELAYS", 2)
    return 5


def _play(seed, node_count, kinds):
    system = histories.System(seed, node_count)
    system.play(kinds)
    return system


# Guards against a node in touch at which an older version is in force after
# a newer one was confirmed, and against rows lost between two batches.
@pytest.mark.parametrize("faults", [*FAULTS, "all"])
def test_confirmed_changes_are_in_force_in_time(node_count, faults):
    kinds = FAULTS if faults == "all" else (faults,)
    red = {}
    for seed in SEEDS:
        system = _play(seed, node_count, kinds)
        if system.findings:
            red[seed] = [*system.log, *system.findings]
    assert not red, (sorted(red), red[min(red)])


# Guards against a violation of DRAIN: requests to an endpoint for longer than
# its drain time after it left, and against giving up one that only lapsed.
@pytest.mark.parametrize("faults", [*FAULTS, "all"])
def test_endpoints_that_left_get_nothing_in_time(node_count, faults):
    kinds = FAULTS if faults == "all" else (faults,)
    red = {}
    for seed in SEEDS:
        system = _play(seed, node_count, ("leave", *kinds))
        if system.endpoint_findings:
            red[seed] = [*system.log, *system.endpoint_findings]
    assert not red, (sorted(red), red[min(red)])
