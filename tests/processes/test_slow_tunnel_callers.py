"""Callers that read slowly what a node gets through a peer."""

import concurrent.futures
import dataclasses
import select
import socket
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

from . import callers
from . import crowd_callers
from ..gateway import slow_callers
from . import paths

pytestmark = pytest.mark.processes

ANSWER_BYTES = 12_000_000
"""More than the buffers of all systems on the way take."""
ALIVE_S = 6.0
"""More than it takes to find a caller that is gone."""
ENDED_WITHIN_S = 50.0
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def _configuration():
    timeout_ms = crowd_callers.TIMEOUT_MS
    route = gateways.route(
        "stream",
        "streaming",
        "registry",
        timeout_ms=timeout_ms,
        target_latency_ms=timeout_ms,
    )
    return gateways.configuration(
        routes=[route],
        services=[{"name": "registry", "max-connections": 64}],
    )


@dataclasses.dataclass
class _Way:
    """Where callers ask, and for how much."""

    node: gateways.Node
    answer_bytes: int = ANSWER_BYTES

    def connect(self, name, profile):
        """Return the socket of a caller that has sent its request."""
        host, port = self.node.callers.rsplit(":", 1)
        caller = socket.socket()
        if profile.buffer_bytes:
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, profile.buffer_bytes
            )
        caller.settimeout(crowd_callers.TIMEOUT_MS / 1000)
        caller.connect((host, int(port)))
        size = f"bytes={self.answer_bytes}&piece={profile.event_bytes}"
        path = f"/stream/x?{size}"
        caller.sendall(crowd_callers.request(name, path))
        return caller

    def call(self, name, profile):
        """Return a caller's answer."""
        with self.connect(name, profile) as caller:
            return slow_callers.read(caller, profile)


@pytest.fixture
def stranded(tmp_path):
    """Yield a node that gets all answers through another one."""
    with gateways.running(tmp_path) as system:
        system.start_store(_configuration())
        replicas = [
            system.start_replica(name, "registry", kind="long-endpoint")
            for name in ("e1", "e2")
        ]
        with paths.node_with_own_ways(system, "cut", replicas) as ways:
            system.start_node("carrier", zone="b")
            system.wait_ready()
            ways.cut()
            _wait_answered(ways.node)
            yield ways.node


def _wait_answered(node):
    """Wait until an ordinary request is answered."""
    name = f"ordinary-{time.monotonic_ns()}"
    local.wait_for(
        "an answer through the peer",
        lambda: callers.call_once(node, name, "/stream/x")[0] == 200,
    )


def _play(way, names):
    """Return the answers to callers that read at the same time, by name."""
    with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
        calls = {
            name: pool.submit(
                way.call, name, slow_callers.INCIDENT_PROFILES[name]
            )
            for name in names
        }
        return {name: call.result() for name, call in calls.items()}


# Guards against answers through a peer that are cut because their caller
# reads nothing for some seconds, or little at a time (issue 44).
def test_answers_reach_callers_that_read_slowly(stranded):
    answers = {
        size: _play(_Way(stranded, size), names)
        for size, names in (
            (ANSWER_BYTES, ["pause-1.5-s", "pause-3-s"]),
            (240_000, ["16-KiB-each-0.4-s"]),
            (2_000_000, ["64-KiB-each-0.25-s"]),
        )
    }
    wanted_events, events = {}, {}
    for size, named in answers.items():
        for name, answer in named.items():
            profile = slow_callers.INCIDENT_PROFILES[name]
            wanted_events[name] = -(-size // profile.event_bytes)
            whole = answer.endswith(b"\r\n0\r\n\r\n")
            events[name] = answer.count(b"data: ") if whole else "cut"
    assert events == wanted_events


def _lines(node, text):
    """Return the lines of a node's log that hold a text."""
    lines = node.log.read_text().splitlines()
    return [line for line in lines if text in line]


# Guards against a caller that holds an endpoint and a tunnel for ever, and
# against one that is taken for dead while it acknowledges.
def test_a_caller_that_never_reads_is_ended_as_too_slow(stranded):
    profile = slow_callers.Profile(60000)
    with _Way(stranded).connect("never", profile) as caller:
        poll = select.poll()
        poll.register(caller, ENDED)
        assert not poll.poll(ALIVE_S * 1000)
        assert poll.poll(ENDED_WITHIN_S * 1000)
    # The caller sees its end before the node has written the line.
    found = local.wait_for("a line", lambda: _lines(stranded, '"too slow"'))
    (line,) = found
    assert '"message_type":"caller"' in line
    _wait_answered(stranded)
