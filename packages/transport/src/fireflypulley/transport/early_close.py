"""Tells a close that comes before the other side has what was sent to it.

An endpoint that closes in order while its request is being written has
given up (RFC 9112, 9.6).  If its system has taken what it did not read, the
system resets the connection after the close.
"""

import socket
import typing

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface

from fireflypulley.transport import sockets


RESET_WAIT_S = 0.03
"""How long after a close the reset may come."""


class ClosedEarly(error.ConnectionLost):
    """The other side closed in order before it had taken everything."""

    def __init__(self, unsent_bytes: int) -> None:
        super().__init__(f"closed with {unsent_bytes} bytes to go")
        self.unsent_bytes = unsent_bytes


def reason_of(unsent_bytes: int) -> Exception:
    """Return how a connection ended that was closed in order."""
    return (
        ClosedEarly(unsent_bytes) if unsent_bytes else error.ConnectionDone()
    )


def was_reset(handle: typing.Any) -> bool:
    """Return whether a socket was reset, or has failed otherwise."""
    return bool(handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


@interface.implementer(interfaces.IHalfCloseableProtocol)
class EarlyCloseProtocol(protocol.Protocol):
    """Is lost with ``ClosedEarly`` where that is how its connection ended.

    Only while the socket is open does the system tell what was not taken.
    """

    def readConnectionLost(self) -> None:
        reason = reason_of(sockets.unsent_bytes(self.transport))
        self.transport.connectionLost(failure.Failure(reason))

    def writeConnectionLost(self) -> None:
        """Do nothing; this side is never closed alone."""
