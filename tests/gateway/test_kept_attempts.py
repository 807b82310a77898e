"""Attempts that are kept until another endpoint has begun to answer."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import answer_part
from fireflypulley.gateway import response_watchdog

from ..core.gateway import builders
from . import exchanges

TARGET_S = 0.2
SILENCE_S = response_watchdog.STREAM_TIMEOUT_S + 0.05


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def _begin_stream(world):
    """Return the first connection, after one event."""
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1))
    return first


def _spend_budget(world):
    while world.scheduler.retry_budget.spend("s", 1, world.clock.seconds()):
        pass


def _remove(world, endpoint_id):
    entry = builders.entry(endpoint_id, leaving=True)
    world.scheduler.fleet.put(entry, 0.0)


def _other(world, first):
    return "e2" if first.endpoint_id == "e1" else "e1"


def _load(world, endpoint_id):
    member = world.scheduler.fleet.get(endpoint_id)
    return world.scheduler.loads.of(member)


def _lose_budget(world, first):
    _spend_budget(world)


def _lose_others(world, first):
    _remove(world, _other(world, first))


def _silence_others(world, first):
    _load(world, _other(world, first)).unanswered_since_s = -60.0


def _fill_others(world, first):
    _load(world, _other(world, first)).full_until_s = 60.0


def _cut_others(world, first):
    world.unreachable = {_other(world, first)}


def _send_unnumbered(world, first):
    world.exchange._relay._has_unnumbered = True


def _quarantine(world, first):
    fingerprint = world.exchange._incoming.fingerprint(None)
    for _ in range(4):
        world.scheduler.crash_tracker.crashed(fingerprint, 0.0)


def _stop_soon(world, first):
    world.scheduler.endpoint_filter.durations.observe("r", 60.0)
    world.stops_at_s = 7.5


OBSTACLES = {
    "no budget": _lose_budget,
    "no other endpoint": _lose_others,
    "others are silent": _silence_others,
    "others are full": _fill_others,
    "others take no connection": _cut_others,
    "events without ids": _send_unnumbered,
    "a quarantine": _quarantine,
    "the node stops": _stop_soon,
}


# Guards against streams that are cut after a silence, though their endpoint
# goes on, as no other attempt may follow (the users' record, case 1).
@pytest.mark.parametrize("obstacle", OBSTACLES)
def test_a_silent_stream_is_kept_while_no_other_may_follow(obstacle):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = _begin_stream(world)
    OBSTACLES[obstacle](world, first)
    world.clock.advance(SILENCE_S)
    world.clock.advance(SILENCE_S)
    assert not first.aborted
    first.listener.response_data(_event(2))
    first.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"
    assert world.finished()


# Guards against a retry that is spent although nothing can be sent.
@pytest.mark.parametrize(
    "obstacle",
    [
        "no other endpoint",
        "others are silent",
        "others are full",
        "others take no connection",
    ],
)
def test_a_silence_spends_no_retry_where_no_other_may_follow(obstacle):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = _begin_stream(world)
    OBSTACLES[obstacle](world, first)
    world.clock.advance(SILENCE_S)
    assert world.scheduler.retry_budget.spent("s", SILENCE_S) == 0
    assert not +world.scheduler.retry_policy.retried


@pytest.mark.parametrize("obstacle", ["others are full"])
def test_a_failure_spends_no_retry_where_no_other_may_follow(obstacle):
    world = exchanges.World(max_attempts=2)
    first = world.begin()
    OBSTACLES[obstacle](world, first)
    exchanges.answer(first, 500, b"oh")
    assert world.scheduler.retry_budget.spent("s", 0.0) == 0


def _fall_silent(rest=b"id: 2\nda", **fields):
    """Return a world, and its two connections after a silence.

    The first one sent ``rest`` after its first event.
    """
    world = exchanges.World(
        exchanges.STREAM, resumable=True, max_attempts=2, **fields
    )
    first = _begin_stream(world)
    if rest:
        first.listener.response_data(rest)
    world.clock.advance(SILENCE_S)
    assert len(world.sent) == 2
    assert not first.aborted
    return world, first, world.sent[-1]


# Guards against a caller who gets less than the endpoint sent that went on
# first, and against events of two runs in one answer.
def test_the_silent_stream_serves_if_it_goes_on_first():
    world, first, second = _fall_silent()
    second.listener.response_head(200, list(exchanges.SEALED))
    second.listener.response_data(b"id: 2\nother")
    first.listener.response_data(b"ta: x\n\n" + _event(3))
    assert second.aborted
    first.listener.response_end()
    assert world.sink.body == _event(1) + _event(2) + _event(3)
    assert world.sink.state == "whole"
    assert world.finished()


def test_another_stream_serves_if_it_goes_on_first():
    world, first, second = _fall_silent()
    assert second.headers[b"last-event-id"] == b"1"
    second.listener.response_head(200, list(exchanges.SEALED))
    assert not first.aborted
    second.listener.response_data(_event(2))
    assert first.aborted
    second.listener.response_data(_event(3))
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2) + _event(3)
    assert world.sink.state == "whole"
    assert world.finished()


def test_another_stream_may_end_without_a_further_event():
    world, first, second = _fall_silent(rest=b"")
    head = [*exchanges.SEALED, (b"transfer-encoding", b"chunked")]
    exchanges.answer(second, body=b"", headers=head)
    assert first.aborted
    assert (world.sink.body, world.sink.state) == (_event(1), "whole")
    assert world.finished()


# Guards against a stream that looks whole without an event of which the
# first run had sent a part.
def test_another_stream_does_not_end_one_whose_next_event_has_begun():
    world, first, second = _fall_silent()
    head = [*exchanges.SEALED, (b"transfer-encoding", b"chunked")]
    exchanges.answer(second, body=b"", headers=head)
    assert not first.aborted
    assert (world.sink.body, world.sink.state) == (_event(1), "open")
    first.listener.response_failed(calls.Outcome.CUT, "test")
    assert (world.sink.body, world.sink.state) == (_event(1), "cut")
    assert world.finished()


FAILURES = [
    outcome
    for outcome in calls.Outcome
    if outcome is not calls.Outcome.COMPLETE
]


# Guards against an answer that is lost with the attempt that was to save it.
@pytest.mark.parametrize("outcome", FAILURES)
def test_the_silent_stream_serves_if_the_other_attempt_fails(outcome):
    world, first, second = _fall_silent()
    second.listener.response_failed(outcome, "test")
    assert not first.aborted
    assert world.sink.state == "open"
    first.listener.response_data(b"ta: x\n\n")
    first.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"
    assert world.finished()


@pytest.mark.parametrize("outcome", FAILURES)
def test_the_other_stream_serves_if_the_silent_one_fails(outcome):
    world, first, second = _fall_silent()
    first.listener.response_failed(outcome, "test")
    assert not second.aborted
    exchanges.answer(second, body=_event(2))
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"
    assert world.finished()


# Guards against a caller who is told that its request may have run, and
# gets no further attempt, as an endpoint's late refusal counted as a run.
def test_a_late_refusal_is_no_run():
    world, first, second = _be_late()
    first.listener.response_failed(calls.Outcome.NOT_RUN, "test")
    second.listener.response_failed(calls.Outcome.NOT_RUN, "test")
    while world.sink.status is None:
        world.sent[-1].listener.response_failed(calls.Outcome.NOT_RUN, "t")
    assert world.sink.status == 503
    assert world.finished()


def test_a_caller_that_leaves_stops_both_attempts():
    world, first, second = _fall_silent()
    world.exchange.caller_left()
    assert first.aborted
    assert second.aborted
    assert world.finished()


@pytest.mark.parametrize("end", ["timed_out", "abort"])
def test_a_deadline_and_a_stop_end_both_attempts(end):
    world, first, second = _fall_silent()
    getattr(world.exchange, end)()
    assert first.aborted
    assert second.aborted
    assert world.sink.state == "cut"
    assert world.finished()


def _be_late():
    """Return a world, and its two connections as the first answer is late."""
    world = exchanges.World(target_latency_s=TARGET_S, max_attempts=2)
    first = world.begin()
    world.clock.advance(TARGET_S)
    assert len(world.sent) == 2
    assert not first.aborted
    return world, first, world.sent[-1]


# Guards against a late answer that is dropped for one that does not come.
@pytest.mark.parametrize("outcome", FAILURES)
def test_a_late_answer_serves_if_the_other_attempt_fails(outcome):
    world, first, second = _be_late()
    second.listener.response_failed(outcome, "test")
    exchanges.answer(first)
    assert (world.sink.status, world.sink.body) == (200, b"ok")
    assert world.finished()


def test_the_first_of_two_answers_serves():
    for chosen, other in ((0, 1), (1, 0)):
        world, *both = _be_late()
        exchanges.answer(both[chosen])
        assert both[other].aborted
        assert (world.sink.status, world.sink.body) == (200, b"ok")
        assert world.finished()


def test_a_failure_does_not_end_the_wait_for_a_late_answer():
    world, first, second = _be_late()
    exchanges.answer(second, 500, b"oh")
    assert not first.aborted
    exchanges.answer(first)
    assert (world.sink.status, world.sink.body) == (200, b"ok")
    assert world.finished()


# Guards against an endpoint's own answer that is replaced by ours, as no
# other attempt may follow it.
@pytest.mark.parametrize("obstacle", ["no budget", "others are full"])
def test_an_endpoints_failure_is_passed_on_if_no_other_may_follow(obstacle):
    world = exchanges.World(max_attempts=2)
    first = world.begin()
    OBSTACLES[obstacle](world, first)
    exchanges.answer(first, 500, b"oh")
    assert (world.sink.status, world.sink.body) == (500, b"oh")
    assert (b"x-seal", b"s1") in world.sink.headers
    assert world.finished()


def test_a_failure_without_end_is_not_kept():
    world = exchanges.World(max_attempts=2)
    first = world.begin()
    first.listener.response_head(500, list(exchanges.SEALED))
    assert len(world.sent) == 2
    first.listener.response_data(b"x" * (answer_part.MAX_HELD_BYTES + 1))
    assert first.aborted
    world.sent[-1].listener.response_failed(calls.Outcome.CUT, "test")
    assert world.sink.status == 502
    assert world.finished()


# Guards against streams that a stopping node cuts although a second attempt
# had a chance, and nothing else was left for their callers.
def test_a_broken_stream_goes_on_although_the_node_stops():
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = _begin_stream(world)
    _stop_soon(world, first)
    first.listener.response_failed(calls.Outcome.CUT, "test")
    assert len(world.sent) == 2
    exchanges.answer(world.sent[-1], body=_event(2))
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"


# Guards against a request with an effect that runs twice.
@pytest.mark.parametrize("kind", [exchanges.AT_MOST_ONCE, exchanges.STREAM])
def test_what_runs_at_most_once_is_sent_once(kind):
    world = exchanges.World(kind, max_attempts=2, target_latency_s=TARGET_S)
    first = world.begin()
    for _ in range(6):
        world.clock.advance(TARGET_S)
    assert world.sent == [first]
    assert not first.aborted


# Guards against a caller who waits until the deadline for a failure that was
# held and then cut off.
def test_a_held_failure_that_is_cut_is_not_waited_for():
    world = exchanges.World()
    first = world.begin()
    first.listener.response_head(500, list(exchanges.SEALED))
    first.listener.response_data(b"par")
    second = world.sent[-1]
    assert second is not first
    first.listener.response_failed(calls.Outcome.CUT, "closed")
    second.listener.response_failed(calls.Outcome.CUT, "reset")
    for other in world.sent[2:]:
        other.listener.response_failed(calls.Outcome.CUT, "reset")
    assert world.sink.status == 502
    assert world.finished()


# Guards against a sound attempt that is closed for a late one which then
# sends nothing that the caller can get.
@pytest.mark.parametrize("data", [b": p", b": ping\n\n", b"id: 2\nda"])
def test_a_late_stream_serves_only_once_it_sends_an_event(data):
    world, first, second = _fall_silent(rest=b"")
    second.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(data)
    assert not second.aborted
    second.listener.response_data(_event(2))
    assert first.aborted
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"
    assert world.finished()


@pytest.mark.parametrize("number", [1, 3, 4])
def test_a_late_stream_with_a_wrong_event_leaves_the_other_at_work(number):
    world, first, second = _fall_silent(rest=b"")
    second.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(number))
    assert first.aborted and not second.aborted
    second.listener.response_data(_event(2))
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"
    assert world.finished()


def test_a_late_stream_gives_what_it_held_back_with_its_event():
    world, first, second = _fall_silent(rest=b"")
    first.listener.response_data(b": ping\n\nid: 2\nda")
    second.listener.response_data(b": other\n\n")
    first.listener.response_data(b"ta: x\n\n")
    assert second.aborted
    first.listener.response_end()
    assert world.sink.body == _event(1) + b": ping\n\n" + _event(2)
    assert world.sink.state == "whole"
