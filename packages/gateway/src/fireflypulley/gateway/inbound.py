"""Connections from callers: strict parsing, one request at a time."""

import abc
import dataclasses
import hashlib

import h11
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import header_codec
from fireflypulley.transport import sockets

MAX_READ_AHEAD_BYTES = 65536
MAX_HEADERS_BYTES = 65536
"""Above any configured limit, so that the configured one applies first."""
LINGER_TIMEOUT_S = 1.0
FINGERPRINT_BYTES = 12


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
    def end(self) -> None:
        """End the complete response."""

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
    def connection_opened(self, connection: "CallerConnection") -> None:
        """Called when a caller has connected."""

    @abc.abstractmethod
    def connection_closed(self, connection: "CallerConnection") -> None:
        """Called when a caller's connection is closed."""


@interface.implementer(interfaces.IPushProducer)
class CallerConnection(protocol.Protocol, CallerSink):
    """One connection from a caller."""

    def __init__(
        self, reactor: interfaces.IReactorTime, receiver: RequestReceiver
    ) -> None:
        self._reactor = reactor
        self._receiver = receiver
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADERS_BYTES
        )
        self._request: IncomingRequest | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reading_since_s: float | None = None
        self._handler: RequestHandler | None = None
        self._is_responding = False
        self._is_open = False
        self._must_close = False
        self._read_ahead_bytes = 0
        self._timer: interfaces.IDelayedCall | None = None

    # Connection

    def connectionMade(self) -> None:
        self._is_open = True
        sockets.set_tcp_options(self.transport)
        self.transport.registerProducer(self, True)
        self._receiver.connection_opened(self)
        self._start_timer(self._receiver.limits.header_timeout_s)

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._reactor.callLater(seconds, self._timed_out)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _timed_out(self) -> None:
        """Close the connection of a caller that is idle or sends slowly."""
        self._timer = None
        if self._handler is None:
            self._close()

    def _close(self) -> None:
        """Close once all data has been written."""
        self._is_open = False
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._handler is None and self._reading_since_s is None

    def close_idle(self) -> None:
        """Close the connection if it is idle."""
        if self.is_idle and self._is_open:
            self._close()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self._is_open = False
        self._stop_timer()
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.caller_left()
        self._receiver.connection_closed(self)

    def pauseProducing(self) -> None:
        if self._handler is not None:
            self._handler.pause()

    def resumeProducing(self) -> None:
        if self._handler is not None:
            self._handler.resume()

    def stopProducing(self) -> None:
        """Do nothing; connectionLost follows."""

    # Reading

    def dataReceived(self, data: bytes) -> None:
        if not self._is_open:
            return
        if self._reading_since_s is None and self._handler is None:
            self._begin_reading()
        if self._handler is not None:
            self._read_ahead_bytes += len(data)
            if self._read_ahead_bytes > MAX_READ_AHEAD_BYTES:
                self.transport.abortConnection()
                return
        try:
            self._http.receive_data(data)
            if self._handler is None:
                self._read()
        except h11.RemoteProtocolError as problem:
            self._refuse_malformed(problem)

    def _begin_reading(self) -> None:
        self._reading_since_s = self._reactor.seconds()
        self._start_timer(self._receiver.limits.header_timeout_s)

    def _read(self) -> None:
        while self._handler is None and self._is_open:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._receive_head(event)
            elif isinstance(event, h11.Data):
                self._receive_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._receive_end()
            else:
                return

    def _receive_head(self, event: h11.Request) -> None:
        headers = list(event.headers)
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > self._receiver.limits.max_header_bytes:
            self._refuse(calls.RefusalReason.HEADERS_TOO_LARGE)
            return
        names = [name for name, _ in headers]
        has_both_lengths = (
            b"content-length" in names and b"transfer-encoding" in names
        )
        if has_both_lengths or event.http_version != b"1.1":
            self._refuse(calls.RefusalReason.BAD_REQUEST)
            return
        arrived_s = self._reading_since_s
        if arrived_s is None:
            arrived_s = self._reactor.seconds()
        self._request = IncomingRequest(
            event.method, event.target, headers, arrived_s
        )
        self._body = []
        self._body_bytes = 0
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self.transport.write(self._http.send(continue_response))

    def _receive_body(self, data: bytes) -> None:
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._receiver.limits.max_body_bytes:
            self._refuse(calls.RefusalReason.BODY_TOO_LARGE)

    def _receive_end(self) -> None:
        request, self._request = self._request, None
        if request is None:
            return
        request.body = b"".join(self._body)
        self._body = []
        self._stop_timer()
        self._reading_since_s = None
        self._read_ahead_bytes = 0
        handler = self._receiver.receive(request, self)
        is_unanswered = self._http.our_state is h11.SEND_RESPONSE
        if self._is_open and (self._is_responding or is_unanswered):
            self._handler = handler

    def _refuse_malformed(self, problem: h11.RemoteProtocolError) -> None:
        if self._handler is not None or not self._is_open:
            self.transport.abortConnection()
            return
        reason = calls.RefusalReason.BAD_REQUEST
        if problem.error_status_hint == 431:
            reason = calls.RefusalReason.HEADERS_TOO_LARGE
        self._refuse(reason)

    def _refuse(self, reason: calls.RefusalReason) -> None:
        """Refuse the current request, and close the connection."""
        self._request = None
        self._must_close = True
        self._stop_timer()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._receiver.refuse(self, reason)
        self._linger()

    def _linger(self) -> None:
        """Let the caller read the response before the connection is closed.

        Closing with unread data would reset the connection, and the caller
        could lose the response.
        """
        if not self.transport.connected:
            return
        self._is_open = False
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._reactor.callLater(
            LINGER_TIMEOUT_S, self.transport.abortConnection
        )

    # Responding

    def head(self, status: int, headers: header_codec.Headers) -> None:
        if not self._is_open:
            return
        self._is_responding = True
        fields = list(headers)
        if self._receiver.is_stopping or self._must_close:
            fields.append((b"connection", b"close"))
        response = h11.Response(status_code=status, headers=fields)
        self._write(response)

    def data(self, data: bytes) -> None:
        if self._is_open and data:
            self._write(h11.Data(data=data))

    def _write(self, event: h11.Event) -> None:
        try:
            data = self._http.send(event) or b""
        except h11.LocalProtocolError as problem:
            self._break_off(str(problem))
            raise BrokenResponse(str(problem)) from problem
        self.transport.write(data)

    def _break_off(self, problem: str) -> None:
        """Close the connection; nothing in this node waits for the caller."""
        handler = self._handler
        self.abort()
        if handler is not None:
            handler.response_broken(problem)

    def end(self) -> None:
        if self._is_open:
            self._write(h11.EndOfMessage())
        self._handler = None
        self._is_responding = False
        if not self._is_open:
            return
        if self._must_close:
            return
        if self._http.our_state is not h11.DONE:
            self._close()
            return
        self._http.start_next_cycle()
        self._start_timer(self._receiver.limits.idle_timeout_s)
        self._reactor.callLater(0, self._read_next)

    def _read_next(self) -> None:
        """Process data that arrived while a request was being handled."""
        if not self._is_open or self._handler is not None:
            return
        if self._http.trailing_data[0]:
            self._begin_reading()
        try:
            self._read()
        except h11.RemoteProtocolError as problem:
            self._refuse_malformed(problem)

    def abort(self) -> None:
        self._handler = None
        if self._is_open:
            self._is_open = False
            self.transport.abortConnection()


class CallerFactory(protocol.Factory):
    """Builds connections from callers."""

    noisy = False

    def __init__(
        self, reactor: interfaces.IReactorTime, receiver: RequestReceiver
    ) -> None:
        self._reactor = reactor
        self._receiver = receiver

    def buildProtocol(self, addr: interfaces.IAddress) -> CallerConnection:
        return CallerConnection(self._reactor, self._receiver)
