"""Streams of endpoints that fall silent and go on, with real nodes."""

import concurrent.futures
import http.client
import signal
import threading
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

pytestmark = pytest.mark.processes

NODES = 3
EVENTS = 100
"""A stream of two seconds."""
PAUSE_S = 0.125
ASKING_S = 6.0
SILENT_FROM_S = 3.0
SILENT_S = 1.4
STOP_FROM_S = 2.7
REFUSED = -1
"""The status of a request that nobody took."""
BOUNDS = {
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 19,
}


class Streams:
    """Callers that each read one stream on a connection of its own."""

    def __init__(self, nodes):
        self._nodes = nodes
        self._lock = threading.Lock()
        self.refused = []
        self.broken = []
        self.whole = 0

    def read(self, number):
        """Read a stream at one of the nodes, and note how it ends."""
        node = self._nodes[number % len(self._nodes)]
        request_id = f"s{number}"
        fields = gateways.caller_headers(request_id, "key-court", 12000)
        connection = http.client.HTTPConnection(node.callers, timeout=12)
        status, body = 0, b""
        try:
            connection.request("POST", "/resumed/x", b"%d" % EVENTS, fields)
            reply = connection.getresponse()
            status = reply.status
            body = reply.read()
            is_whole = True
        except http.client.IncompleteRead as problem:
            body = problem.partial
            is_whole = False
        except ConnectionRefusedError:
            status, is_whole = REFUSED, False
        except (OSError, http.client.HTTPException):
            is_whole = False
        finally:
            connection.close()
        with self._lock:
            self._note(node, request_id, status, body, is_whole)

    def _note(self, node, request_id, status, body, is_whole):
        if is_whole and body.count(b"data: ") == EVENTS:
            self.whole += 1
        elif status == REFUSED or (is_whole and status == 503):
            self.refused.append(node.name)
        else:
            self.broken.append((request_id, status, len(body)))


@pytest.fixture(params=[1, 3])
def system(tmp_path, request):
    """Yield nodes and endpoints that stream."""
    config = gateways.configuration(
        routes=[
            gateways.route(
                "resumed",
                "streaming",
                "speech",
                stream_resume=True,
                max_attempts=2,
                timeout_ms=12000,
            )
        ]
    )
    with gateways.running(tmp_path) as running:
        running.start_store(config)
        for number in range(request.param):
            running.start_replica(f"e{number}", "speech")
        for number in range(NODES):
            running.start_node(f"node-{number}", "ab"[number % 2], **BOUNDS)
        running.wait_ready()
        yield running


def _silence(system):
    for process in system.replicas.values():
        url = f"http://{process.address}/silence"
        local.http("POST", url, {"for_s": SILENT_S})


# Guards against LOST: streams that nodes cut around a stop, as all endpoints
# fell silent for a second and went on (the users' record, case 1).
def test_streams_outlast_a_silence_of_all_endpoints(system):
    streams = Streams(system.nodes)
    silence = threading.Timer(SILENT_FROM_S, _silence, [system])
    stop = threading.Timer(
        STOP_FROM_S, system.nodes[0].signal, [signal.SIGTERM]
    )
    with concurrent.futures.ThreadPoolExecutor(96) as pool:
        silence.start()
        stop.start()
        for number in range(int(ASKING_S / PAUSE_S)):
            for node in range(NODES):
                pool.submit(streams.read, number * NODES + node)
            time.sleep(PAUSE_S)
    assert not streams.broken
    assert set(streams.refused) <= {system.nodes[0].name}
    assert streams.whole >= (NODES - 1) * int(ASKING_S / PAUSE_S)
