"""Crowds of clients that do not behave, at real nodes.

A test judges what does not depend on the machine's speed: that each node
lives, stays within ``memory-mb`` and ``max-fds`` of its settings, and
answers an ordinary request afterwards.  A node at rest has some 54 MB.
"""

import contextlib
import http.client
import socket
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

from . import callers
from . import crowd_callers
from . import crowd_watch
from . import paths

pytestmark = pytest.mark.crowds

LITTLE_MEMORY = {"memory-mb": 110, "max-fds": 4100}
FEW_DESCRIPTORS = {"memory-mb": 300, "max-fds": 400}
GATHER_S = 12.0
"""A crowd that is not served by then is held as it is."""
HOLD_S = 4.0
SLOTS = 4000
ENDPOINTS = 2
LONG = 2_000_000
SLOW_READ_BYTES = 8192
SLOW_PAUSE_S = 0.1
CALLERS_LIMITS = {
    "max-header-bytes": 32 << 10,
    "max-body-bytes": 1 << 20,
    "header-timeout-ms": 60_000,
    "idle-timeout-ms": 60_000,
}


def _route(name, kind, service, **fields):
    return gateways.route(
        name,
        kind,
        service,
        timeout_ms=crowd_callers.TIMEOUT_MS,
        target_latency_ms=crowd_callers.TIMEOUT_MS,
        **fields,
    )


def _configuration():
    return gateways.configuration(
        routes=[
            _route("stream", "streaming", "registry"),
            _route("fetch", "idempotent", "registry", max_attempts=2),
        ],
        services=[{"name": "registry", "max-connections": SLOTS}],
        limits=CALLERS_LIMITS,
    )


@pytest.fixture
def system(tmp_path):
    """Yield endpoints with room for all; a test starts its nodes."""
    with gateways.running(tmp_path) as running:
        running.start_store(_configuration())
        for number in range(ENDPOINTS):
            running.start_replica(
                f"e{number}", "registry", kind="long-endpoint", slots=SLOTS
            )
        yield running


def _wait_answered(node):
    """Wait until an ordinary request is answered whole."""
    name = f"ordinary-{node.name}-{time.monotonic_ns()}"
    whole = (200, f"answer to {name}".encode())
    local.wait_for(
        f"an answer of {node.name}",
        lambda: callers.call_once(node, name, "/fetch/x") == whole,
    )


def _judge(watches):
    """Fail if a node went beyond its settings or answers no more."""
    for watch in watches:
        watch.sample()
        print(watch)
    problems = [line for one in watches for line in one.problems()]
    for watch in watches:
        if watch.node.alive:
            _wait_answered(watch.node)
    assert not problems


def _play_at(node, watches, manner, count, hold_s=HOLD_S):
    """Play a crowd to a node, and judge the watched nodes."""

    def sample():
        for watch in watches:
            watch.sample()

    crowd = crowd_callers.Crowd(node, manner, count, sample)
    started_s = time.monotonic()
    try:
        crowd.gather(GATHER_S)
        gathered_s = time.monotonic() - started_s
        crowd.hold(hold_s)
    finally:
        crowd.close()
    print(
        f"{crowd.arrived} arrived, settled {crowd.is_settled}"
        f" after {gathered_s:.1f} s: {dict(crowd.statuses)}"
    )
    _judge(watches)


def _play(system, manner, count, limits=LITTLE_MEMORY, hold_s=HOLD_S):
    """Play a crowd to one node."""
    node = system.start_node("node", limits=limits)
    system.wait_ready()
    _play_at(node, [crowd_watch.Watch(node, limits)], manner, count, hold_s)


def _ask(node, name, path, body=b"3", pause_s=0.0):
    """Return the status and the length of an answer read whole."""
    fields = gateways.caller_headers(name, "key-court", 60_000)
    connection = http.client.HTTPConnection(node.callers, timeout=30)
    try:
        connection.request("POST", path, body, fields)
        reply = connection.getresponse()
        length = 0
        while piece := reply.read(SLOW_READ_BYTES):
            length += len(piece)
            time.sleep(pause_s)
        return reply.status, length
    finally:
        connection.close()


def _asks_for(path):
    return lambda number: crowd_callers.request(number, path)


def _slow_readers(framing):
    path = f"/fetch/x?bytes={LONG}&framing={framing}"
    return crowd_callers.Manner(_asks_for(path), reads=True)


# Guards against nodes that run out of memory as many callers read long
# answers slowly: answers in chunks, with a length, and without one.
@pytest.mark.parametrize("framing", ["chunks", "length", "none"])
def test_slow_readers_of_long_answers(system, framing):
    _play(system, _slow_readers(framing), 600)


# Guards against a node that runs out of memory as it gets the answers for
# its slow callers from a peer, and against a peer that does as it carries.
def test_slow_readers_of_long_answers_through_a_peer(system):
    replicas = list(system.replicas.values())
    options = {"limits": LITTLE_MEMORY}
    with paths.node_with_own_ways(system, "cut", replicas, **options) as ways:
        system.start_node("carrier", zone="b", limits=LITTLE_MEMORY)
        system.wait_ready()
        ways.cut()
        _wait_answered(ways.node)
        watches = [
            crowd_watch.Watch(node, LITTLE_MEMORY) for node in system.nodes
        ]
        _play_at(ways.node, watches, _slow_readers("length"), 300)


# Guards against nodes that hold the bodies of all uploads without a bound:
# uploads inside the callers' limits that stop before their end.
def test_uploads_that_stop_before_their_end(system):
    def opening(number):
        length = "Content-Length: 1000000"
        return crowd_callers.head(number, "POST", "/fetch/x", length)

    manner = crowd_callers.Manner(
        opening, body=b"x" * 990_000, waits_for_answer=False
    )
    _play(system, manner, 150)


# Guards against nodes for which a byte of an upload costs many: chunks of
# one byte, and no end.
def test_uploads_in_chunks_of_a_byte(system):
    def opening(number):
        coding = "Transfer-Encoding: chunked"
        return crowd_callers.head(number, "POST", "/fetch/x", coding)

    manner = crowd_callers.Manner(
        opening,
        body=b"1\r\nx\r\n" * 10_000,
        drip=b"1\r\nx\r\n" * 1000,
        waits_for_answer=False,
    )
    _play(system, manner, 120)


# Guards against nodes that run out of memory by heads without an end.
def test_heads_that_never_end(system):
    def opening(number):
        return crowd_callers.head(number, "POST", "/fetch/x")[:-2]

    manner = crowd_callers.Manner(
        opening, body=b"Field: " + b"x" * 20_000, waits_for_answer=False
    )
    _play(system, manner, 2500)


# Guards against nodes that heads sent a byte at a time keep from their work.
def test_heads_a_byte_at_a_time(system):
    head = crowd_callers.head(0, "POST", "/fetch/x", "Field: " + "x" * 1000)
    manner = crowd_callers.Manner(
        lambda number: head[:1], drip=head[1:], waits_for_answer=False
    )
    _play(system, manner, 600)


# Guards against nodes that run out of descriptors: connections on which
# nothing is said.
def test_silent_connections_beyond_the_descriptors(system):
    manner = crowd_callers.Manner(lambda number: b"", waits_for_answer=False)
    _play(system, manner, 600, limits=FEW_DESCRIPTORS)


# Guards against nodes that run out of descriptors: each caller has its own
# connection to an endpoint besides.
def test_long_answers_beyond_the_descriptors(system):
    _play(system, _slow_readers("length"), 350, limits=FEW_DESCRIPTORS)


# Guards against nodes that run out of memory by header fields, each of
# which costs more than its bytes, held as long as the answer.
def test_header_fields_by_the_thousand(system):
    fields = [f"h{number}: 1" for number in range(1300)]

    def opening(number):
        path = f"/fetch/x?bytes={LONG}"
        return crowd_callers.request(number, path, *fields)

    _play(system, crowd_callers.Manner(opening), 300)


# Guards against nodes that hold what streams send to callers that never
# read.
def test_streams_that_nobody_reads(system):
    path = f"/stream/x?bytes={10 * LONG}"
    _play(system, crowd_callers.Manner(_asks_for(path)), 600)


# Guards against nodes that hold answers for callers that have closed their
# side, or count these as gone and keep their connections.
def test_callers_that_half_close(system):
    path = f"/fetch/x?bytes={LONG}&framing=chunks"
    manner = crowd_callers.Manner(
        _asks_for(path), reads=True, half_closes=True
    )
    _play(system, manner, 400)


# Guards against nodes that hold the answers to all requests of a connection
# on which none is read.
def test_pipelined_requests_with_unread_answers(system):
    def opening(number):
        path = "/fetch/x?bytes=200000"
        requests = (
            crowd_callers.request(f"{number}-{turn}", path)
            for turn in range(20)
        )
        return b"".join(requests)

    _play(system, crowd_callers.Manner(opening), 600)


# Guards against nodes that keep something of each caller that gave up.
def test_callers_that_give_up_and_come_again(system):
    path = f"/fetch/x?bytes={LONG}&framing=chunks"
    manner = crowd_callers.Manner(_asks_for(path), comes_again=True)
    _play(system, manner, 100, hold_s=6.0)


REMEMBERED = 20_000
PATH_BYTES = 200
CONNECTIONS = 40
BATCH = 50


def _send_distinct_requests(connection, first):
    """Send a batch of requests, one behind the other."""
    padding = "x" * PATH_BYTES
    for number in range(first, first + BATCH):
        name = f"{number}-{padding}"
        connection.sendall(crowd_callers.request(name, f"/fetch/{name}"))


def _read_answer(reader):
    """Read an answer with a length."""
    length = 0
    for line in iter(reader.readline, b"\r\n"):
        if not line:
            raise ConnectionError("closed before the end of an answer")
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    reader.read(length)


# Guards against nodes that remember what callers can make up: 20,000 names
# of requests and paths.
def test_names_that_callers_make_up(system):
    node = system.start_node("node", limits=LITTLE_MEMORY)
    system.wait_ready()
    watch = crowd_watch.Watch(node, LITTLE_MEMORY)
    host, port = node.callers.rsplit(":", 1)
    with contextlib.ExitStack() as stack:
        connections = [
            stack.enter_context(
                socket.create_connection((host, int(port)), 30)
            )
            for _ in range(CONNECTIONS)
        ]
        readers = [
            stack.enter_context(connection.makefile("rb"))
            for connection in connections
        ]
        for first in range(0, REMEMBERED, CONNECTIONS * BATCH):
            for place, connection in enumerate(connections):
                _send_distinct_requests(connection, first + place * BATCH)
            for reader in readers * BATCH:
                _read_answer(reader)
            watch.sample()
    _judge([watch])


# Guards against bounds that refuse what one caller may ask for in calm.
def test_a_single_caller_inside_the_limits_is_served(system):
    node = system.start_node("node", limits=LITTLE_MEMORY)
    system.wait_ready()
    uploaded = _ask(node, "upload", "/fetch/x", body=b"u" * 900_000)
    read = _ask(node, "read", f"/fetch/x?bytes={LONG}")
    slow = _ask(node, "slow", "/fetch/x?bytes=300000", pause_s=SLOW_PAUSE_S)
    assert uploaded == (200, len(b"answer to upload"))
    assert read == (200, LONG)
    assert slow == (200, 300_000)
    runs = [run for run in system.all_runs() if run["id"] == "upload"]
    assert [len(run["body"]) for run in runs] == [900_000]
