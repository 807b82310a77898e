"""OWN-END and GROWTH speak of ends and of sizes."""

import pytest

from fireflystandins.soak.checks import processes
from fireflystandins.soak import plan

from . import records


def test_own_ends_speaks_of_a_process_that_ended():
    seen = records.seen(
        [], own_ends=[("node1", 5.0, 1)], samples={"node1/7": []}
    )
    assert len(records.breaks(processes.OwnEnds(), seen)) == 1


@pytest.mark.parametrize("code", [-9, 1])
def test_own_ends_speaks_of_a_stop_out_of_order(code):
    stop = records.strike(plan.Kind.STOP, exit_code=code)
    assert (
        len(records.breaks(processes.OwnEnds(), records.seen([], (), [stop])))
        == 1
    )


def test_own_ends_excuses_a_node_that_is_paused_while_it_stops():
    stop = records.strike(plan.Kind.STOP, exit_code=-9)
    paused = records.strike(plan.Kind.PAUSE, began_s=101.0, ended_s=103.0)
    assert (
        len(records.breaks(processes.OwnEnds(), records.seen([], (), [stop])))
        == 1
    )
    assert (
        records.breaks(
            processes.OwnEnds(), records.seen([], (), [stop, paused])
        )
        == []
    )


@pytest.mark.parametrize(
    "strike",
    [
        records.strike(plan.Kind.PAUSE, "node2"),
        records.strike(plan.Kind.PAUSE, began_s=90.0, ended_s=99.0),
        records.strike(plan.Kind.PAUSE, began_s=108.5, ended_s=109.0),
        records.strike(plan.Kind.LINK),
        records.strike(plan.Kind.STORE, "store"),
    ],
    ids=["another-node", "before", "after-grace", "link", "store"],
)
def test_own_ends_does_not_excuse_other_strikes(strike):
    stop = records.strike(plan.Kind.STOP, exit_code=-9)
    seen = records.seen([], (), [stop, strike])
    assert len(records.breaks(processes.OwnEnds(), seen)) == 1


@pytest.mark.parametrize("row", [(1.0, 301 << 20, 9), (1.0, 1 << 20, 4101)])
def test_growth_speaks_beyond_the_limits(row):
    seen = records.seen([], samples={"node1/7": [(0.0, 1 << 20, 9), row]})
    assert len(records.breaks(processes.Growth(), seen)) == 1
