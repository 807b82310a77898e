"""Callers that read slowly, over real sockets."""

import socket
import struct
import time

import pytest

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import document

from . import slow_callers


# Guards against a caller that is cut because its window was closed for long.
PROFILES = slow_callers.INCIDENT_PROFILES | {
    "pause-4-s": slow_callers.Profile(60000, first_pause_s=4.0)
}


# Guards against a caller that is cut because its window was closed for long.
@pytest.mark.parametrize("profile", PROFILES.values(), ids=PROFILES)
def test_an_answer_reaches_a_caller_that_reads_slowly(profile):
    answer = slow_callers.call(profile)
    assert answer.count(b"data: ") == slow_callers.EVENTS
    assert answer.endswith(b"\r\n0\r\n\r\n")


# Guards against a caller that never reads and holds its answer for ever.
def test_a_caller_that_never_reads_is_ended_as_too_slow():
    bounds = caller_ends.CallerBounds(stall_s=3.0)
    profile = slow_callers.Profile(200000)
    with slow_callers.running(profile.event_bytes, bounds) as node:
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


# Guards against an answer called answered that its caller did not get.
def test_an_answer_is_delivered_once_its_caller_has_it():
    profile = slow_callers.Profile(1000)
    with slow_callers.running(profile.event_bytes) as node:
        with slow_callers.connect(node, profile) as caller:
            slow_callers.read(caller, profile)
            slow_callers.wait_for(lambda: node.streams[0].deliveries)
    assert node.streams[0].deliveries == [caller_ends.Delivery()]


@pytest.mark.parametrize("is_reset", [False, True])
def test_an_answer_that_its_caller_left_is_not_delivered(is_reset):
    profile = slow_callers.Profile(12000, buffer_bytes=16384)
    linger = struct.pack("ii", 1, 0)
    with slow_callers.running(profile.event_bytes) as node:
        with slow_callers.connect(node, profile) as caller:
            slow_callers.wait_for(
                lambda: (
                    node.streams
                    and node.streams[0].sent == slow_callers.EVENTS
                )
            )
            time.sleep(0.2)
            assert node.streams[0].deliveries == []
            if is_reset:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        slow_callers.wait_for(lambda: node.streams[0].deliveries)
    (delivery,) = node.streams[0].deliveries
    assert delivery.end is caller_ends.CallerEnd.LEFT
    assert delivery.unsent_bytes > profile.event_bytes
    assert not node.streams[0].left


# Guards against answers that hold their endpoints while callers read slowly.
def test_an_answer_within_the_bound_is_taken_in_whole():
    profile = slow_callers.Profile(4000, buffer_bytes=4096)
    with slow_callers.running(profile.event_bytes) as node:
        with slow_callers.connect(node, profile):
            time.sleep(
                slow_callers.EVENTS * slow_callers.EVENT_INTERVAL_S + 1.0
            )
            (stream,) = node.streams
            assert stream.sent == slow_callers.EVENTS
            assert not stream.paused


# Guards against a caller that pipelines, reads nothing and fills the memory.
def test_a_caller_that_pipelines_and_does_not_read_holds_one_answer():
    bounds = caller_ends.CallerBounds(stall_s=3.0)
    profile = slow_callers.Profile(250000)
    with slow_callers.running(profile.event_bytes, bounds) as node:
        with slow_callers.connect(node, profile) as caller:
            caller.sendall(slow_callers.REQUEST * 20)
            slow_callers.wait_for(lambda: node.closed)
    assert len(node.streams) == 1
    assert node.most_held_bytes <= bounds.held_bytes + profile.event_bytes


# Guards against a reset, by input that is not read, of an answer under way.
def test_an_answer_survives_what_its_caller_sends_after_the_last_request():
    profile = slow_callers.Profile(12000, buffer_bytes=16384)
    with slow_callers.running(profile.event_bytes) as node:
        node.is_stopping = True
        with slow_callers.connect(node, profile) as caller:
            slow_callers.wait_for(
                lambda: (
                    node.streams
                    and node.streams[0].sent == slow_callers.EVENTS
                )
            )
            time.sleep(0.3)
            caller.sendall(slow_callers.REQUEST)
            time.sleep(0.2)
            answer = slow_callers.read(caller, profile)
            slow_callers.wait_for(lambda: node.closed)
    assert answer.count(b"data: ") == slow_callers.EVENTS
    assert node.streams[0].deliveries == [caller_ends.Delivery()]
    assert len(node.streams) == 1
