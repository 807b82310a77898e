"""TIME-OUT speaks of requests that are held too long."""

import pytest

from fireflystandins.soak.checks import timeouts
from fireflystandins.soak import plan

from . import records

SENT_S = 90.0


def _lasted(took_s, count=1, style="whole", **fields):
    answers = []
    for _ in range(count):
        answer = records.answer(
            sent_s=SENT_S, ended_s=SENT_S + took_s, **fields
        )
        answer.style = style
        answers.append(answer)
    return answers


def _judge(answers, *strikes):
    seen = records.seen(answers, (), strikes)
    return timeouts.Timeouts().judge(seen)


@pytest.mark.parametrize("how", ["whole", "late", "reset", "closed"])
def test_timeouts_speaks_of_requests_held_too_long(how):
    verdict = _judge(_lasted(8.6, how=how, status=0))
    assert verdict.checked == len(verdict.breaks) == 1


@pytest.mark.parametrize(("in_time", "expected"), [(5, 2), (6, 0)])
def test_timeouts_allows_a_quarter_of_those_that_last(in_time, expected):
    verdict = _judge(_lasted(8.1, in_time) + _lasted(9.0, 2))
    assert verdict.checked == in_time + 2
    assert len(verdict.breaks) == expected


def test_timeouts_leaves_out_short_requests():
    verdict = _judge(_lasted(7.4, 20) + _lasted(9.0))
    assert verdict.checked == len(verdict.breaks) == 1


def test_timeouts_are_kept_by_requests_that_end_shortly_before():
    verdict = _judge(_lasted(7.9, 20))
    assert (verdict.checked, verdict.breaks) == (20, [])
    verdict = _judge(_lasted(7.9, 20) + _lasted(9.0))
    assert (verdict.checked, len(verdict.breaks)) == (21, 1)


@pytest.mark.parametrize(
    "answer",
    [
        {"style": "slow"},
        {"style": "early"},
        {"how": "left"},
        {"how": "crossed"},
    ],
    ids=str,
)
def test_timeouts_excuses_callers(answer):
    verdict = _judge(_lasted(9.0, **answer))
    assert (verdict.checked, verdict.breaks) == (0, [])


KINDS = [
    plan.Kind.STOP,
    plan.Kind.KILL,
    plan.Kind.PAUSE,
    plan.Kind.LINK,
    plan.Kind.CALL,
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("strike", "expected"),
    [
        ({"began_s": 92.0, "ended_s": 93.0}, 0),
        ({"began_s": 80.0, "ended_s": 87.5}, 0),
        ({"began_s": 80.0, "ended_s": 86.5}, 1),
        ({"began_s": 92.0, "ended_s": 93.0, "target": "node2"}, 1),
    ],
    ids=["meanwhile", "contact-time", "before", "another-node"],
)
def test_timeouts_excuses_nodes_out_of_touch(kind, strike, expected):
    verdict = _judge(_lasted(9.0), records.strike(kind, **strike))
    assert len(verdict.breaks) == expected


@pytest.mark.parametrize(
    "kind", [plan.Kind.STORE, plan.Kind.SILENCE, plan.Kind.LEAVE]
)
def test_timeouts_does_not_excuse_other_strikes(kind):
    strike = records.strike(kind, "store", began_s=92.0, ended_s=93.0)
    assert len(_judge(_lasted(9.0), strike).breaks) == 1
