"""Rates that an endpoint takes of all nodes, in a model with faults."""

import pytest

from . import fleet_faults
from . import paced_fleets

PER_S = 60.0
COLD_OVERSHOOT = 1.5
COLD_TOLERANCE = 5
COLD_BOUND = COLD_OVERSHOOT * paced_fleets.COLD_PER_S + COLD_TOLERANCE


@pytest.mark.parametrize("nodes", [6, 12])
@pytest.mark.parametrize("seed", range(6))
def test_a_cold_endpoint_gets_its_rate_through_faults(seed, nodes):
    fleet = paced_fleets.ColdFleet(seed, nodes, PER_S)
    fleet_faults.play(fleet)
    assert 0 < fleet.most_in_a_second <= COLD_BOUND


# Known red in part: with twelve nodes the parts of a small number are whole
# requests, of which several fall into one second.
@pytest.mark.parametrize("nodes", [6, 12])
@pytest.mark.parametrize("seed", range(6))
def test_a_brittle_endpoint_refuses_what_it_may_through_faults(seed, nodes):
    fleet = paced_fleets.BrittleFleet(seed, nodes, PER_S)
    fleet_faults.play(fleet)
    assert 0 < fleet.most_in_a_second <= paced_fleets.REFUSALS_PER_S
