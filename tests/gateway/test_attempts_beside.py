"""Several attempts of a request that are under way beside each other."""

import pytest
from twisted.internet import defer

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import answer_part
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import response_watchdog

from ..core.gateway import builders
from . import exchanges

TARGET_S = 0.2
SILENCE_S = response_watchdog.STREAM_TIMEOUT_S + 0.05
OF_A = [(b"x-request-id", b"q1"), (b"x-seal", b"a")]
OF_B = [(b"x-request-id", b"q1"), (b"x-seal", b"b")]


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def _add(world, *endpoint_ids):
    for endpoint_id in endpoint_ids:
        world.scheduler.fleet.put(builders.entry(endpoint_id), 0.0)


def _pass(world, for_s):
    for _ in range(round(for_s / 0.05)):
        world.clock.advance(0.05)


def _stream(max_attempts=2, events=1):
    """Return a world, and its connections after a silence."""
    world = exchanges.World(
        exchanges.STREAM, resumable=True, max_attempts=max_attempts
    )
    _add(world, "e3")
    first = world.begin()
    if events:
        first.listener.response_head(200, list(OF_A))
        first.listener.response_data(_event(1))
    world.clock.advance(SILENCE_S)
    assert len(world.sent) == 2
    return world, first, world.sent[-1]


def _plain(max_attempts=2):
    """Return a world, and its connections as the first one is late."""
    world = exchanges.World(
        target_latency_s=TARGET_S, max_attempts=max_attempts
    )
    _add(world, "e3")
    first = world.begin()
    world.clock.advance(TARGET_S)
    assert len(world.sent) == 2
    return world, first, world.sent[-1]


# Guards against a sound endpoint that is never asked, as two others are late.
@pytest.mark.parametrize("begin", [_stream, _plain])
def test_a_third_endpoint_is_asked_if_two_are_late(begin):
    world, *_ = begin(max_attempts=3)
    _pass(world, 3.0)
    assert len(world.sent) == 3
    exchanges.answer(world.sent[-1], body=_event(2))
    assert world.sink.state == "whole"
    assert [one.aborted for one in world.sent] == [True, True, False]
    assert world.finished()


@pytest.mark.parametrize("is_whole", [True, False])
def test_a_third_endpoint_is_asked_after_a_failure_and_a_late_one(is_whole):
    world = exchanges.World(target_latency_s=TARGET_S, max_attempts=3)
    _add(world, "e3")
    first = world.begin()
    first.listener.response_head(500, list(OF_A))
    if is_whole:
        first.listener.response_end()
    _pass(world, 1.5)
    assert len(world.sent) == 3


# Guards against a sound stream that is taken for garbage, as another one
# sent the next event and broke off.
def test_an_event_before_garbage_decides_who_serves():
    world, first, second = _stream()
    second.listener.response_head(200, list(OF_B))
    second.listener.response_data(_event(2) + _event(9))
    assert first.aborted
    assert world.sink.body == _event(1) + _event(2)
    assert world.scheduler.evaluator.outcomes[calls.Outcome.GARBAGE] == 1


# Guards against events without ids of two runs in one answer.
def test_events_without_ids_are_of_one_run():
    world, first, second = _stream(events=0)
    second.listener.response_head(200, list(OF_B))
    second.listener.response_data(b"data: b\n\n" + b":\n\n" * 1100)
    assert first.aborted
    assert world.sink.state == "cut"


# Guards against the head of one run above the events of another.
def test_a_comment_does_not_decide_whose_head_is_sent():
    world, first, second = _stream(events=0)
    second.listener.response_head(200, list(OF_B))
    second.listener.response_data(b": hello\n\n")
    assert world.sink.status is None
    first.listener.response_head(200, list(OF_A))
    first.listener.response_data(_event(0))
    first.listener.response_end()
    assert (b"x-seal", b"a") in world.sink.headers
    assert (b"x-seal", b"b") not in world.sink.headers
    assert (world.sink.body, world.sink.state) == (_event(0), "whole")


# Guards against connections and bytes that outlast their request.
@pytest.mark.parametrize("end", ["timed_out", "abort", "caller_left"])
@pytest.mark.parametrize("is_alone", [True, False])
def test_a_failure_that_is_held_is_closed_at_the_end(end, is_alone):
    world = exchanges.World(max_attempts=2)
    first = world.begin()
    first.listener.response_head(500, list(OF_A))
    if is_alone:
        world.sent[-1].listener.response_failed(calls.Outcome.CUT, "test")
    getattr(world.exchange, end)()
    assert len(world.done) == 1
    assert first.aborted
    first.listener.response_data(b"x" * (answer_part.MAX_HELD_BYTES + 1))
    held_bytes = world.exchange._relay._part.held_bytes
    assert held_bytes <= answer_part.MAX_HELD_BYTES


# Guards against a caller who does not read and counts as a silent endpoint.
def test_an_endpoint_is_not_silent_while_its_caller_does_not_read():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(OF_A))
    first.listener.response_data(_event(1))
    world.exchange.pause()
    _pass(world, 3.0)
    assert world.sent == [first]


# Guards against two streams that both work on while their caller reads
# nothing.
def test_of_several_attempts_none_is_paused_until_one_has_begun(monkeypatch):
    paused = []
    monkeypatch.setattr(
        exchanges.Connection, "pause", lambda one: paused.append(one)
    )
    world, first, second = _stream()
    world.exchange.pause()
    assert not paused
    second.listener.response_head(200, list(OF_B))
    second.listener.response_data(_event(2))
    assert first.aborted
    assert paused == [second]


# Guards against a retry that is lost with a connection that came too late.
def test_a_late_connection_is_kept_and_its_retry_given_back():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(OF_A))
    world.slow_connect = connecting = defer.Deferred()
    world.clock.advance(SILENCE_S)
    first.listener.response_data(_event(1))
    assert world.scheduler.retry_budget.spent("s", SILENCE_S) == 0
    connecting.callback(late := exchanges.Connection("late"))
    assert late.listener is None
    assert any(late in pool.released for pool in world.pools.values())
    first.listener.response_end()
    assert world.finished()


# Guards against a late answer that is dropped for one that breaks off.
def test_a_late_answer_is_kept_until_the_other_is_whole():
    world, first, second = _plain()
    second.listener.response_head(200, list(OF_B))
    second.listener.response_data(b"o")
    second.listener.response_failed(calls.Outcome.CUT, "test")
    exchanges.answer(first)
    assert (world.sink.status, world.sink.body) == (200, b"ok")
    assert world.finished()


# Guards against an endpoint's failure that is lost as a late answer never
# comes.
@pytest.mark.parametrize("end", ["cut", "deadline"])
def test_a_failure_beside_a_late_answer_is_passed_on(end):
    world, first, second = _plain()
    exchanges.answer(second, 500, b"oh")
    if end == "cut":
        first.listener.response_failed(calls.Outcome.CUT, "test")
    else:
        world.clock.advance(60.0)
    assert (world.sink.status, world.sink.body) == (500, b"oh")
    assert world.finished()


# Guards against a caller who gets our failure, as both endpoints' failed.
def test_the_second_failure_is_passed_on_if_both_fail():
    world = exchanges.World(max_attempts=2)
    first = world.begin()
    other = "e2" if first.endpoint_id == "e1" else "e1"
    world.scheduler.fleet.put(builders.entry(other, leaving=True), 0.0)
    exchanges.answer(first, 500, b"oh")
    exchanges.answer(world.sent[-1], 500, b"again")
    assert (world.sink.status, world.sink.body) == (500, b"again")
    assert world.finished()


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that are logged."""
    found = []
    monkeypatch.setattr(
        decision_log,
        "note",
        lambda kind, **fields: found.append({"kind": kind} | fields),
    )
    return found


# Guards against traces that blame an endpoint that did not answer.
def test_the_last_line_names_the_endpoint_that_answered(lines):
    world, first, _ = _plain()
    exchanges.answer(first)
    assert lines[-1]["kind"] == "request"
    assert lines[-1]["endpoint"] == first.endpoint_id
    assert [line["next"] for line in lines[:-1]] == ["beside"]


def test_a_failures_line_tells_what_follows(lines):
    world = exchanges.World(max_attempts=2)
    exchanges.answer(world.begin(), 500, b"oh")
    assert lines[-1]["next"] == "again"


# Guards against streams that all look silent after this node stood still.
def test_what_has_arrived_while_the_node_stood_still_counts():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    load = world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    )
    check = world.exchange._attempts.current._watchdog._check
    world.clock.rightNow += SILENCE_S
    check()
    load.note_activity(world.clock.seconds())
    world.clock.advance(0.0)
    assert world.sent == [first]


def test_a_late_attempt_asks_less_and_less_often():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    world.begin()
    full = runs.Refusal(calls.RefusalReason.ENDPOINTS_FULL)
    asked = []
    world.scheduler.choose_beside = lambda *_: asked.append(1) or full
    _pass(world, 10.0)
    assert 10 <= len(asked) <= 20
