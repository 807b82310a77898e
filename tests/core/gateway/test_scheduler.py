"""Admission, placement and retries by the request scheduler."""

import pytest

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import loads
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler

from . import builders

AT_MOST_ONCE = document.RouteKind.AT_MOST_ONCE
STREAM = document.RouteKind.STREAM
PEER_DELAY_S = 0.45
"""A peer may have seen a removal this much earlier than this node."""


def test_without_a_configuration_requests_get_503():
    node_scheduler = scheduler.RequestScheduler("a", bounds.SharedBounds())
    refusal = builders.admitted(node_scheduler)
    assert refusal.reason is calls.RefusalReason.NO_CONFIGURATION
    assert calls.STATUS_BY_REFUSAL[refusal.reason] == 503
    assert refusal.retry_after_s


def test_unknown_route_and_unknown_key_have_different_reasons():
    w = document.Workspace("w", ("k",))
    node_scheduler = builders.a_scheduler(builders.a_document(workspaces=[w]))
    no_route = builders.admitted(node_scheduler, path="/b/x")
    assert no_route.reason is calls.RefusalReason.NO_ROUTE
    no_key = builders.admitted(node_scheduler, api_key="x")
    assert no_key.reason is calls.RefusalReason.NO_KEY
    assert builders.admitted(node_scheduler, api_key="k").workspace is w


def test_an_anonymous_route_needs_no_key():
    w = document.Workspace("w", ("k",))
    config = builders.a_document(
        builders.route(anonymous=True), workspaces=[w]
    )
    assert builders.admitted(builders.a_scheduler(config)).workspace is None


def test_the_deadline_is_the_earlier_of_caller_and_route():
    node_scheduler = builders.a_scheduler()
    long = builders.admitted(node_scheduler, timeout_s=60.0)
    assert long.deadline_s == 10.0 - request_admission.ANSWER_MARGIN_S
    short = builders.admitted(node_scheduler, timeout_s=1.5)
    assert short.deadline_s == 1.5


def test_a_refusal_over_the_limit_has_a_retry_time():
    w = document.Workspace("w", ("k",), rate_per_s=1.0, burst=1.0)
    node_scheduler = builders.a_scheduler(builders.a_document(workspaces=[w]))
    assert not isinstance(
        builders.admitted(node_scheduler, api_key="k"), runs.Refusal
    )
    refusal = builders.admitted(node_scheduler, api_key="k", now_s=0.25)
    assert refusal.reason is calls.RefusalReason.OVER_LIMIT
    assert refusal.retry_after_s == pytest.approx(0.75)


def test_leaving_and_drained_endpoints_get_no_requests():
    node_scheduler = builders.a_scheduler(
        None,
        builders.entry("e1", leaving=True),
        builders.entry("e2", domain="b"),
    )
    request = builders.admitted(node_scheduler)
    run = node_scheduler.choose(request, frozenset(), 0.0)
    assert run.member.endpoint_id == "e2"
    node_scheduler.endpoint_filter.drained_domains.add("b")
    assert not node_scheduler.still_allowed(run, 0.2)
    refusal = node_scheduler.choose(request, frozenset(), 0.0)
    assert refusal.reason is calls.RefusalReason.NO_ENDPOINT


def test_an_endpoint_that_left_while_connecting_is_not_allowed():
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    run = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.0
    )
    node_scheduler.fleet.put(builders.entry("e1", leaving=True), 0.1)
    assert not node_scheduler.still_allowed(run, 0.2)


# Guards against a violation of DRAIN, as on day inc1: requests were sent
# to endpoints that had left, for as long as their service had no other one.
@pytest.mark.parametrize("store_doubted", [False, True])
def test_endpoints_that_all_leave_get_no_requests_after_the_drain_time(
    store_doubted,
):
    names = ["e1", "e2", "e3"]
    node_scheduler = builders.a_scheduler(None, *map(builders.entry, names))
    request = builders.admitted(node_scheduler)
    run = node_scheduler.choose(request, frozenset(), 0.0)
    removed_s = 0.2
    for name in names:
        node_scheduler.fleet.remove(name, removed_s, store_doubted)
    late_s = removed_s + bounds.SharedBounds().drain_s - PEER_DELAY_S
    assert not node_scheduler.still_allowed(run, late_s)
    refusal = node_scheduler.choose(request, frozenset(), late_s)
    assert refusal.reason is calls.RefusalReason.NO_ENDPOINT


def _serve(node_scheduler, took_s):
    """Answer a request completely after some time."""
    run = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.0
    )
    node_scheduler.evaluator.note_ended(run, calls.Outcome.COMPLETE, took_s)


# Guards against the reverse fault of day inc1: refusing requests that
# could have been served in time.
@pytest.mark.parametrize("is_announced", [False, True])
def test_the_last_leaving_endpoint_gets_requests_that_end_in_time(
    is_announced,
):
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    _serve(node_scheduler, 0.4)
    if is_announced:
        node_scheduler.fleet.put(builders.entry("e1", leaving=True), 10.0)
    else:
        node_scheduler.fleet.remove("e1", 10.0, False)
    request = builders.admitted(node_scheduler, now_s=10.0)
    run = node_scheduler.choose(request, frozenset(), 10.1)
    assert run.choice.last_resort
    assert node_scheduler.still_allowed(run, 10.1)
    late_s = 10.0 + bounds.SharedBounds().drain_s - PEER_DELAY_S
    assert not node_scheduler.still_allowed(run, late_s)


def test_a_leaving_endpoint_gets_no_requests_that_would_be_cut():
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    _serve(node_scheduler, 3.0)
    node_scheduler.fleet.put(builders.entry("e1", leaving=True), 10.0)
    request = builders.admitted(node_scheduler, now_s=10.0)
    refusal = node_scheduler.choose(request, frozenset(), 10.1)
    assert refusal.reason is calls.RefusalReason.NO_ENDPOINT


def test_a_leaving_endpoint_gets_nothing_while_another_has_room():
    node_scheduler = builders.a_scheduler(
        None, builders.entry("e1"), builders.entry("e2", domain="b")
    )
    _serve(node_scheduler, 0.1)
    node_scheduler.fleet.remove("e1", 10.0, False)
    request = builders.admitted(node_scheduler, now_s=10.0)
    run = node_scheduler.choose(request, frozenset(), 10.1)
    assert run.member.endpoint_id == "e2"
    assert not run.choice.last_resort


def test_another_start_at_the_same_id_is_another_endpoint():
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    run = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.0
    )
    node_scheduler.fleet.put(builders.entry("e1", started_ms=2), 0.1)
    assert not node_scheduler.still_allowed(run, 0.2)


def test_requests_go_to_the_least_loaded_but_not_to_one_that_refused():
    entries = [builders.entry(f"e{one}") for one in range(3)]
    node_scheduler = builders.a_scheduler(None, *entries)
    chosen = {
        node_scheduler.choose(
            builders.admitted(node_scheduler, f"q{one}"), frozenset(), 0.0
        ).member.endpoint_id
        for one in range(3)
    }
    assert chosen == {"e0", "e1", "e2"}
    run = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.0
    )
    node_scheduler.evaluator.note_ended(run, calls.Outcome.NOT_RUN, 0.0)
    again = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.01
    )
    assert again.member is not run.member


def test_an_unresponsive_endpoint_gets_no_more_requests():
    """One endpoint stops responding while it runs a request."""
    node_scheduler = builders.a_scheduler(
        None, builders.entry("e1"), builders.entry("e2")
    )
    unresponsive = node_scheduler.choose(
        builders.admitted(node_scheduler, "q0"), frozenset(), 0.0
    )
    other = {"e1": "e2", "e2": "e1"}[unresponsive.member.endpoint_id]
    for index in range(20):
        request = builders.admitted(node_scheduler, f"q{index}", now_s=1.0)
        run = node_scheduler.choose(request, frozenset(), 1.0)
        assert run.member.endpoint_id == other
        run.load.note_activity(1.0)


def test_suspected_endpoints_serve_if_there_is_no_other():
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    run = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.0
    )
    node_scheduler.evaluator.note_ended(run, calls.Outcome.CUT, 0.0)
    again = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.1
    )
    assert again.member.endpoint_id == "e1"


@pytest.mark.parametrize("outcome", list(calls.Outcome))
def test_at_most_once_is_retried_only_if_it_certainly_did_not_run(outcome):
    config = builders.a_document(builders.route(AT_MOST_ONCE))
    node_scheduler = builders.a_scheduler(config, builders.entry("e1"))
    request = builders.admitted(node_scheduler)
    for _ in range(20):
        node_scheduler.retry_budget.note_request("s", 0.0)
    refusal = node_scheduler.may_retry(
        request, outcome, runs.AttemptCounts(1, 1, 0), 0.0
    )
    assert (refusal is None) is outcome.certainly_not_run
    if refusal is not None:
        status = calls.STATUS_BY_REFUSAL[refusal.reason]
        assert status not in (408, 421, 429, 503)


def test_a_stream_that_cannot_be_resumed_runs_once():
    config = builders.a_document(builders.route(STREAM))
    node_scheduler = builders.a_scheduler(config, builders.entry("e1"))
    request = builders.admitted(node_scheduler)
    assert node_scheduler.may_retry(
        request, calls.Outcome.CUT, runs.AttemptCounts(1, 1, 1), 0.0
    )


def test_a_request_runs_on_no_more_endpoints_than_its_route_allows():
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    request = builders.admitted(node_scheduler)
    cut = calls.Outcome.CUT
    assert (
        node_scheduler.may_retry(
            request, cut, runs.AttemptCounts(1, 1, 1), 0.0
        )
        is None
    )
    refusal = node_scheduler.may_retry(
        request, cut, runs.AttemptCounts(1, 2, 2), 0.0
    )
    assert refusal.reason is calls.RefusalReason.OUTCOME_UNKNOWN


def test_retries_end_with_the_budget_and_the_status_is_accurate():
    node_scheduler = builders.a_scheduler(
        None, builders.entry("e1"), retry_ratio=0.0, retry_slack=0.0
    )
    request = builders.admitted(node_scheduler)
    turned_away = node_scheduler.may_retry(
        request, calls.Outcome.NOT_RUN, runs.AttemptCounts(1, 1, 0), 0.0
    )
    assert calls.STATUS_BY_REFUSAL[turned_away.reason] == 503
    failed = node_scheduler.may_retry(
        request, calls.Outcome.FAILED, runs.AttemptCounts(1, 1, 1), 0.0
    )
    assert calls.STATUS_BY_REFUSAL[failed.reason] == 502


# Guards against failures whose log lines read alike, whatever hindered
# another attempt.
def test_each_obstacle_to_a_retry_is_named():
    config = builders.a_document(builders.route(AT_MOST_ONCE))
    found = []
    for rules, ratio, counts in (
        (config, 1.0, runs.AttemptCounts(1, 1, 1)),
        (None, 1.0, runs.AttemptCounts(2, 2, 2)),
        (None, 0.0, runs.AttemptCounts(1, 1, 1)),
    ):
        node_scheduler = builders.a_scheduler(
            rules,
            builders.entry("e1"),
            retry_ratio=ratio,
            retry_slack=20.0 * ratio,
        )
        request = builders.admitted(node_scheduler)
        refusal = node_scheduler.may_retry(
            request, calls.Outcome.CUT, counts, 0.0
        )
        found.append(refusal.detail)
    assert found == [
        runs.RetryObstacle.AT_MOST_ONCE.value,
        runs.RetryObstacle.ATTEMPTS.value,
        runs.RetryObstacle.BUDGET.value,
    ]


def test_loads_of_peers_are_included():
    node_scheduler = builders.a_scheduler(
        None, builders.entry("e1"), builders.entry("e2")
    )
    reported = {"e1": loads.ReportedLoad(5, 0)}
    node_scheduler.loads.update_peer("n2", reported, 0.0)
    run = node_scheduler.choose(
        builders.admitted(node_scheduler), frozenset(), 0.0
    )
    assert run.member.endpoint_id == "e2"
    assert node_scheduler.loads.demand("s", 0.0).running == 6


# Guards against nodes that divide a rate by those they reach: each half of
# a partition gave a cold endpoint its whole rate.
def test_two_halves_together_keep_a_cold_endpoint_s_rate():
    rate_per_s, nodes = 20.0, 6
    schedulers = []
    for _ in range(nodes):
        node_scheduler = builders.a_scheduler(
            builders.a_document(cold_rate_per_s=rate_per_s),
            builders.entry("e1", cold_s=60.0),
        )
        node_scheduler.set_node_counts(nodes // 2, nodes, 0.0)
        schedulers.append(node_scheduler)
    sent_s = []
    for step in range(500):
        now_s = 1.0 + step * 0.01
        for number, node_scheduler in enumerate(schedulers):
            request = builders.admitted(
                node_scheduler, f"q{step}-{number}", now_s
            )
            run = node_scheduler.choose(request, frozenset(), now_s)
            if isinstance(run, runs.Run):
                sent_s.append(now_s)
                node_scheduler.evaluator.note_abandoned(run)
    most = max(
        sum(first <= one < first + 1.0 for one in sent_s) for first in sent_s
    )
    assert most <= 1.5 * rate_per_s + 5


def _sent_to_cold(nodes, seconds):
    """Return how many requests some nodes send a cold endpoint."""
    sent = 0
    for node in nodes:
        now_s = 0.0
        while now_s < seconds:
            request = builders.admitted(node, f"r{now_s}", now_s)
            run = node.choose(request, frozenset(), now_s)
            if not isinstance(run, runs.Refusal):
                sent += 1
                node.evaluator.note_abandoned(run)
            now_s += 0.01
    return sent


def _starting_nodes(count):
    config = builders.a_document(cold_rate_per_s=4.0)
    nodes = []
    for number in range(count):
        cold = builders.entry("e1", cold_s=60.0)
        node = builders.a_scheduler(config, cold, node_id=f"n{number}")
        node.begin(0.0)
        nodes.append(node)
    return nodes


# Guards against nodes that each send a cold endpoint the rate of all of
# them before they know of each other.
@pytest.mark.parametrize("is_joined", [False, True])
def test_starting_nodes_together_keep_a_cold_endpoint(is_joined):
    nodes = _starting_nodes(9)
    if is_joined:
        for node in nodes:
            node.join(0.0, True, 0.5)
    assert 1 <= _sent_to_cold(nodes, limits.JOINING_S) <= 4.0 * 1.5 + 5


def test_a_node_that_has_joined_sends_its_part():
    (node,) = _starting_nodes(1)
    node.join(0.0, False, 0.0)
    node.set_node_counts(2, 2, 0.0)
    assert _sent_to_cold([node], 2.0) == pytest.approx(4, abs=1)


# Guards against a node that, waiting for the store since its start, takes
# the slack of all nodes.
def test_a_node_that_never_joined_takes_little_of_the_slack():
    node = builders.a_scheduler()
    node.begin(0.0)
    request = builders.admitted(node, now_s=60.0)
    counts = runs.AttemptCounts()
    granted = sum(
        node.may_retry(request, calls.Outcome.FAILED, counts, 60.0) is None
        for _ in range(20)
    )
    assert granted <= 2
