"""A port on which a node listens as soon as the system lets it."""

import socket
import typing

from twisted.internet import error
from twisted.internet import interfaces

from fireflypulley.gateway import decision_log
from fireflypulley.gateway import settings
from fireflypulley.transport import listening

RETRY_INTERVAL_S = 0.25


class NodePort:
    """Listens on an address, and tries again while it is taken.

    ``purpose`` names the port in the log.
    """

    def __init__(
        self,
        reactor: typing.Any,
        purpose: str,
        address: settings.Address,
        factory: typing.Any,
    ) -> None:
        self._reactor = reactor
        self._purpose = purpose
        self._address = address
        self._factory = factory
        self._port: interfaces.IListeningPort | None = None
        self._retry: interfaces.IDelayedCall | None = None

    @property
    def is_open(self) -> bool:
        return self._port is not None

    @property
    def is_taken(self) -> bool:
        """Return whether the address could not be had so far."""
        return self._retry is not None

    def open(self) -> None:
        """Listen now, or as soon as it is possible."""
        address = self._address
        try:
            port = self._reactor.listenTCP(
                address.port, self._factory, listening.BACKLOG, address.host
            )
        except (error.CannotListenError, OSError) as problem:
            # To listen may fail though to bind did not.
            self._wait(problem)
            return
        if self.is_taken:
            self._note("listening")
        self._retry = None
        self._port = port

    def adopt(self, opened: socket.socket) -> None:
        """Listen on a socket that listens already; it is closed."""
        self._port = self._reactor.adoptStreamPort(
            opened.fileno(), socket.AF_INET, self._factory
        )
        opened.close()

    def take(self) -> interfaces.IListeningPort | None:
        """Give up the address; return the port, if it is open, to close."""
        retry, self._retry = self._retry, None
        if retry is not None:
            retry.cancel()
        port, self._port = self._port, None
        return port

    def _wait(self, problem: Exception) -> None:
        if not self.is_taken:
            self._note("taken", problem=str(problem))
        self._retry = self._reactor.callLater(RETRY_INTERVAL_S, self.open)

    def _note(self, state: str, **fields: str) -> None:
        decision_log.note("port", port=self._purpose, state=state, **fields)
