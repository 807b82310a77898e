"""The status page for operators."""

import json
import types

import pytest

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import pools
from fireflypulley.gateway import status

from ..core.gateway import builders

NOW_S = 10.0


@pytest.fixture
def serving_scheduler():
    """Return a scheduler with a configuration and four endpoints."""
    names = ("e1", "e2", "e3", "e4")
    entries = [builders.entry(name) for name in names]
    node_scheduler = builders.a_scheduler(None, *entries)
    node_scheduler.apply_document(builders.a_document(version=4), 8.0)
    return node_scheduler


def _page(serving_scheduler):
    registry = peer_registry.PeerRegistry(
        peer_registry.NodeEntry("n1", "h:1", "a", 1)
    )
    following = types.SimpleNamespace(
        health=types.SimpleNamespace(is_doubted=False),
        unreadable=2,
        cache=types.SimpleNamespace(versions=lambda: {"t": 7}),
    )
    manager = types.SimpleNamespace(
        holds=True, fence=types.SimpleNamespace(fencing=3)
    )
    sources = status.Sources(
        serving_scheduler,
        registry,
        following,
        manager,
        pools.Paths(),
        types.SimpleNamespace(open_count=4),
    )
    page = status.describe(sources, NOW_S, 5)
    assert json.loads(status.render(page)) == page
    return page


def _reasons(serving_scheduler):
    return {
        entry["endpoint"]: entry["no_work_because"]
        for entry in _page(serving_scheduler)["endpoints"]
    }


def test_the_node_and_its_configuration_are_shown(serving_scheduler):
    page = _page(serving_scheduler)
    assert page["node"]["node"] == "n1"
    assert page["node"]["open_requests"] == 5
    assert page["node"]["rows"] == {"t": 7}
    assert page["node"]["fencing"] == 3
    assert page["node"]["cut_off_from_endpoints"] is False
    assert page["node"]["tunnels_for_others"] == 4
    assert page["configuration"]["version"] == 4
    assert page["configuration"]["age_s"] == 2.0


def test_a_node_without_a_configuration_says_so():
    empty = scheduler.RequestScheduler("a", bounds.SharedBounds())
    assert _page(empty)["configuration"] == {"version": 0}


def test_an_endpoint_in_use_has_no_reason(serving_scheduler):
    assert set(_reasons(serving_scheduler).values()) == {""}


def test_each_reason_for_no_work_is_named(serving_scheduler):
    e1, e2, e3, e4 = sorted(
        serving_scheduler.fleet, key=lambda member: member.endpoint_id
    )
    e1.leaving = True
    serving_scheduler.loads.of(e2).is_unreachable = True
    serving_scheduler.loads.of(e3).full_until_s = NOW_S + 1
    e4.cold_until_s = NOW_S + 1
    assert _reasons(serving_scheduler) == {
        "e1": "leaving",
        "e2": "unreached",
        "e3": "full",
        "e4": "cold",
    }


def test_an_evacuated_domain_is_a_reason(serving_scheduler):
    serving_scheduler.endpoint_filter.drained_domains.add("a")
    assert set(_reasons(serving_scheduler).values()) == {"evacuated"}
    assert _page(serving_scheduler)["evacuations"] == ["a"]


def test_rollouts_are_shown_with_their_phase(serving_scheduler):
    serving_scheduler.rollouts.order(
        versions.Rollout("s/v2/1", "s", "v2", 4.0, 12.0)
    )
    (rollout,) = _page(serving_scheduler)["rollouts"]
    assert rollout["phase"] == "trial"
    assert rollout["left_s"] == 6.0
    assert rollout["answers"] == 0
    assert not rollout["is_bad"]


def test_refused_prompt_parts_are_shown_with_their_evidence(
    serving_scheduler,
):
    crashes = serving_scheduler.prompt_crashes
    run = prompt_crashes.UnbegunRun("w", ("dd",))
    for number in range(prompt_crashes.CRASHES_TO_REFUSE + 1):
        report = prompt_crashes.CrashReport(f"x{number}", 1, "s", (run,))
        crashes.merge(report, float(number))
        crashes.note_answered("s", {"zz"}, number + 0.1)
    (entry,) = _page(serving_scheduler)["refused_parts"]
    assert entry["parts"] == ["dd"]
    assert entry["workspace"] == "w"
    assert entry["endpoints"] == ["x0", "x1", "x2", "x3"]
    assert entry["last_crash_before_s"] == 7.0
    assert entry["tried_in_s"] > 100


def test_who_confirmed_the_rows_is_shown(serving_scheduler):
    serving_scheduler.freshness.note("t", "n2", NOW_S - 1.5)
    confirmed = _page(serving_scheduler)["node"]["rows_confirmed"]
    assert confirmed == {"t": {"before_s": 1.5, "by": "n2"}}


def test_a_version_that_is_undone_is_a_reason(serving_scheduler):
    rollout = versions.Rollout("s/v2/1", "s", "v2", 4.0, 12.0)
    serving_scheduler.rollouts.order(rollout)
    undone = versions.PhaseReached("s/v2/1", versions.Phase.UNDONE, 99.0)
    serving_scheduler.shared.merge(undone, NOW_S)
    serving_scheduler.fleet.put(builders.entry("e5", version="v2"), 0.0)
    assert _reasons(serving_scheduler)["e5"] == "other version"
    assert _reasons(serving_scheduler)["e1"] == ""
