"""What may follow a part of an answer that the caller already has."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import answer_part

from . import exchanges

IDEMPOTENT = {"kind": document.RouteKind.IDEMPOTENT}
RESUMABLE = {"kind": exchanges.STREAM, "resumable": True}
NUMBERED = b"id: 1\ndata: x\n\n"
UNNUMBERED = b"data: x\n\n"
LARGE = b"x" * (answer_part.MAX_HELD_BYTES + 1)
PARTS = {
    "nothing": (IDEMPOTENT, b"", True),
    "a part that is held": (IDEMPOTENT, b"part", True),
    "a part that was sent": (IDEMPOTENT, LARGE, False),
    "no event": (RESUMABLE, b"data", True),
    "a comment": (RESUMABLE, b": x\n\n", True),
    "an event": (RESUMABLE, NUMBERED, True),
    "an event without an id": (RESUMABLE, UNNUMBERED, False),
}
"""Route, what its endpoint sent, and whether another answer may follow."""


def _end_by_failure(outcome):
    return lambda world, sent: sent.listener.response_failed(outcome, "test")


def _end_by_error(world, sent):
    world.exchange._attempts.current.fail("test")


ENDS = {
    "cut": _end_by_failure(calls.Outcome.CUT),
    "garbage": _end_by_failure(calls.Outcome.GARBAGE),
    "an internal error": _end_by_error,
}


# Guards against parts of two runs in one complete answer (review/1).
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", PARTS)
def test_only_a_numbered_stream_goes_on_after_a_part(part, end):
    fields, data, may_follow = PARTS[part]
    world = exchanges.World(**fields, max_attempts=2)
    sent = world.begin()
    sent.listener.response_head(200, list(exchanges.SEALED))
    if data:
        sent.listener.response_data(data)
    ENDS[end](world, sent)
    assert len(world.sent) == (2 if may_follow else 1)
    if not may_follow:
        assert world.sink.state == "cut"
        assert world.finished()


@pytest.mark.parametrize("part", PARTS)
def test_only_a_numbered_stream_goes_on_elsewhere_after_a_silence(part):
    fields, data, may_follow = PARTS[part]
    world = exchanges.World(**fields, max_attempts=2)
    sent = world.begin()
    sent.listener.response_head(200, list(exchanges.SEALED))
    if data:
        sent.listener.response_data(data)
    attempts = world.exchange._attempts
    attempts.attempt_late(attempts.current, calls.Outcome.SILENT)
    assert len(world.sent) == (2 if may_follow else 1)
    assert not sent.aborted
    rest = NUMBERED.replace(b"1", b"2") if data.startswith(b"id") else b""
    rest = b": x\n\n" if data == b"data" else rest
    # Without an event a stream that only a close ends is a cut.
    rest = NUMBERED if data.startswith(b":") else rest
    if rest:
        sent.listener.response_data(rest)
    sent.listener.response_end()
    if fields is RESUMABLE and not data:
        return
    assert world.sink.body == data + rest
    assert world.sink.state == "whole"
    assert world.finished()


@pytest.mark.parametrize("part", PARTS)
def test_a_part_is_cut_at_the_deadline_and_at_a_stop(part):
    fields, data, _ = PARTS[part]
    for end in ("timed_out", "abort"):
        world = exchanges.World(**fields, max_attempts=2)
        sent = world.begin()
        sent.listener.response_head(200, list(exchanges.SEALED))
        if data:
            sent.listener.response_data(data)
        had_head = world.sink.status is not None
        getattr(world.exchange, end)()
        assert len(world.sent) == 1
        assert world.sink.state == ("cut" if had_head else "whole")
        if not had_head:
            assert world.sink.status >= 500
            assert world.sink.status != 503
