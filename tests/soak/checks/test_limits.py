"""QUOTA and LIMIT speak of requests beyond what is allowed."""

import dataclasses

import pytest

from fireflystandins.soak.checks import limits
from fireflystandins.soak import plan

from . import records

RATE, BURST = 5.0, 10.0
QUOTA = 65
"""(5 x 8 + 10) x 1.1 + 10."""


def _requests(count, from_s, over_s, ran_after_s=0.1, prefix="c"):
    answers, runs = [], []
    for number in range(count):
        name = f"{prefix}{number}"
        sent_s = from_s + over_s * number / count
        answers.append(
            records.answer(request_id=name, sent_s=sent_s, ended_s=sent_s + 1)
        )
        runs.append(records.run(name, began_s=sent_s + ran_after_s))
    return answers, runs


def _judge_quota(answers, runs, rate=RATE):
    seen = records.seen(answers, runs)
    load = dataclasses.replace(
        seen.plan.load, limit_per_s=rate, limit_burst=BURST
    )
    seen.plan = dataclasses.replace(seen.plan, load=load)
    verdict = limits.Quota().judge(seen)
    return verdict.checked, len(verdict.breaks)


@pytest.mark.parametrize(
    ("count", "over_s", "expected"),
    [
        (QUOTA, 7.0, 0),
        (QUOTA + 1, 7.0, 1),
        (2 * QUOTA, 16.0, 0),
        (2 * QUOTA + 4, 15.5, 1),
    ],
)
def test_quota_speaks_of_too_many_in_a_window(count, over_s, expected):
    found = _judge_quota(*_requests(count, 100.0, over_s))
    assert found == (count, expected)


def test_quota_counts_requests_and_not_runs():
    answers, runs = _requests(QUOTA, 100.0, 7.0)
    again = [dataclasses.replace(run, endpoint="s2") for run in runs]
    assert _judge_quota(answers, runs + again) == (QUOTA, 0)


def test_quota_counts_what_was_sent_and_ran_in_the_window():
    early = _requests(20, 92.0, 7.0, 8.5, "early")
    answers, runs = _requests(QUOTA, 100.0, 7.0)
    found = _judge_quota(answers + early[0], runs + early[1])
    assert found == (QUOTA + 20, 0)


def test_quota_counts_no_refused_requests():
    answers, runs = _requests(3 * QUOTA, 100.0, 7.0)
    assert _judge_quota(answers, runs[:QUOTA]) == (QUOTA, 0)


def test_quota_without_a_limit_is_not_judged():
    assert _judge_quota(*_requests(200, 100.0, 7.0), rate=0.0) == (0, 0)


LIMIT = 17
"""1.5 x 2 x 4 + 5."""


def _judge_limit(runs, *others):
    strike = plan.Strike(5.0, plan.Kind.LIMIT, "s1", 20.0, times=2)
    limited = records.strike(plan.Kind.LIMIT, ended_s=120.0)
    limited.strike = strike
    seen = records.seen([], runs, [limited, *others])
    verdict = limits.EndpointLimits().judge(seen)
    return verdict.checked, len(verdict.breaks)


@pytest.mark.parametrize(
    ("from_s", "count", "expected"),
    [
        (103.1, LIMIT, (LIMIT, 0)),
        (103.1, LIMIT + 1, (LIMIT + 1, 1)),
        (115.9, LIMIT + 1, (LIMIT + 1, 1)),
        (98.9, 40, (0, 0)),
        (120.0, 40, (0, 0)),
    ],
    ids=["at-it", "over", "over-at-the-end", "not-yet", "taken-back"],
)
def test_limit_speaks_of_too_many_in_a_window(from_s, count, expected):
    _, runs = _requests(count, from_s, 3.9)
    assert _judge_limit(runs) == expected


def test_limit_counts_each_endpoint_by_itself():
    _, runs = _requests(LIMIT, 104.0, 3.0)
    others = [dataclasses.replace(run, endpoint="s2") for run in runs]
    assert _judge_limit(runs + others) == (LIMIT, 0)


@pytest.mark.parametrize("kind", plan.Kind)
def test_limit_does_not_excuse_strikes(kind):
    _, runs = _requests(LIMIT + 1, 104.0, 3.0)
    other = records.strike(kind, began_s=101.0, ended_s=110.0)
    assert _judge_limit(runs, other)[1] == 1
