"""The command plays plans from files, and shortens those that break."""

import cappa
import pytest

from fireflystandins.soak import checks
from fireflystandins.soak.checks import base
from fireflystandins.soak import command
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

PLAN = plan.build(7, lasts_s=60.0)
NEEDED = {"LOST": PLAN.strikes[3], "DRAIN": PLAN.strikes[5]}
AT_S = {"LOST": 2.0, "DRAIN": 9.0}


def _judge(checker, played):
    strike = NEEDED.get(checker.rule)
    breaks = []
    if strike in played.strikes:
        breaks = [base.Break(checker.rule, AT_S[checker.rule], "broken")]
    return base.Verdict(1, breaks)


@pytest.fixture
def plays(monkeypatch):
    """Return the plans played; some strikes break a rule."""
    plays = []

    def play(folder, played):
        folder.mkdir(parents=True, exist_ok=True)
        plays.append(played)
        judged = [(one, _judge(one, played)) for one in checks.create()]
        return evidence.Evidence(played), judged

    monkeypatch.setattr(command, "play", play)
    return plays


def _saved(tmp_path, played):
    path = tmp_path / "plan.json"
    played.save(path)
    return path


@pytest.mark.parametrize("shrinks", [False, True])
def test_a_broken_plan_from_a_file_is_shortened_if_asked(
    tmp_path, plays, capsys, shrinks
):
    path, out = _saved(tmp_path, PLAN), tmp_path / "out"
    soak = command.Soak(plan_file=path, out=out, shrink=shrinks)
    with pytest.raises(cappa.Exit) as ended:
        soak()
    assert ended.value.code == command.EXIT_BROKEN
    assert plays[0] == PLAN
    shorter = out / "seed-7" / "shorter.json"
    assert shorter.exists() is shrinks
    if shrinks:
        assert plan.load(shorter).strikes == (NEEDED["LOST"],)
        assert f"shorter, for LOST: {shorter}" in capsys.readouterr().out
    else:
        assert len(plays) == 1


def test_a_sound_plan_is_not_shortened(tmp_path, plays):
    sound = plan.Plan(7, 2, 2, 20.0, plan.Load(), ())
    path = _saved(tmp_path, sound)
    command.Soak(plan_file=path, out=tmp_path / "out", shrink=True)()
    assert plays == [sound]


@pytest.mark.parametrize("scenario", ["", "all"])
def test_callers_go_on_after_the_strikes_of_a_seed(tmp_path, plays, scenario):
    soak = command.Soak(seed=2, scenario=scenario, out=tmp_path)
    rests = command.Soak(seed=2, scenario=scenario, out=tmp_path, rest_s=0)
    soak()
    rests()
    assert plays[0].strikes == plays[1].strikes
    assert plays[0].lasts_s == plays[1].lasts_s + command.REST_S
