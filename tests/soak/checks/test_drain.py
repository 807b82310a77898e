"""DRAIN speaks of late requests."""

import pytest

from fireflystandins.soak.checks import drain
from fireflystandins.soak import plan

from . import records


@pytest.mark.parametrize(("late_s", "expected"), [(1.9, 0), (2.2, 1)])
def test_drain_speaks_of_late_requests(late_s, expected):
    runs = [records.run(began_s=records.BEGAN_S + late_s)]
    seen = records.seen(
        [records.answer()], runs, leaves={"s1": records.BEGAN_S}
    )
    assert len(records.breaks(drain.Drain(), seen)) == expected


def test_drain_excuses_disruption_of_the_store():
    store = records.strike(
        plan.Kind.STORE, "store", ended_s=records.BEGAN_S + 1
    )
    runs = [records.run(began_s=records.BEGAN_S + 3)]
    seen = records.seen(
        [records.answer()], runs, [store], leaves={"s1": records.BEGAN_S}
    )
    assert records.breaks(drain.Drain(), seen) == []


def _drain_beside(strike):
    runs = [records.run(began_s=records.BEGAN_S + 3)]
    happenings = [strike] if strike else []
    seen = records.seen(
        [records.answer()], runs, happenings, leaves={"s1": records.BEGAN_S}
    )
    return records.breaks(drain.Drain(), seen)


DRAIN_EXCUSES = [
    plan.Kind.STOP,
    plan.Kind.KILL,
    plan.Kind.PAUSE,
    plan.Kind.LINK,
]


@pytest.mark.parametrize("kind", DRAIN_EXCUSES)
def test_drain_excuses_strikes_on_the_node_in_contact_time(kind):
    assert len(_drain_beside(None)) == 1
    shortly_before = {
        "began_s": records.BEGAN_S - 3,
        "ended_s": records.BEGAN_S - 2.9,
    }
    assert _drain_beside(records.strike(kind)) == []
    assert _drain_beside(records.strike(kind, **shortly_before)) == []


@pytest.mark.parametrize("kind", DRAIN_EXCUSES)
@pytest.mark.parametrize(
    "other",
    [
        {"target": "node2"},
        {"began_s": records.BEGAN_S - 5, "ended_s": records.BEGAN_S - 3.1},
        {"began_s": records.BEGAN_S + 3.1},
    ],
    ids=["another-node", "long-before", "afterwards"],
)
def test_drain_does_not_excuse_other_strikes(kind, other):
    assert len(_drain_beside(records.strike(kind, **other))) == 1


@pytest.mark.parametrize(
    ("strike", "expected"),
    [
        ({"target": "s1"}, 0),
        ({"target": "s2"}, 1),
        ({"target": "s1", "began_s": 95.0, "ended_s": 99.9}, 1),
        ({"target": "s1", "began_s": 95.0, "ended_s": 100.1}, 0),
    ],
    ids=["meanwhile", "another-endpoint", "long-before", "contact-time"],
)
def test_drain_excuses_what_was_held_up_on_the_way(strike, expected):
    assert len(_drain_beside(records.strike(plan.Kind.PATH, **strike))) == (
        expected
    )
