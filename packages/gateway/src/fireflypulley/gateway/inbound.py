"""Requests of callers, and what receives and handles them."""

import abc
import collections.abc
import dataclasses
import hashlib

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import header_codec

FINGERPRINT_BYTES = 12
OnDelivery = collections.abc.Callable[[caller_ends.Delivery], None]


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A complete request of a caller."""

    method: bytes
    target: bytes
    headers: header_codec.Headers
    arrived_s: float
    body: bytes = b""

    @property
    def host(self) -> str:
        """Return the host header without the port, in lower case."""
        for name, value in self.headers:
            if name == b"host":
                return value.decode("latin-1").partition(":")[0].lower()
        return ""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.decode("latin-1").partition("?")[0]

    def fingerprint(self, api_key: str | None) -> str:
        """Return a hash that is the same when a caller retries a request."""
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        digest.update((api_key or "").encode())
        digest.update(self.method + b" " + self.target + b"\n")
        digest.update(self.body)
        return digest.hexdigest()


def ignore_delivery(delivery: caller_ends.Delivery) -> None:
    """Do nothing about what became of an answer."""


class Caller(abc.ABC):
    """The connection of a caller.

    ``end_reason`` is why it was closed, None while it is open, and
    ``unread_bytes`` what the caller's machine had not taken when the node
    last looked, 0 if that is unknown.
    """

    end_reason: caller_ends.CallerEnd | None

    @property
    @abc.abstractmethod
    def unread_bytes(self) -> int:
        """Return the bytes on their way to the caller."""

    @abc.abstractmethod
    def close_idle(self) -> None:
        """Close the connection if it is idle and nothing has arrived."""

    @abc.abstractmethod
    def hand_over(self) -> None:
        """Leave what waits for the caller to the kernel.

        The process is about to end; nothing is sent or read afterwards.
        """


class CallerSink(abc.ABC):
    """Receives the response to a request.

    What does not fit the response so far closes the connection, so that the
    response is seen as incomplete, and raises ``BrokenResponse``, after the
    handler has been told.
    """

    @abc.abstractmethod
    def head(self, status: int, headers: header_codec.Headers) -> None:
        """Start the response."""

    @abc.abstractmethod
    def data(self, data: bytes) -> None:
        """Send a part of the body."""

    @abc.abstractmethod
    def end(self, on_delivery: OnDelivery = ignore_delivery) -> None:
        """End the complete response.

        ``on_delivery`` is called once, when all of it has reached the
        caller's machine or can't any more.
        """

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the response is seen as incomplete."""


class BrokenResponse(Exception):
    """Raised for data that does not fit the head of a response."""


class RequestHandler(abc.ABC):
    """Handles one request; informed of what its caller does."""

    @abc.abstractmethod
    def caller_left(self) -> None:
        """Called when the caller has closed its connection."""

    def response_broken(self, problem: str) -> None:
        """Called when the response can't go on; the connection is closed.

        Its data does not fit its head.
        """
        self.caller_left()

    @abc.abstractmethod
    def pause(self) -> None:
        """Called when the caller reads too slowly for more data."""

    @abc.abstractmethod
    def resume(self) -> None:
        """Called when more data may be sent again."""


class AnsweredRequest(RequestHandler):
    """The handler of a request that was answered at once."""

    def caller_left(self) -> None:
        """Do nothing; the request has ended."""

    def pause(self) -> None:
        """Do nothing; nothing more is sent."""

    def resume(self) -> None:
        """Do nothing; nothing more is sent."""


class RequestReceiver(abc.ABC):
    """Receives complete requests, and sets the limits for callers."""

    @property
    @abc.abstractmethod
    def limits(self) -> document.CallerLimits:
        """Return the current limits."""

    @property
    @abc.abstractmethod
    def is_stopping(self) -> bool:
        """Return whether connections close after the current response."""

    @abc.abstractmethod
    def receive(
        self, request: IncomingRequest, sink: CallerSink
    ) -> RequestHandler:
        """Start to handle a request."""

    @abc.abstractmethod
    def refuse(self, sink: CallerSink, reason: calls.RefusalReason) -> None:
        """Refuse a request without handling it."""

    @abc.abstractmethod
    def connection_opened(self, caller: Caller) -> None:
        """Called when a caller has connected."""

    @abc.abstractmethod
    def connection_closed(self, caller: Caller) -> None:
        """Called when a caller's connection is closed."""
