"""ORDER speaks of events out of order."""

import pytest

from fireflystandins.soak.checks import mixed
from fireflystandins.soak.checks import order
from fireflystandins.soak import plan

from . import records


@pytest.mark.parametrize(
    "body",
    [
        records.events(1) + records.events(1, first=3),
        records.events(2) + records.events(2, first=2),
        records.events(2),
    ],
    ids=["missing", "twice", "too-few"],
)
def test_order_speaks_of_events(body):
    assert (
        len(
            records.breaks(
                order.Order(), records.seen([records.answer(body=body)])
            )
        )
        == 1
    )


def _order_of(*answers, runs=()):
    return records.breaks(order.Order(), records.seen(answers, runs))


# Guards against pieces of two runs in one answer.
@pytest.mark.parametrize(
    ("route", "body", "expected"),
    [
        (
            "resumed",
            records.events(1) + records.events(2, first=2, run="s2.1"),
            0,
        ),
        (
            "stream",
            records.events(1) + records.events(2, first=2, run="s2.1"),
            1,
        ),
        (
            "resumed",
            records.events(2) + records.events(2, first=2, run="s2.1"),
            1,
        ),
        (
            "resumed",
            records.events(1) + records.events(1, first=3, run="s2.1"),
            1,
        ),
        (
            "resumed",
            records.events(1)
            + records.events(1, first=2, run="s2.1")
            + records.events(1, first=3),
            1,
        ),
    ],
    ids=["resumed", "not-resumable", "again", "gap", "back"],
)
def test_order_speaks_of_two_runs(route, body, expected):
    assert len(_order_of(records.answer(route, body=body))) == expected


def test_order_speaks_of_a_number_that_is_not_its_run_s():
    assert len(_order_of(records.answer(body=records.events(3, shift=1)))) == 1


@pytest.mark.parametrize(
    ("chain", "expected"),
    [
        ([(1, 1), (2, 1), (3, 1)], 0),
        ([(1, 2), (1, 0), (3, 1)], 0),
        ([(1, 3), (1, 0)], 0),
        ([(1, 2), (1, 3)], 1),
        ([(1, 2), (2, 2)], 1),
        ([(1, 1), (3, 1)], 1),
        ([(1, 1), (2, 1)], 1),
        ([(1, 1), (1, 0)], 1),
    ],
    ids=[
        "twice",
        "without-an-event",
        "had-all",
        "anew",
        "earlier",
        "later",
        "too-few",
        "none",
    ],
)
def test_order_speaks_of_what_a_caller_gets_that_comes_back(chain, expected):
    assert len(_order_of(*records.chain(*chain))) == expected


# An endpoint that sends no event and says that this was all can't be seen
# through; one that sends too few, or is cut, can.
@pytest.mark.parametrize("checker", [order.Order(), mixed.Mixed()])
@pytest.mark.parametrize(
    ("how", "expected"),
    [("empty", 0), ("whole", 1), ("lost", 1), ("dropped", 1), ("cut", 1)],
)
def test_an_empty_run_alone_excuses_a_short_answer(checker, how, expected):
    chain = records.chain((1, 1), (1, 0))
    chain[1].last, chain[1].names = 1, "c2"
    seen = records.seen(chain, [records.run("c2", how=how)])
    assert len(records.breaks(checker, seen)) == expected


def _order_of_a_short_answer(run, strikes=(), exits=None):
    seen = records.seen(
        [records.answer(body=records.events(2))],
        [run],
        strikes,
        exits=exits or {},
    )
    return records.breaks(order.Order(), seen)


@pytest.mark.parametrize(
    ("how", "exited_s"),
    [("whole", 101.0), ("lost", 99.0), ("lost", 101.0), ("lost", 102.5)],
    ids=["wrote-all", "before-the-run", "meanwhile", "after-the-answer"],
)
def test_order_does_not_excuse_exits(how, exited_s):
    run = records.run(how=how, events=2)
    assert len(_order_of_a_short_answer(run, exits={"s1": exited_s})) == 1


@pytest.mark.parametrize("kind", plan.Kind)
def test_order_does_not_excuse_strikes(kind):
    strikes = [records.strike(kind, "s1"), records.strike(kind)]
    assert len(_order_of_a_short_answer(records.run(), strikes)) == 1
