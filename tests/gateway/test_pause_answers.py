"""Endpoints that want no requests for a time."""

import pytest

from fireflypulley.core.gateway import loads
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import runs

from ..core.gateway import builders
from . import exchanges

PAUSED = [(b"x-request-id", b"q1"), (b"x-not-run", b"1"), (b"x-pause", b"5")]


def _paused(world):
    """Let the first endpoint of a request ask for a pause."""
    sent = world.begin()
    sent.listener.response_head(503, PAUSED)
    return sent.endpoint_id


def _choices(world, now_s, count=40):
    """Return the endpoints of some requests, "" for those refused."""
    chosen = set()
    for number in range(count):
        request = builders.admitted(world.scheduler, f"r{number}", now_s)
        run = world.scheduler.choose(request, frozenset(), now_s)
        if isinstance(run, runs.Refusal):
            chosen.add("")
        else:
            chosen.add(run.member.endpoint_id)
            world.scheduler.evaluator.note_abandoned(run)
    return chosen


# Guards against requests to an endpoint that has asked for peace.
def test_an_endpoint_gets_nothing_before_its_pause_has_ended():
    world = exchanges.World()
    paused = _paused(world)
    (other,) = {"e1", "e2"} - {paused}
    for now_s in (0.0, 0.5, 2.0, 4.9):
        assert _choices(world, now_s) == {other}
    assert paused in _choices(world, 5.1)


def test_the_request_itself_goes_elsewhere():
    world = exchanges.World()
    paused = _paused(world)
    assert world.sent[-1].endpoint_id != paused


def test_a_shorter_pause_does_not_end_a_longer_one():
    load = loads.EndpointLoad()
    load.pause(5.0, 0.0)
    load.pause(1.0, 0.0)
    assert load.paused_until_s == 5.0


@pytest.mark.parametrize("pause_s", [1e11, float("inf")])
def test_no_endpoint_is_shut_out_for_ever(pause_s):
    load = loads.EndpointLoad()
    load.pause(pause_s, 0.0)
    assert load.paused_until_s == loads.MAX_PAUSE_S


def test_if_all_pause_callers_return_spread_after_the_first_pause():
    world = exchanges.World()
    for member in world.scheduler.fleet:
        pause_s = 3.0 if member.endpoint_id == "e1" else 8.0
        world.scheduler.loads.of(member).pause(pause_s, 0.0)
    after_s = []
    for number in range(40):
        request = builders.admitted(world.scheduler, f"r{number}", 1.0)
        refusal = world.scheduler.choose(request, frozenset(), 1.0)
        after_s.append(refusal.retry_after_s)
    assert min(after_s) >= 2.0
    assert max(after_s) <= 2.0 + request_admission.RETRY_SOON_S
    assert len(set(after_s)) > 20


def test_a_pause_is_no_failure_of_the_endpoint():
    world = exchanges.World()
    paused = _paused(world)
    load = world.scheduler.loads.of(world.scheduler.fleet.get(paused))
    assert not load.failures
    assert not load.is_suspected(0.0)
