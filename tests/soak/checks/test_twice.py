"""TWICE speaks of second runs."""

import pytest

from fireflystandins.soak.checks import twice

from . import records


@pytest.mark.parametrize("route", ["stream", "file"])
def test_twice_speaks_of_a_second_run(route):
    runs = [records.run(), records.run(endpoint="s2", began_s=100.0)]
    assert (
        len(
            records.breaks(
                twice.Twice(), records.seen([records.answer(route)], runs)
            )
        )
        == 1
    )


def test_twice_allows_a_repeat_of_what_may_repeat():
    answers = [records.answer(), records.answer("file", request_id="c2")]
    runs = [records.run(), records.run(endpoint="s2", began_s=100.0)]
    assert records.breaks(twice.Twice(), records.seen(answers, runs)) == []
