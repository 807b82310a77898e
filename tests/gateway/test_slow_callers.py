"""Callers that read slowly, over real sockets."""

import pytest

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import document
from fireflypulley.gateway import caller_connection

from . import slow_callers


# Guards against a caller that is cut because its window was closed for long.
@pytest.mark.parametrize(
    "profile",
    [
        slow_callers.Profile(60000, first_pause_s=1.5),
        slow_callers.Profile(60000, first_pause_s=3.0),
        slow_callers.Profile(60000, first_pause_s=4.0),
        slow_callers.Profile(
            6000, read_bytes=16384, read_interval_s=0.4, buffer_bytes=16384
        ),
        slow_callers.Profile(
            50000, read_bytes=65536, read_interval_s=0.25, buffer_bytes=65536
        ),
    ],
    ids=[
        "pause-1.5-s",
        "pause-3-s",
        "pause-4-s",
        "16-KiB-each-0.4-s",
        "64-KiB-each-0.25-s",
    ],
)
def test_an_answer_reaches_a_caller_that_reads_slowly(profile):
    answer = slow_callers.call(profile)
    assert answer.count(b"data: ") == slow_callers.EVENTS
    assert answer.endswith(b"\r\n0\r\n\r\n")


# Guards against a caller that never reads and holds its answer for ever.
def test_a_caller_that_never_reads_is_ended_as_too_slow():
    bounds = caller_ends.CallerBounds(stall_s=3.0)

    def build(node):
        return caller_connection.CallerConnection(node.reactor, node, bounds)

    profile = slow_callers.Profile(200000)
    with slow_callers.running(profile.event_bytes, build) as node:
        with slow_callers.connect(node, profile):
            slow_callers.wait_for(lambda: node.closed)
            (connection,) = node.closed
    assert connection.end_reason is caller_ends.CallerEnd.TOO_SLOW
    assert connection.unread_bytes > profile.event_bytes
    assert node.streams[0].left


# Guards against an idle timer that ends an answer that is still being read.
def test_a_caller_that_reads_on_after_the_idle_time_gets_all():
    profile = slow_callers.Profile(60000, first_pause_s=4.0)
    with slow_callers.running(profile.event_bytes) as node:
        node.limits = document.CallerLimits(2000, 100, 3.0, 1.0)
        with slow_callers.connect(node, profile) as caller:
            answer = slow_callers.read(caller, profile)
    assert answer.count(b"data: ") == slow_callers.EVENTS
