"""Placement under the load patterns that it is designed for."""

import collections

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import placement

from . import builders


def _candidates(waiting, running=None, domains="aabbccdd"):
    candidates = []
    for index, tokens in enumerate(waiting):
        member = fleet.Member(
            builders.entry(f"e{index}", domain=domains[index])
        )
        there = running[index] if running else 0
        candidates.append(placement.Candidate(member, there, tokens, False))
    return candidates


def _request(request_id="q", parts=()):
    facts = calls.RequestMetadata(request_id, prompt_tokens=1000, prefix=parts)
    return calls.AdmittedRequest(
        facts,
        builders.route(document.RouteKind.STREAM),
        document.Service("s", "/", 10, engine=document.Engine(64, 10**6)),
        None,
        "f",
        0.0,
        10.0,
    )


def _session(name, shared=5000):
    return (
        calls.PromptPart("system", 500),
        calls.PromptPart(name, shared),
        calls.PromptPart(f"{name}-own", 800),
    )


def test_a_session_stays_at_one_endpoint():
    policy = placement.PrefixAffinity()
    chosen = {
        policy.choose(
            _candidates([0] * 8), _request(f"q{one}", _session("s1")), "a"
        ).endpoint_id
        for one in range(20)
    }
    assert len(chosen) == 1


def test_a_busy_prefix_owner_is_avoided_if_waiting_costs_more():
    policy = placement.PrefixAffinity()
    owner = policy.choose(
        _candidates([0] * 8), _request("q", _session("s1")), "a"
    )
    waiting = [0] * 8
    waiting[int(owner.endpoint_id[1:])] = 60_000
    other = policy.choose(
        _candidates(waiting), _request("q", _session("s1")), "a"
    )
    assert other.endpoint_id != owner.endpoint_id


def test_sessions_spread_over_all_endpoints():
    policy = placement.PrefixAffinity()
    counts = collections.Counter(
        policy.choose(
            _candidates([0] * 8), _request("q", _session(f"s{one}")), "a"
        ).endpoint_id
        for one in range(400)
    )
    assert len(counts) == 8
    assert max(counts.values()) < 2 * 400 / 8


def test_a_long_prompt_ahead_is_avoided_by_short_requests():
    """One endpoint reads 50,000 tokens; short requests avoid it."""
    policy = placement.PrefixAffinity()
    candidates = _candidates([50_000, 0, 0, 0, 0, 0, 0, 0])
    chosen = {
        policy.choose(candidates, _request(f"q{one}"), "a").endpoint_id
        for one in range(50)
    }
    assert "e0" not in chosen


def test_plain_requests_stay_in_their_domain_while_loads_are_equal():
    policy = placement.LeastLoaded()
    chosen = {
        policy.choose(
            _candidates([0] * 8), _request(f"q{one}"), "b"
        ).endpoint_id
        for one in range(20)
    }
    assert chosen <= {"e2", "e3"}


def test_plain_requests_go_to_the_least_loaded():
    policy = placement.LeastLoaded()
    running = [4, 4, 4, 4, 4, 0, 4, 4]
    chosen = policy.choose(_candidates([0] * 8, running), _request(), "a")
    assert chosen.endpoint_id == "e5"


def test_without_candidates_the_choice_is_none():
    assert placement.create(True).choose([], _request(), "a") is None
    assert placement.create(False).choose([], _request(), "a") is None
