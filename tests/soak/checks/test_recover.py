"""RECOVER speaks of nodes that do not serve again."""

import pytest

from fireflystandins.soak.checks import recover
from fireflystandins.soak import plan

from . import records

LAST_S = 106.0
"""At which the only strike ends."""


def _answers(first_s, count, node="node1", **fields):
    answers = []
    for number in range(count):
        sent_s = first_s + number * 0.5
        answer = records.answer(sent_s=sent_s, ended_s=sent_s + 1, **fields)
        answer.node = node
        answers.append(answer)
    return answers


def _judge(before, after, *strikes):
    stop = records.stop(ended_s=LAST_S)
    others = _answers(90.0, 10, "node2") + _answers(LAST_S + 12, 10, "node2")
    seen = records.seen(before + after + others, (), [stop, *strikes])
    return recover.Recover().judge(seen)


REFUSED = {"status": 503, "body": b""}
BROKEN = {"how": "reset", "status": 0}


@pytest.mark.parametrize("fields", [REFUSED, BROKEN, {"how": "late"}])
def test_recover_speaks_of_a_node_that_serves_under_a_quarter(fields):
    served, failed = _answers(118.5, 3), _answers(118.0, 10, **fields)
    verdict = _judge(_answers(90.0, 10), served + failed)
    assert [one.node for one in verdict.breaks] == ["node1"]
    assert "3 of 13" in verdict.breaks[0].text
    assert verdict.checked == 2


@pytest.mark.parametrize(
    "after",
    [[], _answers(118.0, 3, **BROKEN), _answers(110.0, 3)],
    ids=["none", "few-broken", "too-early"],
)
def test_recover_speaks_of_a_node_that_serves_nothing(after):
    assert len(_judge(_answers(90.0, 10), after).breaks) == 1


@pytest.mark.parametrize(
    "after",
    [
        _answers(118.0, 1) + _answers(118.0, 6, **BROKEN),
        _answers(118.0, 4) + _answers(118.0, 12, **REFUSED),
        _answers(118.0, 2, how="left") + _answers(118.0, 30, how="crossed"),
    ],
    ids=["one-of-few", "a-quarter", "crossed"],
)
def test_recover_allows(after):
    assert _judge(_answers(90.0, 10), after).breaks == []


@pytest.mark.parametrize(
    "before",
    [
        _answers(90.0, 10, **REFUSED),
        _answers(90.0, 2) + _answers(90.0, 10, status=429),
    ],
    ids=["nothing", "beyond-limit"],
)
def test_recover_does_not_judge_a_node_that_served_little_before(before):
    verdict = _judge(before, _answers(118.0, 10, status=429))
    assert (verdict.checked, verdict.breaks) == (1, [])


def test_recover_does_not_judge_before_the_last_strike_is_over():
    strike = records.strike(
        plan.Kind.KILL, "node2", began_s=112.0, ended_s=119.0
    )
    verdict = _judge(_answers(90.0, 10), [], strike)
    assert (verdict.checked, verdict.breaks) == (0, [])
