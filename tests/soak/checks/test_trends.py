"""TREND speaks of what rises steadily, and not of what varies."""

import random

import pytest

from fireflystandins.soak.checks import trends

from . import records

MIB = 1 << 20


def _rows(count, memory_per_s=0.0, opened_per_s=0.0, varies=0):
    chance = random.Random(1)
    return [
        (
            100.0 + number,
            int(67 * MIB + memory_per_s * number),
            int(60 + opened_per_s * number + chance.uniform(-1, 1) * varies),
        )
        for number in range(count)
    ]


def _judge(rows):
    seen = records.seen([], samples={"node1/7": rows})
    verdict = trends.Trends().judge(seen)
    return verdict.checked, [one.node for one in verdict.breaks]


@pytest.mark.parametrize(
    "slope",
    [
        {"memory_per_s": 9 * MIB / 60},
        {"opened_per_s": 4.1},
        {"opened_per_s": 6.0, "varies": 20},
    ],
    ids=str,
)
def test_trends_speaks_of_a_rise(slope):
    assert _judge(_rows(30, **slope)) == (1, ["node1"])


@pytest.mark.parametrize(
    "slope",
    [
        {"memory_per_s": 7 * MIB / 60},
        {"opened_per_s": 3.9},
        {"varies": 20},
        {"memory_per_s": -9 * MIB / 60, "opened_per_s": -6.0},
    ],
    ids=str,
)
def test_trends_allows(slope):
    assert _judge(_rows(30, **slope)) == (1, [])


def test_trends_leaves_out_the_warm_up():
    begins = [(90.0 + n, 20 * MIB * n, 10 * n) for n in range(8)]
    rows = [(at_s - 2.0, *more) for at_s, *more in _rows(30)]
    assert _judge(begins + rows) == (1, [])


def test_trends_needs_some_time():
    assert _judge(_rows(27, opened_per_s=90.0)) == (0, [])
    assert _judge(_rows(28, opened_per_s=90.0)) == (1, ["node1"])
