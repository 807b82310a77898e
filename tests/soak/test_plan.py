"""Plans are data: the same from a seed, and from their file."""

import pydantic
import pytest

from fireflystandins.soak import plan

STRIKES_OF_SEED_0 = [
    (4.84, "fail", "r2"),
    (6.58, "stop", "node2"),
    (12.8, "stop", "node5"),
]


def test_a_seed_gives_the_same_plan():
    assert plan.build(7) == plan.build(7)
    assert plan.build(7) != plan.build(8)


def test_a_plan_is_the_same_from_its_file(tmp_path):
    path = tmp_path / "plan.json"
    played = plan.build(7)
    played.save(path)
    assert plan.load(path) == played


def test_a_file_that_is_no_plan_is_refused(tmp_path):
    path = tmp_path / "plan.json"
    path.write_text('{"seed": 1, "strikes": "none"}')
    with pytest.raises(pydantic.ValidationError):
        plan.load(path)


@pytest.mark.parametrize("seed", range(20))
def test_strikes_come_within_the_run(seed):
    played = plan.build(seed, lasts_s=30.0)
    moments_s = [strike.at_s for strike in played.strikes]
    assert moments_s == sorted(moments_s)
    assert plan.SETTLE_S <= moments_s[0]
    assert moments_s[-1] < played.lasts_s


def test_drops_leave_the_other_strikes_of_a_seed_as_they_were():
    built = [plan.build(seed) for seed in range(20)]
    drops = [
        strike
        for played in built
        for strike in played.strikes
        if strike.kind is plan.Kind.DROP
    ]
    assert {strike.target[0] for strike in drops} == {"s", "r"}
    others = [
        (strike.at_s, strike.kind.value, strike.target)
        for strike in built[0].strikes
        if strike.kind is not plan.Kind.DROP
    ]
    assert others[:3] == STRIKES_OF_SEED_0


def test_the_targets_of_a_kind_are_those_of_its_strikes():
    assert plan.build(7).targets(plan.Kind.PATH) == frozenset()
    strikes = (
        plan.Strike(5.0, plan.Kind.PATH, "s2", 1.0, "slow"),
        plan.Strike(6.0, plan.Kind.LINK, "node1", 1.0, "silent"),
        plan.Strike(7.0, plan.Kind.PATH, "r1", 1.0, "reset"),
    )
    played = plan.Plan(1, 2, 2, 20.0, plan.Load(), strikes)
    assert played.targets(plan.Kind.PATH) == {"s2", "r1"}
    assert played.targets(plan.Kind.LINK) == {"node1"}
