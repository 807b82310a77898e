"""The log says which run gave which events of a caller's stream."""

import gc
import weakref

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import decision_log

from . import exchanges


@pytest.fixture
def ends(monkeypatch):
    """Return the fields of the lines about requests that have ended."""
    noted = []

    def note(kind, **fields):
        if kind == "request":
            noted.append(fields)

    monkeypatch.setattr(decision_log, "note", note)
    return noted


def _events(*numbers):
    return b"".join(b"id: %d\ndata: x\n\n" % one for one in numbers)


def test_a_resumed_stream_names_the_runs_that_its_events_came_from(ends):
    world = exchanges.World(exchanges.STREAM, resumable=True)
    first = world.begin()
    first.listener.response_head(200, list(exchanges.SEALED))
    first.listener.response_data(b": ping\n\n" + _events(1, 2))
    first.listener.response_failed(calls.Outcome.CUT, "test")
    second = world.sent[-1]
    exchanges.answer(second, body=_events(3))
    (line,) = ends
    assert line["events_from"] == [
        {"endpoint": first.endpoint_id, "first": 1, "last": 2, "events": 2},
        {"endpoint": second.endpoint_id, "first": 3, "last": 3, "events": 1},
    ]
    assert "caller_has" not in line


def test_the_line_says_after_which_event_a_caller_asked_to_go_on(ends):
    has = [(b"last-event-id", b"4")]
    world = exchanges.World(exchanges.STREAM, has, resumable=True)
    sent = world.begin()
    exchanges.answer(sent, body=_events(5, 6))
    (line,) = ends
    assert line["caller_has"] == 4
    assert line["events_from"] == [
        {"endpoint": sent.endpoint_id, "first": 5, "last": 6, "events": 2}
    ]


def test_a_run_without_events_is_not_named_as_their_source(ends):
    world = exchanges.World(exchanges.STREAM, max_attempts=1)
    exchanges.answer(
        world.begin(),
        body=b"",
        headers=[*exchanges.SEALED, (b"transfer-encoding", b"chunked")],
    )
    (line,) = ends
    assert "events_from" not in line


# Guards against a node that keeps what it held of a failed attempt until the
# caller has read the whole answer of another one.
def test_the_record_keeps_nothing_of_a_part_but_its_numbers():
    world = exchanges.World(max_attempts=2)
    world.sink.is_taken_at_once = False
    first = world.begin().listener
    first.response_head(500, list(exchanges.SEALED))
    first.response_data(b"x" * 1000)
    part = weakref.ref(first.part)
    exchanges.answer(world.sent[-1], body=b"good")
    assert world.sink.state == "whole"
    world.sent[0].listener = first = None
    gc.collect()
    assert part() is None
