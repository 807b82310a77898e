"""Streams of endpoints that fail in various ways."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import response_watchdog

from . import exchanges


@pytest.mark.parametrize("kind", [exchanges.AT_MOST_ONCE, exchanges.STREAM])
@pytest.mark.parametrize("outcome", list(calls.Outcome))
def test_what_may_have_run_is_sent_once_and_never_called_not_run(
    kind, outcome
):
    if outcome is calls.Outcome.COMPLETE:
        return
    world = exchanges.World(kind, max_attempts=1)
    sent = world.begin()
    sent.listener.response_failed(outcome, "test")
    if outcome.certainly_not_run:
        assert len(world.sent) == 2
        return
    assert len(world.sent) == 1
    assert world.sink.status not in exchanges.NOT_EXECUTED_STATUSES
    assert world.sink.status >= 500
    assert world.finished()


def _event(number):
    return b"id: %d\ndata: x\n\n" % number


def test_events_are_forwarded_as_they_arrive():
    world = exchanges.World(exchanges.STREAM)
    listener = world.begin().listener
    listener.response_head(200, list(exchanges.SEALED))
    assert world.sink.status is None
    listener.response_data(_event(1) + b"id: 2\nda")
    assert world.sink.body == _event(1)
    listener.response_data(b"ta: x\n\n")
    assert world.sink.body == _event(1) + _event(2)
    listener.response_end()
    assert world.sink.state == "whole"


def test_an_aborted_stream_looks_incomplete():
    world = exchanges.World(exchanges.STREAM)
    listener = world.begin().listener
    listener.response_head(200, list(exchanges.SEALED))
    listener.response_data(_event(1))
    listener.response_failed(calls.Outcome.CUT, "test")
    assert world.sink.state == "cut"
    assert world.finished()


def test_a_resumable_stream_goes_on_after_its_last_whole_event():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1) + _event(2) + b"id: 3\nda")
    first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    assert second.endpoint_id != first.endpoint_id
    assert second.headers[b"last-event-id"] == b"2"
    second.listener.response_head(
        200, [*exchanges.SEALED[:1], (b"x-seal", b"s2")]
    )
    second.listener.response_data(_event(3))
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2) + _event(3)
    assert (b"x-seal", b"s1") in world.sink.headers
    assert world.sink.state == "whole"


@pytest.mark.parametrize("number", [1, 2, 4])
def test_a_resumed_stream_with_a_gap_or_a_repeat_is_cut(number):
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1) + _event(2))
    first.listener.response_failed(calls.Outcome.CUT, "test")
    listener = world.sent[-1].listener
    listener.response_head(200, list(exchanges.SEALED))
    listener.response_data(_event(number))
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "cut"


def test_a_resumable_stream_leaves_an_endpoint_that_falls_silent_midway():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1))
    world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    ).note_activity(0.0)
    world.clock.advance(response_watchdog.STREAM_TIMEOUT_S + 0.01)
    second = world.sent[-1]
    assert second.endpoint_id != first.endpoint_id
    second.listener.response_head(200, list(exchanges.SEALED))
    second.listener.response_data(_event(2))
    assert first.aborted
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"


def test_a_resumable_stream_stays_while_its_endpoint_answers_others():
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    load = world.scheduler.loads.of(
        world.scheduler.fleet.get(first.endpoint_id)
    )
    for _ in range(20):
        world.clock.advance(0.2)
        load.note_activity(world.clock.seconds())
    assert not first.aborted


UNFRAMED = exchanges.SEALED
CHUNKED = [*exchanges.SEALED, (b"transfer-encoding", b"chunked")]
INSIDE_AN_EVENT = _event(1) + b"id: 2\nda"


# Guards against a stream that broke off inside an event and looks complete.
@pytest.mark.parametrize(
    ("headers", "data"),
    [
        (UNFRAMED, INSIDE_AN_EVENT),
        (CHUNKED, INSIDE_AN_EVENT),
        (UNFRAMED, b"id: 1"),
        (UNFRAMED, b""),
    ],
)
def test_a_stream_that_ends_inside_an_event_is_broken_off(headers, data):
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    exchanges.answer(world.begin(), body=data, headers=headers)
    assert (world.sink.state, world.sink.status) in {
        ("cut", 200),
        ("whole", 502),
    }
    assert b"da" not in world.sink.body[len(_event(1)) :]
    assert world.finished()
    assert world.scheduler.evaluator.outcomes[calls.Outcome.CUT] == 1


@pytest.mark.parametrize("data", [INSIDE_AN_EVENT, b"id: 1", b""])
def test_a_resumable_stream_goes_on_after_it_ended_inside_an_event(data):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    exchanges.answer(first, body=data, headers=UNFRAMED)
    second = world.sent[-1]
    assert second is not first
    listener = second.listener
    listener.response_head(200, list(UNFRAMED))
    for number in range(1 if data != INSIDE_AN_EVENT else 2, 4):
        listener.response_data(_event(number))
    listener.response_end()
    assert world.sink.body == _event(1) + _event(2) + _event(3)
    assert world.sink.state == "whole"


@pytest.mark.parametrize("headers", [UNFRAMED, CHUNKED])
def test_a_stream_that_ends_after_a_whole_event_is_complete(headers):
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    data = _event(1) + _event(2)
    exchanges.answer(world.begin(), body=data, headers=headers)
    assert (world.sink.body, world.sink.state) == (data, "whole")


def test_a_framed_stream_without_events_is_complete():
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    exchanges.answer(world.begin(), body=b"", headers=CHUNKED)
    assert (world.sink.status, world.sink.state) == (200, "whole")


COMMENTS = [b": ping\n\n", b"\n\n", b": ping\n\n: ping\r\n\r\n"]


# Guards against a stream that looks whole though it was broken off behind
# its comments: without a length, only events show that it has begun.
@pytest.mark.parametrize("comments", COMMENTS)
def test_a_stream_of_comments_without_a_length_is_broken_off(comments):
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    exchanges.answer(world.begin(), body=comments, headers=UNFRAMED)
    assert world.sink.state == "cut"
    assert world.scheduler.evaluator.outcomes[calls.Outcome.CUT] == 1


@pytest.mark.parametrize("comments", COMMENTS)
def test_a_resumable_stream_goes_on_after_it_ended_behind_comments(comments):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    exchanges.answer(first, body=comments, headers=UNFRAMED)
    second = world.sent[-1]
    assert second is not first
    data = _event(1) + _event(2)
    exchanges.answer(second, body=data, headers=UNFRAMED)
    assert world.sink.body == comments + data
    assert world.sink.state == "whole"


@pytest.mark.parametrize("comments", COMMENTS)
def test_a_framed_stream_of_comments_is_complete(comments):
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    exchanges.answer(world.begin(), body=comments, headers=CHUNKED)
    assert (world.sink.status, world.sink.state) == (200, "whole")


ODD_ANSWERS = {
    "error": (500, exchanges.SEALED, b"internal error\n\n"),
    "busy": (503, exchanges.SEALED, b"too busy\n\n"),
    "page": (
        200,
        [*exchanges.SEALED, (b"content-type", b"text/html")],
        b"<html>\n\n",
    ),
    "untyped": (200, exchanges.SEALED, b"error: out of memory\n\n"),
    "head": (
        200,
        [*exchanges.SEALED, (b"content-type", b"text/event-stream")],
        b"HTTP/1.1 500 Oops\nContent-Type: text/plain\n\nerror\n\n",
    ),
    "data": (
        200,
        [*exchanges.SEALED, (b"content-type", b"text/event-stream")],
        b"data: internal error\n\n",
    ),
}


# Guards against callers who find an error's text in the middle of their
# stream, or a stream that ends as if it were complete.
@pytest.mark.parametrize("answer", ODD_ANSWERS)
def test_an_error_after_a_stream_broke_off_is_no_part_of_it(answer):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    typed = [*exchanges.SEALED, (b"content-type", b"text/event-stream")]
    first = world.begin()
    first.listener.response_head(200, typed)
    first.listener.response_data(_event(1))
    first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    assert second is not first
    status, headers, body = ODD_ANSWERS[answer]
    second.listener.response_head(status, list(headers))
    if not second.aborted and not second.discarded:
        second.listener.response_data(body)
    if not second.aborted and not second.discarded:
        second.listener.response_end()
    assert world.sink.body == _event(1)
    assert world.sink.state == "cut"


@pytest.mark.parametrize("parameters", [b"", b"; charset=utf-8"])
def test_a_resumed_stream_may_name_its_type_with_parameters(parameters):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    kind = (b"content-type", b"text/event-stream")
    first.listener.response_head(200, [*exchanges.SEALED, kind])
    first.listener.response_data(_event(1))
    first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    kind = (b"content-type", b"Text/Event-Stream" + parameters)
    second.listener.response_head(200, [*exchanges.SEALED, kind])
    second.listener.response_data(b": ping\n\n" + _event(2))
    second.listener.response_end()
    assert world.sink.body == _event(1) + b": ping\n\n" + _event(2)
    assert world.sink.state == "whole"


def test_text_between_events_of_one_run_breaks_the_stream():
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    sent = world.begin()
    sent.listener.response_head(200, list(exchanges.SEALED))
    sent.listener.response_data(_event(1) + b"HTTP/1.1 500 Oops\n\n")
    assert world.sink.state == "cut"


# Guards against an event that is missing in a resumed stream, as it arrived
# together with one that broke the stream.
@pytest.mark.parametrize("bad", [_event(3), b"oops\n\n"])
def test_events_before_a_bad_one_reach_the_caller_once(bad):
    world = exchanges.World(exchanges.STREAM, resumable=True, max_attempts=2)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(_event(1) + bad)
    second = world.sent[-1]
    assert second is not first
    assert second.headers[b"last-event-id"] == b"1"
    second.listener.response_head(200, list(exchanges.SEALED))
    second.listener.response_data(_event(2))
    second.listener.response_end()
    assert world.sink.body == _event(1) + _event(2)
    assert world.sink.state == "whole"
