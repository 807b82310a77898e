"""Connections from callers: strict parsing, limits, ordered responses."""

import socket

import pytest
from twisted.internet import task
from twisted.internet import testing

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import caller_connection
from fireflypulley.gateway import caller_factory
from fireflypulley.gateway import inbound


class Handler(inbound.RequestHandler):
    """A handler that records the calls that it gets."""

    def __init__(self):
        self.left = False
        self.paused = False

    def caller_left(self):
        self.left = True

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False


class Receiver(inbound.RequestReceiver):
    """Receives requests, and answers at once unless ``answer`` is None."""

    def __init__(self, answer=b"ok"):
        self.answer = answer
        self.requests = []
        self.sinks = []
        self.handlers = []
        self.refused = []
        self.stopping = False
        self.configured_limits = document.CallerLimits(2000, 100, 3.0, 15.0)

    @property
    def limits(self):
        return self.configured_limits

    @property
    def is_stopping(self):
        return self.stopping

    def receive(self, request, sink):
        self.requests.append(request)
        self.sinks.append(sink)
        self.handlers.append(Handler())
        if self.answer is not None:
            _reply(sink, self.answer)
        return self.handlers[-1]

    def refuse(self, sink, reason):
        self.refused.append(reason)
        status = calls.STATUS_BY_REFUSAL[reason]
        sink.head(status, [(b"content-length", b"0")])
        sink.end()

    def connection_opened(self, connection):
        pass

    def connection_closed(self, connection):
        pass


class Socket:
    """A socket that accepts any option; ``unread`` has arrived."""

    unread = b""

    def setsockopt(self, *_):
        pass

    def recv(self, size_bytes, flags):
        assert flags & socket.MSG_PEEK
        if not self.unread:
            raise BlockingIOError
        return self.unread[:size_bytes]


class Transport(testing.StringTransport):
    """A string transport with the TCP methods that the gateway uses."""

    aborted = False
    half_closed = False

    def __init__(self):
        super().__init__()
        self.socket = Socket()

    def setTcpNoDelay(self, _):
        pass

    def getHandle(self):
        return self.socket

    def abortConnection(self):
        self.aborted = True
        super().abortConnection()

    def loseWriteConnection(self):
        self.half_closed = True


def _reply(sink, body):
    sink.head(200, [(b"content-length", b"%d" % len(body))])
    sink.data(body)
    sink.end()


def _connect(receiver):
    clock = task.Clock()
    factory = caller_factory.CallerFactory(clock, receiver)
    connection = factory.buildProtocol(None)
    transport = Transport()
    connection.makeConnection(transport)
    return clock, connection, transport


def _statuses(transport):
    lines = transport.value().split(b"\r\n")
    return [int(line.split()[1]) for line in lines if b"HTTP/1.1 " in line]


GET = b"GET /a/x?q=1 HTTP/1.1\r\nHost: h.example:80\r\n\r\n"


def test_a_request_is_read_whole_and_unchanged():
    receiver = Receiver()
    _, connection, transport = _connect(receiver)
    data = (
        b"POST /a/x?q=1 HTTP/1.1\r\nHost: H.example:80\r\n"
        b"Content-Length: 5\r\nX-Y: z\r\n\r\nhello"
    )
    for index in range(len(data)):
        connection.dataReceived(data[index : index + 1])
    (request,) = receiver.requests
    assert request.method == b"POST"
    assert request.target == b"/a/x?q=1"
    assert request.path == "/a/x"
    assert request.host == "h.example"
    assert request.body == b"hello"
    assert (b"x-y", b"z") in request.headers
    assert _statuses(transport) == [200]


def test_a_body_in_chunks_is_joined():
    receiver = Receiver()
    _, connection, _ = _connect(receiver)
    connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    assert receiver.requests[0].body == b"abcde"


def test_a_connection_carries_many_requests_in_order():
    receiver = Receiver()
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(GET + GET)
    clock.advance(0)
    connection.dataReceived(GET)
    assert len(receiver.requests) == 3
    assert _statuses(transport) == [200, 200, 200]


def test_the_next_request_waits_for_the_answer_before():
    receiver = Receiver(answer=None)
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(GET + GET)
    assert len(receiver.requests) == 1
    _reply(receiver.sinks[0], b"one")
    clock.advance(0)
    assert len(receiver.requests) == 2
    assert _statuses(transport) == [200]


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        b"Content-Length: 5\r\n\r\nabcde",
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost : h\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/1.0\r\nHost: h\r\n\r\n",
        b"GET  / HTTP/1.1\r\nHost: h\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"zz\r\n",
    ],
)
def test_request_smuggling_is_refused_and_closes_the_connection(data):
    receiver = Receiver()
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(data)
    connection.dataReceived(b"\r\n\r\n" + GET)
    clock.advance(0)
    assert receiver.requests == []
    assert _statuses(transport) == [400]
    assert b"connection: close" in transport.value().lower()
    assert transport.half_closed
    clock.advance(caller_connection.LINGER_TIMEOUT_S)
    assert transport.aborted


def test_too_large_heads_and_bodies_get_different_statuses():
    receiver = Receiver()
    _, connection, transport = _connect(receiver)
    connection.dataReceived(
        b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 3000 + b"\r\n\r\n"
    )
    assert _statuses(transport) == [431]
    _, connection, transport = _connect(receiver)
    connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n"
        + b"x" * 101
    )
    assert _statuses(transport) == [413]
    assert receiver.requests == []


def test_an_idle_connection_and_a_slow_head_are_closed():
    receiver = Receiver()
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(GET)
    clock.advance(14.9)
    assert not transport.disconnecting
    clock.advance(0.2)
    assert transport.disconnecting
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(b"GET / HT")
    clock.advance(3.1)
    assert transport.disconnecting


def test_a_slow_response_does_not_count_as_idle():
    receiver = Receiver(answer=None)
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(GET)
    clock.advance(60.0)
    assert not transport.disconnecting


def test_a_caller_that_leaves_is_noticed():
    receiver = Receiver(answer=None)
    _, connection, _ = _connect(receiver)
    connection.dataReceived(GET)
    connection.connectionLost()
    assert receiver.handlers[0].left


def test_a_caller_that_reads_nothing_pauses_the_handler():
    receiver = Receiver(answer=None)
    _, connection, transport = _connect(receiver)
    connection.dataReceived(GET)
    sink = receiver.sinks[0]
    sink.head(200, [(b"transfer-encoding", b"chunked")])
    sent = transport.value()
    transport.producer.pauseProducing()
    sink.data(b"x" * caller_ends.CallerBounds().held_bytes)
    assert receiver.handlers[0].paused
    assert transport.value() == sent
    transport.producer.resumeProducing()
    assert not receiver.handlers[0].paused
    assert len(transport.value()) > caller_ends.CallerBounds().held_bytes


def test_while_stopping_connections_close_after_the_response():
    receiver = Receiver()
    _, connection, transport = _connect(receiver)
    receiver.stopping = True
    connection.dataReceived(GET)
    assert b"connection: close" in transport.value().lower()
    assert transport.disconnecting


def test_an_aborted_response_looks_incomplete():
    receiver = Receiver(answer=None)
    _, connection, transport = _connect(receiver)
    connection.dataReceived(GET)
    sink = receiver.sinks[0]
    sink.head(200, [(b"transfer-encoding", b"chunked")])
    sink.data(b"half")
    sink.abort()
    assert transport.aborted
    assert not transport.value().endswith(b"0\r\n\r\n")


def test_expect_100_continue_is_answered():
    receiver = Receiver()
    _, connection, transport = _connect(receiver)
    connection.dataReceived(
        b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert transport.value().startswith(b"HTTP/1.1 100 ")
    connection.dataReceived(b"ab")
    assert receiver.requests[0].body == b"ab"


# Guards against a request that was read while the one before was answered,
# and that ends without an answer as a stopping node closes idle connections.
def test_a_connection_with_a_request_that_was_read_is_not_idle():
    receiver = Receiver(answer=None)
    clock, connection, transport = _connect(receiver)
    connection.dataReceived(GET + GET)
    _reply(receiver.sinks[0], b"ok")
    connection.close_idle()
    clock.advance(0)
    assert len(receiver.requests) == 2
    assert not transport.disconnecting


# Guards against requests that end without an answer because a stopping node
# closes idle connections before it reads what has arrived on them.
def test_a_connection_on_which_a_request_has_arrived_is_not_closed_as_idle():
    receiver = Receiver()
    clock, connection, transport = _connect(receiver)
    transport.socket.unread = GET
    connection.close_idle()
    assert not transport.disconnecting
    connection.dataReceived(GET)
    transport.socket.unread = b""
    clock.advance(0)
    assert _statuses(transport) == [200]
    connection.close_idle()
    assert transport.disconnecting
