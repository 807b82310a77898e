"""A short soak of real processes keeps the rules."""

import pytest

from fireflystandins.soak import command
from fireflystandins.soak import plan
from fireflystandins.soak import report

pytestmark = pytest.mark.processes

SEED = 1
LASTS_S = 48.0
"""Until the last strike is over, and some seconds more than RECOVER leaves."""
LOAD = plan.Load(
    callers=4,
    styles=("whole", "whole", "early", "leaving"),
    event_bytes=65,
)
STRIKES = (
    plan.Strike(4.0, plan.Kind.LEAVE, "s1", 4.0, "order"),
    plan.Strike(5.0, plan.Kind.STOP, "node1"),
    plan.Strike(9.0, plan.Kind.STORE, "store", 2.0, "busy"),
    plan.Strike(10.0, plan.Kind.STOP, "node2"),
    plan.Strike(16.0, plan.Kind.KILL, "node3"),
    plan.Strike(20.0, plan.Kind.PAUSE, "node1", 1.0),
    plan.Strike(23.0, plan.Kind.LINK, "node2", 2.0, "unanswered"),
    plan.Strike(24.0, plan.Kind.LEAVE, "s2", 3.0, "reset"),
)


def test_a_short_soak_breaks_no_rule(tmp_path):
    played = plan.Plan(SEED, 4, 4, LASTS_S, LOAD, STRIKES)
    seen, judged = command.play(tmp_path, played)
    print(report.table(judged))
    breaks = [one for _, verdict in judged for one in verdict.breaks]
    assert [report.describe(seen, one, tmp_path) for one in breaks] == []
    assert len(seen.happenings) == len(STRIKES)
    checked = {checker.rule: verdict.checked for checker, verdict in judged}
    assert min(checked["LOST"], checked["ORDER"], checked["MIXED"]) > 0
    assert min(checked["ONE"], checked["RECOVER"]) > 0
