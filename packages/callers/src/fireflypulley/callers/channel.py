"""Connections from callers, each of which counts what it holds."""

import collections.abc
import typing

from twisted.python import failure
from twisted.web import http

from fireflypulley.callers import account
from fireflypulley.transport import open_callers
from fireflypulley.transport import sockets


class CallerChannel(http.HTTPChannel):
    """A connection that is closed at once when its account gives up."""

    _account: account.ChannelAccount

    @property
    def _callers(self) -> open_callers.OpenCallers:
        callers: open_callers.OpenCallers = self.site.callers
        return callers

    @property
    def _below(self) -> typing.Any:
        """Return the transport of the socket, which is below that of TLS."""
        transport: typing.Any = self.transport
        return getattr(transport, "transport", None) or transport

    def connectionMade(self) -> None:
        super().connectionMade()
        self._account = account.ChannelAccount(
            self._callers.budget,
            self.transport.abortConnection,
            self._is_served,
        )
        self._callers.add(self._account)

    def _is_served(self) -> bool:
        """Return whether the caller waits for this node."""
        return self._handlingRequest and not self._waitingForTransport

    def connectionLost(
        self, reason: failure.Failure = http.protocol.connectionDone
    ) -> None:
        super().connectionLost(reason)
        self._callers.remove(self._account)
        # Objects that refer to each other are freed much later.
        self._dataBuffer = []
        self.clearLineBuffer()
        sockets.drop_kept(self._below)

    # Reading

    def dataReceived(self, data: bytes) -> None:
        if self._account.has_given_up:
            return
        if not self._handlingRequest:
            self._account.note_read(len(data))
        super().dataReceived(data)

    def rawDataReceived(self, data: bytes) -> None:
        if self._handlingRequest:
            self._account.note_read(len(data))
        super().rawDataReceived(data)

    def allContentReceived(self) -> None:
        self._account.begin_request()
        super().allContentReceived()

    def requestDone(self, request: http.Request) -> None:
        self._account.end_request()
        super().requestDone(request)

    # Writing

    def write(self, data: bytes) -> None:
        super().write(data)
        self._count_waiting()

    def writeSequence(self, iovec: collections.abc.Iterable[bytes]) -> None:
        super().writeSequence(iovec)
        self._count_waiting()

    def resumeProducing(self) -> None:
        super().resumeProducing()
        self._count_waiting()

    def _count_waiting(self) -> None:
        """Count what the transport keeps until the caller takes it."""
        self._account.count_waiting(sockets.kept_bytes(self._below))
