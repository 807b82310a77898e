"""Connections over real sockets whose events are handled batch by batch."""

import socket
import struct

from twisted.internet import epollreactor
from twisted.internet import protocol
from twisted.internet import tcp

RESET = struct.pack("ii", 1, 0)
UNREAD = b"not read yet"


class Recorder(protocol.Protocol):
    """Keeps what it gets; calls ``on_data`` at each part."""

    def __init__(self, on_data=None):
        self._on_data = on_data
        self.received = b""
        self.lost = None

    def dataReceived(self, data):
        self.received += data
        if self._on_data is not None:
            self._on_data()

    def connectionLost(self, reason=protocol.connectionDone):
        self.lost = reason.type


class Sockets:
    """Connections of a reactor that handles one batch at a time."""

    def __init__(self):
        self.reactor = epollreactor.EPollReactor()
        self._sockets = []

    def connect(self, user):
        """Return the other end of a connection of a protocol."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            there = socket.create_connection(listener.getsockname())
            here, address = listener.accept()
        here.setblocking(False)
        self._sockets += [there, here]
        transport = tcp.Server(here, user, address, None, 0, self.reactor)
        transport.startReading()
        user.makeConnection(transport)
        return there

    def turn(self, count=3):
        """Make calls and handle events."""
        for _ in range(count):
            self.reactor.runUntilCurrent()
            self.reactor.doPoll(0)

    def settle(self):
        """Handle events until there are none."""
        while self.reactor._poller.poll(0, 1):
            self.reactor.doPoll(0)

    def reset_while_paused(self, there, resume):
        """Reset a paused connection, and resume it in the same batch.

        The connection must wait for its socket to take more: twisted polls
        no other paused ones.  ``resume`` is called by an earlier event.
        """
        first = Recorder(resume)
        first_there = self.connect(first)
        self.settle()
        first_there.sendall(b"go on")
        there.sendall(UNREAD)
        there.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        there.close()
        self.reactor.doPoll(0.1)
        assert first.received

    def close(self):
        """Close all sockets."""
        self.reactor.removeAll()
        for handle in self._sockets:
            handle.close()


def fill(transport):
    """Let a transport wait until its socket takes more."""
    transport.write(b"x" * (8 << 20))
