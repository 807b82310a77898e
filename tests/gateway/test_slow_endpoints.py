"""Endpoints that read their requests slowly, over real sockets."""

import contextlib
import socket
import struct
import threading
import time

from twisted.internet import defer
from twisted.internet import epollreactor
from twisted.internet import threads

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import outbound
from fireflypulley.gateway import pools
from fireflypulley.transport import liveness
from fireflypulley.transport import peer_watch
from fireflypulley.transport import tcp_state

from . import test_held_ends
from . import test_outbound

BODY_BYTES = 8 << 20
"""More than the buffers of both systems take."""
RECEIVE_BUFFER_BYTES = 16 << 10
PAUSE_S = 4.0
"""More than any user timeout that this package sets."""
TIMEOUT_S = 20.0
RESET = struct.pack("ii", 1, 0)


class _Listener(outbound.ResponseListener):
    """Notes how the response to one request ends."""

    def __init__(self):
        self.has_ended = threading.Event()
        self.body = b""
        self.failure = None

    def response_head(self, status, headers):
        pass

    def response_data(self, data):
        self.body += data

    def response_end(self, end=None):
        self.has_ended.set()

    def response_failed(self, outcome, detail):
        self.failure = (outcome, detail)
        self.has_ended.set()


@contextlib.contextmanager
def _asked():
    """Yield an endpoint's socket and who waits for its answer."""
    reactor = epollreactor.EPollReactor()
    thread = threading.Thread(target=reactor.run, args=(False,), daemon=True)
    thread.start()
    listener = _Listener()
    try:
        with socket.socket() as port:
            port.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            port.bind(("127.0.0.1", 0))
            port.listen()
            address = f"127.0.0.1:{port.getsockname()[1]}"
            threads.blockingCallFromThread(
                reactor,
                lambda: defer.ensureDeferred(_ask(reactor, address, listener)),
            )
            endpoint, _ = port.accept()
            with endpoint:
                endpoint.settimeout(TIMEOUT_S)
                yield endpoint, listener
    finally:
        reactor.callFromThread(reactor.stop)
        thread.join()


async def _ask(reactor, address, listener):
    pool = pools.EndpointPool(reactor, address, lambda: None)
    connection = await pool.acquire(True)
    connection.send(
        b"POST", b"/a", [(b"host", b"h")], bytes(BODY_BYTES), listener
    )


def _read_request(endpoint):
    """Return the length of what was read of a request's body."""
    received = bytearray()
    while True:
        _, end, body = received.partition(b"\r\n\r\n")
        if end and len(body) >= BODY_BYTES:
            return len(body)
        data = endpoint.recv(1 << 20)
        if not data:
            return len(body)
        received += data


# Guards against a request that is cut because its endpoint reads nothing for
# some seconds (issue 44).
def test_a_request_reaches_an_endpoint_that_pauses():
    with _asked() as (endpoint, listener):
        time.sleep(PAUSE_S)
        assert _read_request(endpoint) == BODY_BYTES
        endpoint.sendall(test_outbound.WHOLE)
        assert listener.has_ended.wait(TIMEOUT_S)
    assert listener.failure is None
    assert listener.body == b"ok"


def test_an_endpoint_that_resets_while_it_does_not_read_is_lost():
    with _asked() as (endpoint, listener):
        endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        endpoint.close()
        assert listener.has_ended.wait(TIMEOUT_S)
    assert listener.failure[0] is calls.Outcome.CUT


# Guards against a machine that is gone and keeps its requests for minutes.
def test_a_connection_to_an_endpoint_that_is_gone_ends(monkeypatch):
    endpoint = test_held_ends.Endpoint()
    gone = tcp_state.TcpState(
        liveness.DEAD_AFTER_SENDS, 1, 0, liveness.DEAD_AFTER_S, 0
    )
    monkeypatch.setattr(tcp_state, "read", lambda transport: gone)
    endpoint.reactor.advance(peer_watch.CHECK_INTERVAL_S)
    assert endpoint.connection.transport.aborted
