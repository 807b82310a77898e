"""LOST speaks of early ends around stops."""

import pytest

from fireflystandins.soak.checks import lost
from fireflystandins.soak import plan

from . import records


@pytest.mark.parametrize("how", ["reset", "closed", "late"])
def test_lost_speaks_of_an_early_end_around_a_stop(how):
    seen = records.seen(
        [records.answer(how=how)], [records.run()], [records.stop()]
    )
    assert len(records.breaks(lost.Lost(), seen)) == 1


def test_lost_speaks_of_a_request_that_ran_and_got_no_status():
    answer = records.answer(how="closed", status=0, body=b"")
    seen = records.seen([answer], [records.run()], [records.stop()])
    assert len(records.breaks(lost.Lost(), seen)) == 1


@pytest.mark.parametrize(("waited_s", "expected"), [(0.1, 0), (0.3, 1)])
def test_lost_speaks_of_a_request_that_was_read_and_reached_no_endpoint(
    waited_s, expected
):
    unanswered = records.answer(
        how="closed",
        status=0,
        body=b"",
        request_id="c2",
        ended_s=99.0 + 3 + waited_s,
        sent_s=99.0 + 3,
    )
    seen = records.seen(
        [records.answer(), unanswered], [records.run()], [records.stop()]
    )
    assert len(records.breaks(lost.Lost(), seen)) == expected


def test_lost_leaves_out_a_request_that_was_not_sent():
    unsent = records.answer(how="reset", status=0, request_id="c2", sent_s=0.0)
    seen = records.seen(
        [records.answer(), unsent], [records.run()], [records.stop()]
    )
    assert records.breaks(lost.Lost(), seen) == []


def test_lost_speaks_beside_disruption_of_the_store_alone():
    store = records.strike(plan.Kind.STORE, "store")
    seen = records.seen(
        [records.answer(how="reset")], [records.run()], [records.stop(), store]
    )
    assert len(records.breaks(lost.Lost(), seen)) == 1


def test_lost_speaks_beside_a_silence():
    silence = records.strike(plan.Kind.SILENCE, "s1")
    seen = records.seen(
        [records.answer(how="reset")],
        [records.run()],
        [records.stop(), silence],
    )
    assert len(records.breaks(lost.Lost(), seen)) == 1


@pytest.mark.parametrize(
    ("answer", "run", "strike", "exits"),
    [
        ({}, {}, records.strike(plan.Kind.KILL, "node2"), {}),
        ({}, {}, records.strike(plan.Kind.PAUSE), {}),
        ({}, {}, records.strike(plan.Kind.FAIL, "s1"), {}),
        ({}, {}, records.strike(plan.Kind.LINK), {}),
        ({"sent_s": 93.0}, {}, None, {}),
        ({"ended_s": 107.4}, {"ended_s": 107.3}, None, {}),
        ({}, {"how": "lost"}, None, {"s1": 101.0}),
        ({}, {"how": "dropped"}, None, {}),
        ({}, {"how": "cut"}, None, {}),
        ({}, {}, records.strike(plan.Kind.FLAW, "s1"), {}),
    ],
    ids=[
        "kill",
        "pause",
        "failing",
        "link",
        "deadline",
        "late-work",
        "exited",
        "dropped",
        "cut",
        "flaw",
    ],
)
def test_lost_excuses(answer, run, strike, exits):
    happenings = [records.stop(), *([strike] if strike else [])]
    answers = [records.answer(how="reset", **answer)]
    seen = records.seen(answers, [records.run(**run)], happenings, exits=exits)
    assert records.breaks(lost.Lost(), seen) == []


def test_lost_does_not_excuse_an_endpoint_that_wrote_all_and_exited():
    answers, runs = [records.answer(how="reset")], [records.run()]
    seen = records.seen(answers, runs, [records.stop()], exits={"s1": 101.95})
    assert len(records.breaks(lost.Lost(), seen)) == 1


def _path(how, target="s1", began_s=100.5, ended_s=101.0):
    struck = records.strike(plan.Kind.PATH, target, began_s, ended_s)
    struck.strike = plan.Strike(5.0, plan.Kind.PATH, target, 0.5, how)
    return struck


@pytest.mark.parametrize(
    ("path", "endpoint", "expected"),
    [
        (_path("reset"), "s1", 0),
        (_path("reset"), "s1n2", 0),
        (_path("reset", "s2"), "s1", 1),
        (_path("reset", began_s=97.0, ended_s=98.0), "s1", 1),
        (_path("silent"), "s1", 1),
        (_path("slow"), "s1", 1),
        (_path("unanswered"), "s1", 1),
        (_path("refused"), "s1", 1),
    ],
    ids=[
        "reset",
        "its-successor",
        "another-endpoint",
        "before",
        "silent",
        "slow",
        "unanswered",
        "refused",
    ],
)
def test_lost_excuses_a_reset_on_the_way_to_the_endpoint_alone(
    path, endpoint, expected
):
    runs = [records.run(endpoint=endpoint, how="lost")]
    happenings = [records.stop(), path]
    seen = records.seen([records.answer(how="reset")], runs, happenings)
    assert len(records.breaks(lost.Lost(), seen)) == expected


@pytest.mark.parametrize(
    ("strike", "expected"),
    [
        ({}, 0),
        ({"target": "node2"}, 1),
        ({"began_s": 96.0, "ended_s": 98.9}, 1),
        ({"began_s": 102.1}, 1),
    ],
    ids=["meanwhile", "another-node", "before", "afterwards"],
)
def test_lost_excuses_a_struck_link_of_the_caller(strike, expected):
    happenings = [records.stop(), records.strike(plan.Kind.CALL, **strike)]
    answers = [records.answer(how="reset")]
    seen = records.seen(answers, [records.run()], happenings)
    assert len(records.breaks(lost.Lost(), seen)) == expected
