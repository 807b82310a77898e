"""What the log says of how an answer ended."""

import pytest

from fireflypulley.core.gateway import answer_ends
from fireflypulley.gateway import decision_log

from . import exchanges


@pytest.fixture
def lines(monkeypatch):
    """The lines of requests that were logged."""
    found = []

    def note(kind, **fields):
        if kind == "request":
            found.append(fields)

    monkeypatch.setattr(decision_log, "note", note)
    return found


# Guards against a success of which no line says what told its end.
def test_the_line_of_a_request_says_how_its_answer_ended(lines):
    world = exchanges.World()
    listener = world.begin().listener
    listener.response_head(200, list(exchanges.SEALED))
    listener.response_data(b"ok")
    listener.response_end(
        answer_ends.AnswerEnd(answer_ends.Framing.CLOSE, 2, 3, 4)
    )
    (line,) = lines
    assert line["result"] == "answered"
    assert line["framing"] == "close"
    assert line["body_bytes"] == 2
    assert line["request_number"] == 3
    assert line["lost_beside"] == 4
