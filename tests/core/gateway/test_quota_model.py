"""A workspace's limit over all nodes, in a model with faults."""

import pytest

from . import fleet_faults
from . import fleets
from . import quota_fleets

FAULTS = (
    fleet_faults.freeze,
    fleet_faults.cut,
    fleet_faults.restart,
    fleet_faults.replace,
)
LONG_PARTITION_S = 50.0


@pytest.mark.parametrize("nodes", [6, 12])
@pytest.mark.parametrize("seed", range(6))
def test_a_workspace_keeps_its_limit_through_faults(seed, nodes):
    fleet = quota_fleets.QuotaFleet(seed, nodes)
    fleet_faults.play(fleet, FAULTS)
    assert 0 < fleet.most_in_a_window <= quota_fleets.BOUND


# Guards against nodes that spend, after they stood still, what the others
# have spent meanwhile.
@pytest.mark.parametrize("seed", range(4))
def test_nodes_that_stand_still_keep_a_workspace_s_limit(seed):
    fleet = quota_fleets.QuotaFleet(seed, 12)
    fleet_faults.play(fleet, (fleet_faults.freeze,))
    assert fleet.most_in_a_window <= quota_fleets.BOUND


# Guards against a step of the clock that fills the bucket.
@pytest.mark.parametrize("seed", range(4))
def test_nodes_whose_clocks_are_set_keep_a_workspace_s_limit(seed):
    fleet = quota_fleets.QuotaFleet(seed, 12)
    fleet_faults.play(fleet, (fleet_faults.set_clock,))
    assert fleet.most_in_a_window <= quota_fleets.BOUND


# Guards against sides of a partition that each take the whole limit.
@pytest.mark.parametrize("nodes", [6, 12])
@pytest.mark.parametrize("is_both_ways", [False, True])
def test_a_long_partition_keeps_a_workspace_s_limit(nodes, is_both_ways):
    fleet = quota_fleets.QuotaFleet(0, nodes)
    fleet.play(15.0)
    half = fleet.nodes[: nodes // 2]
    fleet.cut(half, LONG_PARTITION_S, is_both_ways)
    fleet.play(LONG_PARTITION_S + 15.0)
    assert fleet.most_in_a_window <= quota_fleets.BOUND


# Guards against a node that charges, when a partition ends, what the other
# side had its own part for, and refuses its callers for as long.
def test_a_workspace_has_its_limit_again_after_a_partition():
    fleet = quota_fleets.QuotaFleet(0, 6)
    fleet.play(15.0)
    fleet.cut(fleet.nodes[:3], 15.0)
    fleet.play(16.0)
    ended_s = fleet.now_s
    fleet.play(2 * fleets.WINDOW_S)
    tokens = sum(
        one.tokens for one in fleet.admitted if one.admitted_s >= ended_s
    )
    allowed = quota_fleets.RATE_PER_S * 2 * fleets.WINDOW_S
    assert tokens >= 0.9 * allowed
