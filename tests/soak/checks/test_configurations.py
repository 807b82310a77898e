"""CONFIG speaks of requests that are handled by an older version."""

import pytest

from fireflystandins.soak.checks import configurations
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

from . import records

CHANGED_S = 90.0
ROUTES = frozenset({"resumed", "fetch", "file"})
FIRST = evidence.Version(1, 10.0, 10.1, ROUTES, True)


def _version(number=2, at_s=CHANGED_S, routes=ROUTES, has_key=True):
    return evidence.Version(number, at_s, at_s + 0.1, routes, has_key)


DROPPED = _version(routes=ROUTES - {"file"})
REVOKED = _version(has_key=False)
RUN = records.run(began_s=97.1)


def _answer(route="file", **fields):
    spans = {"sent_s": 97.0, "ended_s": 98.0} | fields
    return records.answer(route, **spans)


def _judge(answer, versions, runs=(), *strikes):
    versions = [FIRST, *versions]
    seen = records.seen([answer], runs, strikes, versions=versions)
    verdict = configurations.Configurations().judge(seen)
    return verdict.checked, len(verdict.breaks)


@pytest.mark.parametrize("version", [DROPPED, REVOKED])
def test_configurations_speaks_of_a_run_that_is_not_allowed(version):
    assert _judge(_answer(), [version], [RUN]) == (1, 1)
    assert _judge(_answer(status=404), [version]) == (1, 0)


@pytest.mark.parametrize("status", [401, 403, 404])
def test_configurations_speaks_of_refusals_of_what_is_allowed(status):
    back = _version(3, 90.5)
    refused = _answer(status=status)
    assert _judge(refused, [DROPPED, back]) == (1, 1)
    assert _judge(_answer(), [DROPPED, back], [RUN]) == (1, 0)
    assert _judge(_answer(status=503), [DROPPED, back]) == (1, 0)


def test_configurations_tells_routes_apart():
    assert _judge(_answer("fetch"), [DROPPED], [RUN]) == (1, 0)
    assert _judge(_answer("fetch", status=404), [DROPPED]) == (1, 1)


@pytest.mark.parametrize(
    ("changed_s", "expected"),
    [(90.0, (1, 1)), (91.5, (0, 0)), (97.5, (0, 0)), (98.5, (1, 0))],
    ids=["known", "not-known-yet", "meanwhile", "afterwards"],
)
def test_configurations_leaves_time_to_learn(changed_s, expected):
    version = _version(at_s=changed_s, routes=frozenset())
    assert _judge(_answer(), [version], [RUN]) == expected


def test_configurations_needs_a_change():
    assert _judge(_answer(status=404), []) == (0, 0)


KINDS = [plan.Kind.STOP, plan.Kind.KILL, plan.Kind.PAUSE, plan.Kind.LINK]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    ("strike", "expected"),
    [
        ({"began_s": 85.0, "ended_s": 88.1}, (0, 0)),
        ({"began_s": 97.5, "ended_s": 99.0}, (0, 0)),
        ({"began_s": 85.0, "ended_s": 87.9}, (1, 1)),
        ({"began_s": 96.0, "target": "node2"}, (1, 1)),
    ],
    ids=["before", "meanwhile", "long-before", "another-node"],
)
def test_configurations_excuses_nodes_out_of_touch(kind, strike, expected):
    struck = records.strike(kind, **strike)
    assert _judge(_answer(), [DROPPED], [RUN], struck) == expected


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (plan.Kind.STORE, (0, 0)),
        (plan.Kind.SILENCE, (1, 1)),
        (plan.Kind.FAIL, (1, 1)),
    ],
)
def test_configurations_excuses_the_store_alone(kind, expected):
    struck = records.strike(kind, "store", began_s=90.0, ended_s=92.0)
    assert _judge(_answer(), [DROPPED], [RUN], struck) == expected
