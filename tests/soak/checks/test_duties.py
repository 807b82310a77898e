"""ONE speaks of two holders, and of reports that differ."""

import pytest

from fireflystandins.soak.checks import duties
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

from . import records


def _call(holder="node1", token=1, at_s=101.0, **fields):
    named = {"duty": "orders", "subject": "speech a"} | fields
    return evidence.DutyCall(holder=holder, token=token, at_s=at_s, **named)


def _report(content, window="7", **fields):
    return _call(
        duty="usage", subject=" ", content=content, window=window, **fields
    )


def _judge(calls, *strikes):
    seen = records.seen([], (), strikes, duty_calls=calls)
    return records.breaks(duties.Duties(), seen)


PAUSE = records.strike(plan.Kind.PAUSE, began_s=98.0, ended_s=100.8)
STORE = records.strike(plan.Kind.STORE, "store", began_s=98.0, ended_s=99.0)


@pytest.mark.parametrize("strikes", [(), (PAUSE,), (STORE,)])
def test_duties_speaks_of_reports_that_differ(strikes):
    calls = [_report('{"w": 1}'), _report('{"w": 2}', at_s=101.5)]
    assert len(_judge(calls, *strikes)) == 1


def test_duties_allows_repeats_and_other_windows():
    calls = [
        _report('{"w": 1}'),
        _report('{"w": 1}', at_s=101.5),
        _report('{"w": 2}', "8", at_s=102.0),
    ]
    assert _judge(calls) == []


@pytest.mark.parametrize("strikes", [(), (PAUSE,), (STORE,)])
def test_duties_speaks_of_a_token_of_two_holders(strikes):
    calls = [_call(), _call("node2", at_s=101.5)]
    assert len(_judge(calls, *strikes)) == 1


def test_duties_judges_each_subject_by_itself():
    other = _call("node2", at_s=101.5, subject="speech b")
    assert _judge([_call(), other, _call(at_s=102.0)]) == []
    other = _report("{}", holder="node2", at_s=101.5)
    assert _judge([_call(), other, _call(at_s=102.0)]) == []


FALL = [_call("node2", 2, 100.5), _call(at_s=101.0)]
RETURN = [
    _call(token=1, at_s=99.0),
    _call("node2", 2, 100.5),
    _call(token=3, at_s=101.0),
]


@pytest.mark.parametrize("calls", [FALL, RETURN], ids=["fall", "return"])
@pytest.mark.parametrize(
    ("strike", "expected"),
    [
        (None, 1),
        (PAUSE, 0),
        (STORE, 0),
        (records.strike(plan.Kind.LINK, began_s=98.0, ended_s=100.8), 0),
        (records.strike(plan.Kind.PAUSE, began_s=98.0, ended_s=98.5), 1),
        (records.strike(plan.Kind.PAUSE, "node3", 98.0, 100.8), 1),
        (records.strike(plan.Kind.STORE, "store", 90.0, 95.0), 1),
        (records.strike(plan.Kind.KILL, began_s=98.0, ended_s=100.8), 1),
    ],
    ids=[
        "calm",
        "paused",
        "store",
        "link",
        "long-awake",
        "another-node",
        "long-well",
        "killed",
    ],
)
def test_duties_speaks_of_two_holders_at_once(calls, strike, expected):
    strikes = [strike] if strike else []
    assert len(_judge(calls, *strikes)) == expected


@pytest.mark.parametrize(("gap_s", "expected"), [(2.9, 1), (3.1, 0)])
def test_duties_allows_a_return_after_the_lease(gap_s, expected):
    calls = [
        _call(token=1, at_s=99.0),
        _call("node2", 2, 99.5),
        _call(token=3, at_s=99.0 + gap_s),
    ]
    assert len(_judge(calls)) == expected


def test_calls_are_read_as_the_store_tells_them():
    seen = records.seen([])
    usage = {"holder": "node1", "fencing": 4, "at_s": 1100.0}
    usage |= {"window-id": 7, "counts": {"b": 2, "a": 1}}
    order = {"holder": "node2", "fencing": 5, "at_s": 1101.0}
    order |= {"service": "speech", "zone": "a", "desired-count": 3}
    seen.read_duty("usage", [usage], 1000.0)
    seen.read_duty("orders", [order], 1000.0)
    assert seen.duty_calls == [
        evidence.DutyCall(
            "usage", " ", "node1", 4, 100.0, '{"a": 1, "b": 2}', "7"
        ),
        evidence.DutyCall("orders", "speech a", "node2", 5, 101.0, "null", ""),
    ]
