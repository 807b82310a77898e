"""Connections to endpoints: one request at a time, strict parsing."""

import abc
import collections
import collections.abc

import h11
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from zope import interface

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core import statuses
from fireflypulley.gateway import answer_progress
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import held_end
from fireflypulley.gateway import stray_answers
from fireflypulley.transport import early_close
from fireflypulley.transport import sockets

MAX_IDLE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.0
MAX_HEAD_BYTES = 65536
READ_BYTES = 65536
"""The most that a transport reads at once."""
SCARCE_READ_BYTES = 8192
"""The same while the node's memory is scarce: all that is read is held."""
REMEMBERED_REQUESTS = 64
MAX_PARTS_PER_TURN = 64
"""A chunk is a part, and so is a head.  An endpoint may send thousands of
them in one read; other connections get their turn between."""
MAX_INTERIM_ANSWERS = 64
MAX_DISCARDED_BYTES = 65536
DISCARD_TIMEOUT_S = 1.0
"""Time allowed to read the rest of a discarded response, in order to reuse
the connection."""


class ResponseListener(abc.ABC):
    """Receives the response to one request; no call follows its end."""

    @abc.abstractmethod
    def response_head(
        self, status: int, headers: header_codec.Headers
    ) -> None:
        """Called with the head of the response."""

    @abc.abstractmethod
    def response_data(self, data: bytes) -> None:
        """Called with a part of the body."""

    @abc.abstractmethod
    def response_end(self, end: answer_ends.AnswerEnd | None = None) -> None:
        """Called when the response is complete according to its framing.

        ``end`` is how its end was told, None if that is not known.
        """

    @abc.abstractmethod
    def response_failed(self, outcome: calls.Outcome, detail: str) -> None:
        """Called when the response can't become complete."""


class ConnectionPool(abc.ABC):
    """Manages the connections to one endpoint."""

    keep_alive_s = MAX_IDLE_S
    """How long the endpoint keeps idle connections, as far as it said."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return the reactor's time in seconds."""

    @abc.abstractmethod
    def call_later(
        self,
        delay_s: float,
        call: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> interfaces.IDelayedCall:
        """Schedule a call."""

    @abc.abstractmethod
    def begin_unframed(self, answering: "EndpointConnection") -> None:
        """Record that an answer has begun that only a close will end."""

    @abc.abstractmethod
    def count_close(self, doubt: answer_ends.Doubt | None) -> None:
        """Count an answer that a close ended, by why it is not believed."""

    @abc.abstractmethod
    def note_activity(self) -> None:
        """Record that the endpoint has sent data."""

    @abc.abstractmethod
    def count_unsolicited(self) -> None:
        """Count data that belongs to no request."""

    @abc.abstractmethod
    def check_alive(
        self,
        since_s: float,
        on_result: held_end.Verdict,
    ) -> None:
        """Find out whether the endpoint has been alive since a moment.

        ``on_result`` gets the reason to doubt it, None if there is none.
        """

    @abc.abstractmethod
    def count_losses(self) -> int:
        """Return how many connections to the endpoint were just lost."""

    @abc.abstractmethod
    def note_lost(self) -> None:
        """Record that a connection ended that should have gone on."""

    @abc.abstractmethod
    def release(self, connection: "EndpointConnection") -> None:
        """Return a connection that can take another request."""

    @abc.abstractmethod
    def remove(self, connection: "EndpointConnection") -> None:
        """Remove a closed connection."""


class _ResponseDiscarder(ResponseListener):
    """Reads and drops the rest of a response."""

    def __init__(self, connection: "EndpointConnection") -> None:
        self._connection = connection
        self._bytes = 0
        self._timer = connection.call_later(
            DISCARD_TIMEOUT_S, connection.abort
        )

    def response_head(
        self, status: int, headers: header_codec.Headers
    ) -> None:
        """Do nothing; the head has already been read."""

    def response_data(self, data: bytes) -> None:
        self._bytes += len(data)
        if self._bytes > MAX_DISCARDED_BYTES:
            self._stop()
            self._connection.abort()

    def response_end(self, end: answer_ends.AnswerEnd | None = None) -> None:
        # The connection returns itself to the pool.
        self._stop()

    def response_failed(self, outcome: calls.Outcome, detail: str) -> None:
        # Nothing waits for this response.
        self._stop()

    def _stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()


@interface.implementer(interfaces.IPullProducer)
class _FlushNotifier:
    """Notifies a connection when its transport has written all data."""

    def __init__(self, connection: "EndpointConnection") -> None:
        self._connection = connection

    def resumeProducing(self) -> None:
        self._connection.note_flushed()

    def stopProducing(self) -> None:
        """Do nothing; the connection is notified of its loss."""


class EndpointConnection(early_close.EarlyCloseProtocol):
    """A connection that carries one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._listener: ResponseListener | None = None
        self._is_flushed = True
        self._is_closed_early = False
        """Whether the endpoint closed before it had the whole request."""
        self._is_lost = False
        self._is_half_open = False
        """Whether the socket is kept while the end of an answer is held
        back, since a reset may follow the close."""
        self._is_open = False
        self._is_retired = False
        self._is_paused = False
        self._turn: interfaces.IDelayedCall | None = None
        """Set while parts that have arrived wait for the next turn."""
        self._interim_answers = 0
        self._answer = answer_progress.AnswerProgress()
        self._held_end: held_end.HeldEnd | None = None
        """Set while the end of an answer is held back."""
        self._keep_alive_s = pool.keep_alive_s
        self.idle_since_s = 0.0
        self.answered = 0
        self.peer = ""
        """The node that the connection leads through, "" if direct."""
        self.close_ends_answer = True
        """Whether an answer may end with a close in order.  Through a node
        that does not tell closes apart, any close may be a loss."""
        self.is_single = False
        """Whether it takes one request only."""
        self._request_ids: collections.deque[str]
        self._request_ids = collections.deque(maxlen=REMEMBERED_REQUESTS)
        self._stray_answers = stray_answers.StrayAnswerFinder(())

    def connectionMade(self) -> None:
        self._is_open = True

    @property
    def is_usable(self) -> bool:
        """Return whether an idle connection may take a request."""
        return self._is_open and self._http.our_state is h11.IDLE

    def has_carried(self, request_id: str) -> bool:
        """Return whether an attempt of a request was sent here before.

        A second answer to that attempt could pass for one to the next.
        """
        return request_id in self._request_ids

    @property
    def is_first_request(self) -> bool:
        """Return whether at most one request has been sent so far."""
        return self._answer.request_number <= 1

    @property
    def is_unused(self) -> bool:
        """Return whether no request has been sent so far."""
        return self._answer.request_number == 0

    @property
    def is_unframed(self) -> bool:
        """Return whether only a close tells the end of the answer."""
        return self._answer.is_unframed

    @property
    def is_ambiguous(self) -> bool:
        """Return whether a part of another answer may be in the answer."""
        return self._answer.is_ambiguous

    def is_stale(self, now_s: float) -> bool:
        """Return whether the endpoint might close the connection soon."""
        limit_s = min(MAX_IDLE_S, self._keep_alive_s - KEEP_ALIVE_MARGIN_S)
        return now_s - self.idle_since_s > limit_s

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: header_codec.Headers,
        body: bytes,
        listener: ResponseListener,
        request_id: str = "",
    ) -> None:
        """Send a complete request."""
        self._request_ids.append(request_id)
        self._answer.begin(method)
        self._listener = listener
        framed_headers = list(headers)
        if body or method not in (b"GET", b"HEAD", b"DELETE"):
            framed_headers.append((b"content-length", b"%d" % len(body)))
        request = h11.Request(
            method=method, target=target, headers=framed_headers
        )
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self._interim_answers = 0
        # A transport asks a pull producer for data when it is registered.
        self.transport.registerProducer(_FlushNotifier(self), False)
        self._is_flushed = False
        self.transport.write(data)

    def note_flushed(self) -> None:
        """Record that the request has been written completely."""
        if not self._is_flushed:
            self._is_flushed = True
            self.transport.unregisterProducer()

    def call_later(
        self, delay_s: float, call: collections.abc.Callable[[], None]
    ) -> interfaces.IDelayedCall:
        """Schedule a call."""
        return self._pool.call_later(delay_s, call)

    def discard_response(self) -> None:
        """Read and drop the rest of the response, then reuse or close."""
        self._listener = _ResponseDiscarder(self)
        if self._is_paused:
            self.resume()

    def read_little(self, is_little: bool) -> None:
        """Read less at once, or as much as usual.

        A tunnel reads little anyway.
        """
        if not self.peer and self._is_open:
            size_bytes = SCARCE_READ_BYTES if is_little else READ_BYTES
            self.transport.bufferSize = size_bytes

    def pause(self) -> None:
        """Stop reading while the caller accepts no data."""
        self._is_paused = True
        self._answer.note_pause(self._pool.now_s())
        if self._is_open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue to read in a later turn; see ``transport.reading``."""
        self._is_paused = False
        if self._turn is None:
            self._turn = self._pool.call_later(0.0, self._take_turn)

    def dataReceived(self, data: bytes) -> None:
        if not self._is_open:
            return
        if self._listener is None:
            # Data that no request asked for can't be attributed.
            self._pool.count_unsolicited()
            self.abort()
            return
        self._pool.note_activity()
        is_all = len(data) < self._read_bytes
        self._answer.note_read(is_all, self._pool.now_s())
        self._http.receive_data(data)
        self._read()

    @property
    def _read_bytes(self) -> int:
        """Return the most that the transport reads at once."""
        return int(getattr(self.transport, "bufferSize", READ_BYTES))

    def _read(self) -> None:
        """Handle what has arrived, the rest of it in later turns."""
        try:
            for _ in range(MAX_PARTS_PER_TURN):
                if self._listener is None:
                    return
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError as problem:
            self._fail(calls.Outcome.GARBAGE, str(problem))
            return
        if self._is_open and self._turn is None:
            self.transport.pauseProducing()
            self._turn = self._pool.call_later(0.0, self._take_turn)

    def _take_turn(self) -> None:
        """Go on with what has arrived, then read again."""
        self._turn = None
        if self._is_paused or not self._is_open:
            return
        self._read()
        if self._turn is None and self._is_open and not self._is_paused:
            self.transport.resumeProducing()

    def _handle_event(self, event: object) -> None:
        listener = self._listener
        if listener is None:
            return
        if isinstance(event, h11.Response):
            self._handle_head(listener, event)
        elif isinstance(event, h11.InformationalResponse):
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                detail = "interim answers without end"
                self._fail(calls.Outcome.GARBAGE, detail)
        elif isinstance(event, h11.Data):
            self._handle_body(listener, bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            if self.is_unframed:
                self._check_end()
            else:
                self._complete(listener)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(calls.Outcome.CUT, "closed before a response")

    def _handle_head(
        self, listener: ResponseListener, event: h11.Response
    ) -> None:
        headers = list(event.headers)
        if stray_answers.is_joined(headers):
            self._pool.count_unsolicited()
            self._fail(calls.Outcome.GARBAGE, "two heads in one")
            return
        if not statuses.is_final(event.status_code):
            detail = f"status {event.status_code}"
            self._fail(calls.Outcome.GARBAGE, detail)
            return
        self._answer.note_head(event.status_code, headers)
        if self._answer.is_unframed:
            self._pool.begin_unframed(self)
        self._note_keep_alive(headers)
        self._stray_answers = stray_answers.StrayAnswerFinder(
            self._request_ids
        )
        listener.response_head(event.status_code, headers)

    def _handle_body(self, listener: ResponseListener, data: bytes) -> None:
        if self._stray_answers.feed(data):
            self._pool.count_unsolicited()
            detail = "another answer inside the body"
            self._fail(calls.Outcome.GARBAGE, detail)
            return
        self._answer.body_bytes += len(data)
        listener.response_data(data)

    def _note_keep_alive(self, headers: header_codec.Headers) -> None:
        for name, value in headers:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, text = part.strip().partition(b"=")
                if key == b"timeout" and text.isdigit():
                    self._keep_alive_s = float(text)
                    self._pool.keep_alive_s = self._keep_alive_s

    def _complete(self, listener: ResponseListener) -> None:
        self._listener = None
        self.answered += 1
        has_extra = bool(self._http.trailing_data[0])
        if has_extra:
            self._pool.count_unsolicited()
        is_reusable = (
            self._is_open
            and not self._is_retired
            and not has_extra
            and self._is_flushed
            and self._http.our_state is h11.DONE
            and self._http.their_state is h11.DONE
        )
        if is_reusable:
            self._http.start_next_cycle()
            if self._is_paused:
                # The slow caller has all of it; the next one has to be read.
                self.resume()
        else:
            self.abort()
        listener.response_end(self._answer.end(self._pool.count_losses()))
        if is_reusable:
            self._pool.release(self)

    def _check_end(self) -> None:
        """Hold the end of an answer back that only a close has told.

        The system closes the connections of a process that ends, too.
        """
        if isinstance(self._listener, _ResponseDiscarder):
            self._fail(calls.Outcome.CUT, "nobody waits for the answer")
            return
        if self._is_closed_early:
            self._judge_end(answer_ends.Doubt.UNSENT)
            return
        since_s = self._answer.unread_since_s
        if since_s is None:
            since_s = self._pool.now_s()
        held = self._held_end = held_end.HeldEnd(
            self._pool.call_later(answer_ends.PROOF_TIMEOUT_S, self._end_late),
            self._judge_end,
        )
        self._pool.check_alive(since_s, held.judge)

    def _end_late(self) -> None:
        # If this node stood still, what has arrived is read first.
        held = self._held_end
        if held is not None:
            self._pool.call_later(0.0, held.judge, answer_ends.Doubt.LATE)

    def _judge_end(self, doubt: answer_ends.Doubt | None) -> None:
        """Believe the end of the answer, or not."""
        self._held_end = None
        if self._close_half_open():
            doubt = answer_ends.Doubt.UNSENT
        self._pool.count_close(doubt)
        listener = self._listener
        if listener is None:
            return
        if doubt is None:
            self._complete(listener)
            return
        answer = self._answer
        detail = (
            f"close after {answer.body_bytes} bytes of answer"
            f" {answer.request_number} of its connection: {doubt.value}"
        )
        self._fail(calls.Outcome.CUT, detail)

    def _fail(self, outcome: calls.Outcome, detail: str) -> None:
        listener, self._listener = self._listener, None
        self.abort()
        if listener is not None:
            listener.response_failed(outcome, detail)

    def retire(self) -> None:
        """Take no further request; close once the response has ended."""
        self._is_retired = True
        if self._listener is None:
            self.abort()

    def abort(self) -> None:
        """Close at once, so that the endpoint cancels the request."""
        self._listener = None
        held, self._held_end = self._held_end, None
        if held is not None:
            held.drop()
            self._close_half_open()
        if self._is_open:
            self._is_open = False
            self.transport.abortConnection()

    def readConnectionLost(self) -> None:
        if sockets.unsent_bytes(self.transport):
            super().readConnectionLost()
            return
        self._is_half_open = True
        self.connectionLost(failure.Failure(error.ConnectionDone()))
        if self._held_end is None:
            self._close_half_open()

    def _close_half_open(self) -> bool:
        """Close the socket if it was kept; return whether it was reset.

        Had it been closed earlier, the endpoint's system would say nothing.
        """
        if not self._is_half_open:
            return False
        self._is_half_open = False
        was_reset = early_close.was_reset(self.transport.getHandle())
        super().readConnectionLost()
        return was_reset

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self._is_lost:
            # The half that was kept is gone, too.
            self._is_half_open = False
            return
        self._is_lost = True
        was_open, self._is_open = self._is_open, False
        self._is_closed_early = self._tells_early_close(reason)
        self._pool.remove(self)
        if was_open and not self._ends_with_answer(reason):
            self._note_lost(reason)
        if self._listener is None:
            return
        is_told = reason.check(error.ConnectionDone) and self.close_ends_answer
        if is_told or self._is_closed_early:
            self._finish_on_close()
        else:
            self._fail(calls.Outcome.CUT, reason.getErrorMessage())

    def _tells_early_close(self, reason: failure.Failure) -> bool:
        """Return whether the endpoint gave up before it had the request."""
        if reason.check(early_close.ClosedEarly):
            return True
        is_done = reason.check(error.ConnectionDone) is not None
        return is_done and not self._is_flushed

    def _ends_with_answer(self, reason: failure.Failure) -> bool:
        """Return whether a close is what tells the end of an answer."""
        if self._listener is None or self._is_closed_early:
            return False
        if not reason.check(error.ConnectionDone):
            return False
        has_head = self._http.their_state is h11.SEND_BODY
        return has_head and self.is_unframed

    def _note_lost(self, reason: failure.Failure) -> None:
        """Record the loss, unless it may be that of the peer between."""
        is_told = reason.check(error.ConnectionDone, early_close.ClosedEarly)
        if not self.peer or is_told:
            self._pool.note_lost()

    def _finish_on_close(self) -> None:
        """Finish a response that is delimited by the close."""
        try:
            self._http.receive_data(b"")
        except h11.RemoteProtocolError as problem:
            self._fail(calls.Outcome.CUT, str(problem))
            return
        try:
            while self._listener is not None and self._held_end is None:
                event = self._http.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                self._handle_event(event)
        except h11.RemoteProtocolError as problem:
            self._fail(calls.Outcome.CUT, str(problem))
        if self._listener is not None and self._held_end is None:
            self._fail(calls.Outcome.CUT, "closed during a response")
