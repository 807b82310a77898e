"""A node's callers over real sockets, which read in their own ways."""

import contextlib
import dataclasses
import socket
import threading
import time

from twisted.internet import epollreactor

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import document
from fireflypulley.gateway import caller_factory
from fireflypulley.gateway import inbound

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
EVENTS = 40
EVENT_INTERVAL_S = 0.06
TIMEOUT_S = 20.0
BOUNDS = caller_ends.CallerBounds()


@dataclasses.dataclass(frozen=True)
class Profile:
    """How a caller reads; it asks for events of ``event_bytes``."""

    event_bytes: int
    first_pause_s: float = 0.0
    read_bytes: int = 65536
    read_interval_s: float = 0.0
    buffer_bytes: int = 0


class Stream(inbound.RequestHandler):
    """The answer to a request: events, paused like an endpoint's."""

    def __init__(self, reactor, sink, event_bytes, on_sent):
        self._reactor = reactor
        self.on_sent = on_sent
        self._sink = sink
        self._event = b"data: " + b"x" * (event_bytes - 8) + b"\n\n"
        self.sent = 0
        self.deliveries = []
        self.paused = False
        self.left = False
        self.has_ended = False
        sink.head(200, [(b"transfer-encoding", b"chunked")])
        reactor.callLater(0, self._send)

    def _send(self):
        if self.left:
            return
        if self.sent == EVENTS:
            self._sink.end(self.deliveries.append)
            self.has_ended = True
            return
        if not self.paused:
            self._sink.data(self._event)
            self.sent += 1
            self.on_sent()
        self._reactor.callLater(EVENT_INTERVAL_S, self._send)

    def caller_left(self):
        self.left = True

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False


class Node(inbound.RequestReceiver):
    """Answers each request with events, on a reactor of its own."""

    def __init__(self, event_bytes, bounds, wrap):
        self.reactor = epollreactor.EPollReactor()
        self.event_bytes = event_bytes
        self.streams = []
        self.opened = []
        self.closed = []
        factory = caller_factory.CallerFactory(self.reactor, self, bounds)
        self.held = factory.held
        self.most_held_bytes = 0
        factory = wrap(factory, self.reactor)
        port = self.reactor.listenTCP(0, factory, interface="127.0.0.1")
        self.address = ("127.0.0.1", port.getHost().port)

    limits = document.CallerLimits(2000, 100, 3.0, 15.0)

    is_stopping = False

    def receive(self, request, sink):
        stream = Stream(self.reactor, sink, self.event_bytes, self._note_held)
        self.streams.append(stream)
        return stream

    def _note_held(self):
        self.most_held_bytes = max(self.most_held_bytes, self.held.total_bytes)

    def refuse(self, sink, reason):
        raise AssertionError(reason)

    send_buffer_bytes = None
    """What the kernel takes for a caller, None for what it likes."""

    def connection_opened(self, connection):
        self.opened.append(connection)
        if self.send_buffer_bytes is not None:
            connection.transport.getHandle().setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes
            )

    def connection_closed(self, connection):
        self.closed.append(connection)


def _keep(factory, reactor):
    """Return the factory of callers as it is."""
    return factory


@contextlib.contextmanager
def running(event_bytes, bounds=BOUNDS, wrap=_keep):
    """Run a node whose callers may cost as much as the bounds say.

    ``wrap`` returns what listens in place of the factory of callers.
    """
    node = Node(event_bytes, bounds, wrap)
    thread = threading.Thread(
        target=node.reactor.run, args=(False,), daemon=True
    )
    thread.start()
    try:
        yield node
    finally:
        node.reactor.callFromThread(node.reactor.stop)
        thread.join()


def end_process(node, may_end, before_end):
    """Let a node's process end once ``may_end`` is set.

    It does nothing until then but for ``before_end``, right before.
    """
    is_busy = threading.Event()

    def end():
        is_busy.set()
        may_end.wait(TIMEOUT_S)
        before_end()
        node.reactor.stop()

    node.reactor.callFromThread(end)
    is_busy.wait(TIMEOUT_S)


def connect(node, profile, wrap=None):
    """Return the socket of a caller that has sent its request.

    ``wrap`` returns what is used in place of the connected socket.
    """
    caller = socket.socket()
    if profile.buffer_bytes:
        caller.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, profile.buffer_bytes
        )
    caller.settimeout(TIMEOUT_S)
    caller.connect(node.address)
    if wrap is not None:
        caller = wrap(caller)
    caller.sendall(REQUEST)
    return caller


INCIDENT_PROFILES = {
    "pause-1.5-s": Profile(60000, first_pause_s=1.5),
    "pause-3-s": Profile(60000, first_pause_s=3.0),
    "16-KiB-each-0.4-s": Profile(
        6000, read_bytes=16384, read_interval_s=0.4, buffer_bytes=16384
    ),
    "64-KiB-each-0.25-s": Profile(
        50000, read_bytes=65536, read_interval_s=0.25, buffer_bytes=65536
    ),
}
"""The callers that lost their answers once, and the two beside them."""


def read(caller, profile):
    """Return what a caller gets until the answer or its connection ends."""
    time.sleep(profile.first_pause_s)
    answer = bytearray()
    while not answer.endswith(b"\r\n0\r\n\r\n"):
        data = caller.recv(profile.read_bytes)
        if not data:
            break
        answer += data
        time.sleep(profile.read_interval_s)
    return bytes(answer)


def call(profile):
    """Return a caller's answer."""
    with running(profile.event_bytes) as node:
        with connect(node, profile) as caller:
            return read(caller, profile)


def wait_for(has_happened):
    """Wait until something that the node's thread does has happened."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not has_happened():
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
