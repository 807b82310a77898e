"""The retries of all nodes, in a model with faults drawn by chance."""

import pytest

from . import fleet_faults
from . import fleets

PER_S = 40.0
PARTITION_S = 25.0
RATES_PER_S = (0.0, 10.0, 40.0, 40.0, 80.0)


# Guards against nodes that, after they stood still, count the requests that
# had waited for them as if they had been sent just now.
@pytest.mark.parametrize("nodes", [6, 9, 12])
@pytest.mark.parametrize("seed", range(3))
def test_halves_that_stand_still_in_turn_keep_the_retry_budget(seed, nodes):
    fleet = fleets.Fleet(seed, nodes, PER_S)
    fleet.play(15.0)
    for half in (fleet.nodes[: nodes // 2], fleet.nodes[nodes // 2 :]):
        for node in half:
            node.freeze(fleet.now_s, 4.0)
        fleet.play(4.0)
    fleet.play(12.0)
    assert fleet.excess() <= 0


@pytest.mark.parametrize("seed", range(12))
def test_nodes_that_freeze_restart_and_part_keep_the_retry_budget(seed):
    fleet = fleets.Fleet(seed, 6, PER_S)
    fleet.play(15.0)
    for _ in range(10):
        fault = fleet.chance.choice(
            (
                fleet_faults.freeze,
                fleet_faults.cut,
                fleet_faults.restart,
                fleet_faults.replace,
            )
        )
        fault(fleet)
        fleet.play(fleet.chance.uniform(0.2, 8.0))
    fleet.play(12.0)
    assert fleet.excess() <= 0


@pytest.mark.parametrize("seed", range(6))
def test_nodes_whose_clocks_are_set_keep_the_retry_budget(seed):
    fleet = fleets.Fleet(seed, 6, PER_S)
    fleet.play(15.0)
    for _ in range(8):
        fleet.chance.choice((fleet_faults.freeze, fleet_faults.set_clock))(
            fleet
        )
        fleet.play(fleet.chance.uniform(0.2, 8.0))
    fleet.play(12.0)
    assert fleet.excess() <= 0


# Guards against nodes that use the ratio of requests of different windows:
# callers leave half of the nodes after these have spent theirs.
def test_load_that_moves_as_endpoints_fail_keeps_the_retry_budget():
    fleet = fleets.Fleet(0, 6, PER_S)
    fleet.fails_from_s = 15.0
    fleet.play(16.0)
    fleet.weights = [1.0, 1.0, 1.0, 0.0, 0.0, 0.0]
    fleet.play(25.0)
    assert fleet.excess() <= 0


def _move(fleet):
    """Let callers choose other nodes, and ask more or less often."""
    fleet_faults.move(fleet)
    fleet.per_s = fleet.chance.choice(RATES_PER_S)


# Guards against nodes that use the ratio of requests of different windows
# while they freeze, part, restart and are replaced.
@pytest.mark.parametrize("nodes", [6, 12])
@pytest.mark.parametrize("seed", range(6))
def test_load_that_moves_beside_faults_keeps_the_retry_budget(seed, nodes):
    fleet = fleets.Fleet(seed, nodes, PER_S)
    fleet.fails_from_s = 15.0
    fleet.play(15.0 + fleet.chance.uniform(0.0, 3.0))
    for _ in range(8):
        _move(fleet)
        fault = fleet.chance.choice(
            (
                fleet_faults.freeze,
                fleet_faults.cut,
                fleet_faults.restart,
                fleet_faults.replace,
            )
        )
        fault(fleet)
        fleet.play(fleet.chance.uniform(0.5, 8.0))
    fleet.play(12.0)
    assert fleet.excess() <= 0


# Guards against the sides of a partition that use the ratio of requests of
# different windows, as callers move from one to the other.
@pytest.mark.parametrize("nodes", [6, 12])
@pytest.mark.parametrize("seed", range(3))
def test_load_that_moves_in_a_partition_keeps_the_retry_budget(seed, nodes):
    fleet = fleets.Fleet(seed, nodes, PER_S)
    fleet.play(15.0)
    fleet.fails_from_s = fleet.now_s + fleet.chance.uniform(1.0, 10.0)
    half = nodes // 2
    fleet.cut(fleet.nodes[:half], PARTITION_S)
    for _ in range(5):
        fleet.weights = [1.0] * half + [0.0] * (nodes - half)
        fleet.chance.shuffle(fleet.weights)
        fleet.play(PARTITION_S / 5)
    fleet.play(15.0)
    assert fleet.excess() <= 0


# Guards against a bound that twelve nodes exceed by chance alone.
@pytest.mark.parametrize("seed", [2, 18, 45])
def test_twelve_nodes_in_a_partition_keep_the_retry_budget(seed):
    fleet = fleets.Fleet(seed, 12, PER_S)
    fleet.play(15.0)
    some = fleet.chance.sample(fleet.nodes, fleet.chance.randint(1, 11))
    fleet.cut(some, PARTITION_S, fleet.chance.random() < 0.7)
    fleet.play(PARTITION_S + 15.0)
    assert fleet.excess() <= 0


# Guards against a bound that nodes exceed as they are replaced in turn.
@pytest.mark.parametrize("seed", [0, 18])
@pytest.mark.parametrize("nodes", [6, 12])
def test_nodes_replaced_one_by_one_keep_the_retry_budget(seed, nodes):
    fleet = fleets.Fleet(seed, nodes, PER_S)
    fleet.play(15.0)
    pause_s = fleet.chance.uniform(1.0, 12.0)
    for node in fleet.nodes:
        fleet.replace(node)
        fleet.play(pause_s)
    fleet.play(12.0)
    assert fleet.excess() <= 0


# Guards against a node that is killed again and again and has the retries
# of a start each time.
@pytest.mark.parametrize("pause_s", [1.5, 3.0])
def test_nodes_that_restart_repeatedly_keep_the_retry_budget(pause_s):
    fleet = fleets.Fleet(0, 6, PER_S)
    fleet.play(15.0)
    for _ in range(6):
        for node in fleet.nodes:
            fleet.restart(node)
        fleet.play(pause_s)
    fleet.play(12.0)
    assert fleet.excess() <= 0
