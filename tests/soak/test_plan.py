"""Plans are data: the same from a seed, and from their file."""

import pydantic
import pytest

from fireflystandins.soak import plan


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
