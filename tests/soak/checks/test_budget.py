"""BUDGET speaks of too many repeats."""

import pytest

from fireflystandins.soak.checks import budget

from . import records


@pytest.mark.parametrize(("repeats", "expected"), [(21, 0), (30, 1)])
def test_repeats_speaks_beyond_the_share_and_the_slack(repeats, expected):
    names = [f"c{number}" for number in range(30)]
    answers = [records.answer(request_id=name) for name in names]
    runs = [records.run(name) for name in names]
    runs += [records.run(name, "s2", 100.0) for name in names[:repeats]]
    breaks = records.breaks(budget.Repeats(), records.seen(answers, runs))
    assert len(breaks) == expected
