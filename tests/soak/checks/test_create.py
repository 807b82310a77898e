"""Each checker is silent on a sound record."""

import pathlib

import pytest

from fireflystandins.soak import checks

from . import records


@pytest.mark.parametrize("checker", checks.create(), ids=lambda one: one.rule)
def test_a_sound_record_breaks_no_rule(checker):
    sound = records.seen([records.answer()], [records.run()], [records.stop()])
    assert checker.judge(sound).breaks == []


def test_operators_are_told_each_rule_in_its_sentence():
    page = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
    rows = page.read_text()
    told = [one for one in checks.create() if _row(one) in rows]
    assert [one.rule for one in told] == [one.rule for one in checks.create()]
    assert len({one.rule for one in told}) == len(told)


def _row(checker):
    return f"| {checker.rule} | {checker.sentence} | "
