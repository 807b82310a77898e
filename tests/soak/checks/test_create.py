"""Each checker is silent on a sound record."""

import pytest

from fireflystandins.soak import checks

from . import records


@pytest.mark.parametrize("checker", checks.create(), ids=lambda one: one.rule)
def test_a_sound_record_breaks_no_rule(checker):
    sound = records.seen([records.answer()], [records.run()], [records.stop()])
    assert checker.judge(sound).breaks == []
