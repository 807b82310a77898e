"""Tests of TCP options, with and without TLS."""

import contextlib
import socket

from twisted.internet import epollreactor
from twisted.internet import protocol

from fireflypulley.transport import sockets


class Transport:
    """A TCP transport over a real socket."""

    def __init__(self, handle):
        self._handle = handle

    def setTcpNoDelay(self, enabled):
        self._handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, enabled
        )

    def getHandle(self):
        return self._handle


class Tls:
    """TLS over a transport; its handle is not a socket."""

    def __init__(self, transport):
        self.transport = transport

    def setTcpNoDelay(self, enabled):
        self.transport.setTcpNoDelay(enabled)

    def getHandle(self):
        return object()


class Accepted(protocol.Protocol):
    """A connection that was accepted."""

    def connectionMade(self):
        self.factory.accepted.append(self)


def _user_timeout_ms(handle):
    return handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_a_dead_peer_is_noticed_within_seconds():
    with socket.socket() as handle:
        sockets.set_tcp_options(Transport(handle))
        assert _user_timeout_ms(handle) == sockets.USER_TIMEOUT_MS
        alive = handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        assert alive


def test_under_tls_the_options_are_those_of_the_socket_below():
    with socket.socket() as handle:
        sockets.set_tcp_options(Tls(Transport(handle)))
        assert _user_timeout_ms(handle) == sockets.USER_TIMEOUT_MS


# Guards against a caller that is cut because its window was closed for long.
def test_a_caller_has_no_user_timeout():
    with socket.socket() as handle:
        sockets.set_caller_options(Transport(handle))
        assert _user_timeout_ms(handle) == 0
        assert handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)


def test_input_is_unread_until_it_is_read():
    near, far = socket.socketpair()
    with near, far:
        transport = Tls(Transport(near))
        assert not sockets.has_unread_input(transport)
        far.sendall(b"GET")
        assert sockets.has_unread_input(transport)
        assert sockets.has_unread_input(transport)
        assert near.recv(9) == b"GET"
        assert not sockets.has_unread_input(transport)
        far.close()
        assert not sockets.has_unread_input(transport)


# Guards against resets of callers that connect in a burst as a port closes.
def test_all_that_wait_in_the_backlog_are_accepted():
    reactor = epollreactor.EPollReactor()
    factory = protocol.Factory.forProtocol(Accepted)
    factory.accepted = []
    port = reactor.listenTCP(0, factory, 512, "127.0.0.1")
    address = ("127.0.0.1", port.getHost().port)
    with contextlib.ExitStack() as stack:
        for count in (1, 60):
            for _ in range(count):
                caller = socket.create_connection(address, 1.0)
                stack.enter_context(caller)
            sockets.accept_waiting(port)
        assert len(factory.accepted) == 61
        sockets.accept_waiting(port)
        port.connectionLost(None)
