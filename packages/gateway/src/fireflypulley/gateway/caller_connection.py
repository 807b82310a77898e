"""Connections from callers: strict parsing, one request at a time."""

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import caller_account
from fireflypulley.gateway import caller_watch
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import send_queue
from fireflypulley.transport import last_bytes
from fireflypulley.transport import open_callers
from fireflypulley.transport import sockets

MAX_READ_AHEAD_BYTES = 65536
MAX_HEADERS_BYTES = 65536
"""Above any configured limit, so that the configured one applies first."""
LINGER_TIMEOUT_S = 1.0
_ENDED = h11.Connection(h11.SERVER)
"""What connections that are lost have instead of what they had read."""


def _find_head_problem(
    event: h11.Request,
    headers: header_codec.Headers,
    limits: document.CallerLimits,
) -> calls.RefusalReason | None:
    """Return why a request is refused for its head, or None."""
    size_bytes = sum(len(name) + len(value) + 4 for name, value in headers)
    if size_bytes > limits.max_header_bytes:
        return calls.RefusalReason.HEADERS_TOO_LARGE
    names = [name for name, _ in headers]
    has_both_lengths = (
        b"content-length" in names and b"transfer-encoding" in names
    )
    if has_both_lengths or event.http_version != b"1.1":
        return calls.RefusalReason.BAD_REQUEST
    return None


@interface.implementer(interfaces.IHalfCloseableProtocol)
class CallerConnection(protocol.Protocol, inbound.Caller, inbound.CallerSink):
    """One connection from a caller."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        receiver: inbound.RequestReceiver,
        held: send_queue.HeldBytes,
        callers: open_callers.OpenCallers,
    ) -> None:
        self._reactor = reactor
        self._receiver = receiver
        self._held = held
        self._callers = callers
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADERS_BYTES
        )
        self._request: inbound.IncomingRequest | None = None
        self._body = bytearray()
        self._reading_since_s: float | None = None
        self._handler: inbound.RequestHandler | None = None
        self._is_responding = False
        self._is_open = False
        self._must_close = False
        self._is_aborted = False
        self._read_ahead_bytes = 0
        self._timer: interfaces.IDelayedCall | None = None
        self._watch: caller_watch.CallerWatch
        self._queue: send_queue.SendQueue
        self._account: caller_account.CallerAccount
        self.end_reason: caller_ends.CallerEnd | None = None
        """Why the connection is closed, None while it is not."""

    # Connection

    def connectionMade(self) -> None:
        self._is_open = True
        sockets.set_caller_options(self.transport)
        self._watch = caller_watch.CallerWatch(
            self._reactor, self.transport, self._held.bounds, self._abort
        )
        self._queue = send_queue.SendQueue(self.transport, self._held, self)
        self._receiver.connection_opened(self)
        self._start_timer(self._receiver.limits.header_timeout_s)
        self._account = caller_account.CallerAccount(
            self._callers.budget, self._give_up, self._is_served
        )
        self._callers.add(self._account)

    def _is_served(self) -> bool:
        """Return whether the caller waits for this node."""
        return self._handler is not None and not self._queue.is_waiting

    def _give_up(self) -> None:
        """End the connection, as the node needs what it holds.

        A refusal keeps the connection until its caller has read it, so
        only a caller whose request has a head is told.
        """
        if not self._is_open:
            # It waits for its caller to take the last answer.
            self._is_aborted = True
            self.transport.abortConnection()
        elif self._request is not None:
            self._refuse(calls.RefusalReason.NODE_FULL)
        elif (
            self._is_busy
            or self._reading_since_s is not None
            or self._watch.unread_bytes
        ):
            self._abort(caller_ends.CallerEnd.NODE_FULL)
        else:
            self._close(caller_ends.CallerEnd.NODE_FULL)

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
        if self._handler is not None:
            return
        if self._reading_since_s is None and self._watch.unread_bytes:
            # The watch judges callers that have not read the answer yet.
            self._start_timer(self._receiver.limits.idle_timeout_s)
            return
        self._close(caller_ends.CallerEnd.IDLE)

    def _close(self, reason: caller_ends.CallerEnd) -> None:
        """Close once the caller has taken all data."""
        self._end_as(reason)
        self._queue.close(self._close_when_taken)

    def _close_when_taken(self) -> None:
        """Close for writing at once, and for reading when all has arrived.

        What a caller sends to a closed socket resets the connection, and
        the caller loses what it has not read.
        """
        self._watch.look()
        if not self._watch.unread_bytes:
            self.transport.loseConnection()
            return
        self.transport.loseWriteConnection()
        self._watch.expect_delivery(self._close_now)

    def _close_now(self, delivery: caller_ends.Delivery) -> None:
        """Close what was kept open for the caller; it may be closed."""
        if delivery.end is None:
            self.transport.loseConnection()

    def _abort(self, reason: caller_ends.CallerEnd) -> None:
        """Close at once; what is not sent is lost."""
        self._end_as(reason)
        self._is_aborted = True
        self.transport.abortConnection()

    def _end_as(self, reason: caller_ends.CallerEnd) -> None:
        self._is_open = False
        if self.end_reason is None or reason in caller_ends.FAILED_CALLERS:
            self.end_reason = reason

    @property
    def unread_bytes(self) -> int:
        return self._watch.unread_bytes

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read, answered or waiting."""
        waits = bool(self._http.trailing_data[0])
        is_reading = self._reading_since_s is not None
        return self._handler is None and not is_reading and not waits

    def close_idle(self) -> None:
        if not self.is_idle or not self._is_open:
            return
        if not sockets.has_unread_input(self.transport):
            self._close(caller_ends.CallerEnd.STOPPING)

    def hand_over(self) -> None:
        if not self._is_aborted and self.transport.connected:
            self._queue.hand_over()
            last_bytes.end(self.transport)

    def readConnectionLost(self) -> None:
        """Handle the end of what the caller sends: it has left.

        It may have taken the answer before; the closed socket can't tell.
        """
        self._watch.look()
        self.transport.connectionLost(failure.Failure(error.ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing; the refusal before has been sent."""

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        end = self.end_reason or caller_ends.CallerEnd.LEFT
        self._end_as(end)
        self._stop_timer()
        handler, self._handler = self._handler, None
        if handler is not None:
            handler.caller_left()
        self._watch.stop(end)
        self._callers.remove(self._account)
        # Objects that refer to each other are freed much later.
        self._http, self._body = _ENDED, bytearray()
        self._receiver.connection_closed(self)

    # send_queue.SendQueueUser

    def queue_filled(self) -> None:
        if self._handler is not None:
            self._handler.pause()

    def queue_emptied(self) -> None:
        if self._handler is not None:
            self._handler.resume()

    def queue_moved(self, is_paused: bool) -> None:
        self._watch.note_paused(is_paused)
        if not is_paused:
            self._account.note_moved()
            self._reactor.callLater(0, self._read_next)

    def queue_dropped(self) -> None:
        self._abort(caller_ends.CallerEnd.TOO_SLOW)

    # Reading

    def dataReceived(self, data: bytes) -> None:
        if not self._is_open:
            return
        if self._reading_since_s is None and not self._is_busy:
            self._begin_reading()
        self._account.note_read(len(data))
        if not self._is_open:
            return
        if self._is_busy:
            self._read_ahead_bytes += len(data)
            if self._read_ahead_bytes > MAX_READ_AHEAD_BYTES:
                self._abort(caller_ends.CallerEnd.MALFORMED)
                return
        try:
            self._http.receive_data(data)
            self._read()
        except h11.RemoteProtocolError as problem:
            self._refuse_malformed(problem)

    def _begin_reading(self) -> None:
        self._reading_since_s = self._reactor.seconds()
        self._start_timer(self._receiver.limits.header_timeout_s)

    @property
    def _is_busy(self) -> bool:
        """Return whether the next request waits for the last answer."""
        return self._handler is not None or self._queue.is_waiting

    def _read(self) -> None:
        while not self._is_busy and self._is_open:
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
        self._watch.look()
        headers = list(event.headers)
        problem = _find_head_problem(event, headers, self._receiver.limits)
        if problem is not None:
            self._refuse(problem)
            return
        arrived_s = self._reading_since_s
        if arrived_s is None:
            arrived_s = self._reactor.seconds()
        self._request = inbound.IncomingRequest(
            event.method, event.target, headers, arrived_s
        )
        self._body = bytearray()
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(
                status_code=100, headers=[]
            )
            self._write(continue_response)

    def _receive_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._receiver.limits.max_body_bytes:
            self._refuse(calls.RefusalReason.BODY_TOO_LARGE)

    def _receive_end(self) -> None:
        request = self._request
        if request is None:
            return
        request.body, self._body = bytes(self._body), bytearray()
        has_room = self._account.begin_request(
            request.headers,
            len(request.body),
            len(self._http.trailing_data[0]),
        )
        if not has_room:
            self._refuse(calls.RefusalReason.NODE_FULL)
        if not self._is_open:
            return
        self._request = None
        self._stop_timer()
        self._reading_since_s = None
        self._read_ahead_bytes = 0
        handler = self._receiver.receive(request, self)
        is_unanswered = self._http.our_state is h11.SEND_RESPONSE
        if self._is_open and (self._is_responding or is_unanswered):
            self._handler = handler

    def _refuse_malformed(self, problem: h11.RemoteProtocolError) -> None:
        if self._handler is not None or not self._is_open:
            self._abort(caller_ends.CallerEnd.MALFORMED)
            return
        reason = calls.RefusalReason.BAD_REQUEST
        if problem.error_status_hint == 431:
            reason = calls.RefusalReason.HEADERS_TOO_LARGE
        self._refuse(reason)

    def _refuse(self, reason: calls.RefusalReason) -> None:
        """Refuse the current request, and close the connection."""
        self._request = None
        self._body = bytearray()
        self._account.drop_read()
        self._must_close = True
        self._stop_timer()
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._receiver.refuse(self, reason)
        end = caller_ends.CallerEnd.MALFORMED
        if reason is calls.RefusalReason.NODE_FULL:
            end = caller_ends.CallerEnd.NODE_FULL
        self._linger(end)

    def _linger(self, end: caller_ends.CallerEnd) -> None:
        """Let the caller read the response before the connection is closed.

        Closing with unread data would reset the connection, and the caller
        could lose the response.
        """
        if not self.transport.connected:
            return
        self._end_as(end)
        self._queue.close(self.transport.loseWriteConnection)
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
            raise inbound.BrokenResponse(str(problem)) from problem
        self._watch.note_written(len(data))
        self._queue.write(data)

    def _break_off(self, problem: str) -> None:
        """Close the connection; nothing in this node waits for the caller."""
        handler = self._handler
        self.abort()
        if handler is not None:
            handler.response_broken(problem)

    def end(
        self, on_delivery: inbound.OnDelivery = inbound.ignore_delivery
    ) -> None:
        if self._is_open:
            self._write(h11.EndOfMessage())
        self._handler = None
        self._is_responding = False
        self._account.end_request()
        if not self._is_open:
            end = self.end_reason or caller_ends.CallerEnd.LEFT
            on_delivery(caller_ends.Delivery(end=end))
            return
        self._watch.expect_delivery(on_delivery)
        if self._must_close:
            return
        if self._http.our_state is not h11.DONE:
            self._close(caller_ends.CallerEnd.ANSWERED)
            return
        self._http.start_next_cycle()
        self._start_timer(self._receiver.limits.idle_timeout_s)
        self._reactor.callLater(0, self._read_next)

    def _read_next(self) -> None:
        """Process data that arrived while a request was being handled."""
        if not self._is_open or self._is_busy:
            return
        if self._http.trailing_data[0] and self._reading_since_s is None:
            self._begin_reading()
        try:
            self._read()
        except h11.RemoteProtocolError as problem:
            self._refuse_malformed(problem)

    def abort(self) -> None:
        self._handler = None
        if self._is_open:
            self._abort(caller_ends.CallerEnd.BROKEN_OFF)
