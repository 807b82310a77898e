"""Callers that come back and ask for the events after their last one."""

import pytest

from fireflypulley.core.gateway import calls

from . import exchanges

HAS = 3
WRONG_FIRST_IDS = [1, 2, 3, 5, 6]


def _events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % one for one in numbers)


def _world(**fields):
    has = [(b"last-event-id", b"%d" % HAS)]
    options = {"resumable": True, "max_attempts": 2} | fields
    return exchanges.World(exchanges.STREAM, has, **options)


def _begin_answer(sent, data):
    sent.listener.response_head(200, list(exchanges.SEALED))
    sent.listener.response_data(data)


# Guards against event numbers that go back, or skip some, in an answer that
# looks whole: the first event was compared with no other.
@pytest.mark.parametrize("number", WRONG_FIRST_IDS)
def test_a_run_that_does_not_go_on_after_the_callers_event_is_no_answer(
    number,
):
    world = _world()
    first = world.begin()
    _begin_answer(first, _events(number))
    assert first.aborted
    assert world.sink.body == b""
    second = world.sent[-1]
    assert second.endpoint_id != first.endpoint_id
    exchanges.answer(second, body=_events(4, 5))
    assert (world.sink.status, world.sink.state) == (200, "whole")
    assert world.sink.body == _events(4, 5)
    assert world.finished()


@pytest.mark.parametrize("number", WRONG_FIRST_IDS)
def test_a_caller_whose_runs_all_go_on_wrongly_gets_no_event(number):
    world = _world()
    _begin_answer(world.begin(), _events(number))
    _begin_answer(world.sent[-1], _events(number))
    assert world.sink.status == 502
    assert world.sink.body == b""
    assert len(world.sent) == 2
    assert world.scheduler.evaluator.outcomes[calls.Outcome.UNRELATED] == 2


# Guards against endpoints that are suspected, and versions that are taken
# back, for a number that a caller has made up.
def test_a_callers_wrong_number_is_no_evidence_against_an_endpoint():
    world = _world()
    observed = []
    world.scheduler.rollouts.observe = lambda *found: observed.append(found)
    first = world.begin()
    _begin_answer(first, _events(1))
    _begin_answer(world.sent[-1], _events(1))
    loads = [
        world.scheduler.loads.of(member) for member in world.scheduler.fleet
    ]
    assert [load.failures for load in loads] == [0, 0]
    assert not any(load.is_unreachable for load in loads)
    assert not observed


# Guards against an endpoint that is asked again and again, and spends the
# retries of all, although another one has shown that it goes on wrongly.
def test_an_endpoint_is_to_blame_once_another_one_has_gone_on():
    world = _world()
    observed = []
    world.scheduler.rollouts.observe = lambda *found: observed.append(found)
    first = world.begin()
    _begin_answer(first, _events(1))
    exchanges.answer(world.sent[-1], body=_events(4))
    member = world.scheduler.fleet.get(first.endpoint_id)
    assert world.scheduler.loads.of(member).failures == 1
    assert not world.scheduler.loads.of(member).is_unreachable
    assert [found[3] for found in observed] == [True, False]


# Guards against a number 0 that passes for none.
@pytest.mark.parametrize("number", [0, 2])
def test_a_caller_that_has_event_0_gets_event_1_next(number):
    has = [(b"last-event-id", b"0")]
    world = exchanges.World(
        exchanges.STREAM, has, resumable=True, max_attempts=2
    )
    _begin_answer(world.begin(), _events(number))
    exchanges.answer(world.sent[-1], body=_events(1))
    assert (world.sink.body, world.sink.state) == (_events(1), "whole")


def test_event_0_is_followed_by_no_other_than_event_1():
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    _begin_answer(world.begin(), _events(0) + _events(5))
    assert (world.sink.body, world.sink.state) == (_events(0), "cut")


def test_an_event_without_an_id_does_not_follow_the_callers_event():
    world = _world(max_attempts=1)
    _begin_answer(world.begin(), b"data: x\n\n")
    assert world.sink.status == 502


def test_comments_before_the_first_event_are_passed_on():
    world = _world()
    exchanges.answer(world.begin(), body=b": ping\n\n" + _events(4))
    assert world.sink.body == b": ping\n\n" + _events(4)
    assert world.sink.state == "whole"


def test_a_run_that_goes_on_is_followed_by_one_after_its_last_event():
    world = _world()
    first = world.begin()
    _begin_answer(first, _events(4, 5))
    first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    assert second.headers[b"last-event-id"] == b"5"
    exchanges.answer(second, body=_events(6))
    assert world.sink.body == _events(4, 5, 6)
    assert world.sink.state == "whole"


def test_a_run_without_events_is_whole_for_a_caller_that_has_all():
    world = _world()
    chunked = (b"transfer-encoding", b"chunked")
    exchanges.answer(
        world.begin(), body=b"", headers=[*exchanges.SEALED, chunked]
    )
    assert (world.sink.status, world.sink.state) == (200, "whole")


def test_a_route_that_may_not_go_on_begins_with_any_event():
    world = _world(resumable=False, max_attempts=1)
    exchanges.answer(world.begin(), body=_events(1, 2))
    assert world.sink.body == _events(1, 2)
    assert world.sink.state == "whole"


def test_an_endpoint_is_asked_to_go_on_in_the_callers_words():
    world = exchanges.World(
        exchanges.STREAM, [(b"last-event-id", b"003")], resumable=True
    )
    assert world.begin().headers[b"last-event-id"] == b"003"


# Guards against an answer with the seal of a run that gave none of it.
@pytest.mark.parametrize("data", [b": ping\n\n", b": ping\n\n" + _events(1)])
def test_no_run_begins_the_answer_before_it_has_gone_on(data):
    world = _world()
    first = world.begin()
    _begin_answer(first, data)
    assert world.sink.status is None
    if not first.aborted:
        first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    seal = (b"x-seal", b"s2")
    exchanges.answer(
        second, body=_events(4), headers=[exchanges.SEALED[0], seal]
    )
    assert seal in world.sink.headers
    assert (world.sink.body, world.sink.state) == (_events(4), "whole")
