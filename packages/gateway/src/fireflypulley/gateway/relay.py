"""Forwards responses to callers, event by event or as a whole.

The head is held back until a part of the body can be sent with it, because
another endpoint can be tried until the head has been sent.
"""

import collections.abc

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import answer_part
from fireflypulley.gateway import events
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.transport import memory

BAD_GATEWAY = 502
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses from which callers conclude that the request did not run."""


def _content_type(headers: header_codec.Headers) -> bytes:
    """Return the media type of a body, without its parameters."""
    value = dict(headers).get(b"content-type", b"")
    return value.partition(b";")[0].strip().lower()


class InvalidStream(ValueError):
    """Raised for bytes that can't continue the stream.

    ``outcome`` is what they say of the attempt.
    """

    def __init__(
        self, text: str, outcome: calls.Outcome = calls.Outcome.GARBAGE
    ) -> None:
        super().__init__(text)
        self.outcome = outcome


class ResponseRelay:
    """The response to one request, from one endpoint or several.

    Several attempts may be under way; the caller gets what arrives of the
    one whose ``part`` is in use.
    """

    def __init__(
        self,
        codec: header_codec.HeaderCodec,
        sink: inbound.CallerSink,
        budget: memory.MemoryBudget,
    ) -> None:
        self._header_codec = codec
        self._budget = budget
        self._sink: inbound.CallerSink | None = sink
        self._headers: header_codec.Headers = []
        self._sent_status = 0
        self._content_type = b""
        self._has_unnumbered = False
        self._comments = 0
        self._missing_after: int | None = None
        """How many events the caller had when a run showed that there is
        another one and did not give it, None if none ever did."""
        self._part = answer_part.Part(budget, self.send_held)
        self.is_contested = False
        """Whether another attempt may still serve the caller, so that
        comments are held until an event decides."""
        self.is_stream = False
        self.head_sent = False
        self.caller_has: int | None = None
        """The event that the caller asks to go on after, None if none."""
        self.last_event_id: int | None = None
        self.event_count = 0
        """The events, without comments, that the caller was sent."""

    @property
    def status(self) -> int:
        """Return the status of the response, 0 before its head."""
        return self._sent_status if self.head_sent else self._part.status

    @property
    def is_finished(self) -> bool:
        """Return whether the response has ended or the caller has left."""
        return self._sink is None

    @property
    def may_continue(self) -> bool:
        """Return whether another answer may follow what the caller has.

        Only a stream goes on, after the last event that it has.  Events
        without ids can't be told from those of another run.
        """
        if not self.head_sent:
            return True
        return self._sends_events and not self._has_unnumbered

    @property
    def _sends_events(self) -> bool:
        """Return whether the caller has the head of a stream of events."""
        return self._is_event_status(self._sent_status)

    def is_event_stream(self, part: answer_part.Part) -> bool:
        """Return whether an attempt's answer consists of events."""
        return self._is_event_status(part.status)

    def _is_event_status(self, status: int) -> bool:
        return self.is_stream and status < 300

    def start_attempt(
        self, on_give_up: collections.abc.Callable[[], None] | None = None
    ) -> answer_part.Part:
        """Use a new part; return it.

        ``on_give_up`` is called when the node needs the memory, in place
        of sending what the part holds.
        """
        self._part = answer_part.Part(
            self._budget, on_give_up or self.send_held
        )
        return self._part

    def use(self, part: answer_part.Part, is_contested: bool) -> None:
        """Let the caller get what arrives of an attempt."""
        self._part = part
        self.is_contested = is_contested

    def find_head_problem(
        self,
        status: int,
        response: header_codec.ResponseMetadata,
        request_id: str,
    ) -> str:
        """Return why a head can't belong to this request, or ""."""
        if response.request_id != request_id:
            return f"answer to another request {response.request_id!r}"
        if status < 300 and not response.sealed:
            return "answer without a seal"
        if response.encoded:
            return "encoded body"
        if self.head_sent and status != self._sent_status:
            return f"status {status} when resuming"
        return ""

    def find_type_problem(self, headers: header_codec.Headers) -> str:
        """Return why a body can't go on what the caller has got, or ""."""
        if self.head_sent and _content_type(headers) != self._content_type:
            return f"{_content_type(headers)!r} when resuming"
        return ""

    def set_head(
        self,
        part: answer_part.Part,
        status: int,
        headers: header_codec.Headers,
    ) -> None:
        """Set the head of an attempt's answer."""
        part.status = status
        part.headers = list(headers)

    def receive_data(self, data: bytes) -> bool:
        """Process body bytes; return whether they complete an event.

        Raise ``InvalidStream`` if the stream can't continue.
        """
        if self.is_finished:
            return False
        if self.is_event_stream(self._part):
            return self._receive_events(data)
        self._part.hold(data)
        if self.head_sent or self._part.is_large:
            self._flush()
        return False

    def send_held(self) -> None:
        """Send what is held of the part in use."""
        if self._part.held:
            self._flush()

    def _receive_events(self, data: bytes) -> bool:
        complete = self._part.splitter.feed(data)
        self._part.count_begun()
        count = self.event_count
        try:
            for event in complete:
                self._queue(event)
            self._check_begun()
        except InvalidStream:
            # A resumed stream goes on after the last event that counts,
            # so the caller must get all up to it.
            self._note_later(complete)
            self._flush_events(count)
            raise
        if complete:
            self._flush_events(count)
        return bool(complete)

    def _note_later(self, complete: list[events.Event]) -> None:
        """Record an event that came with those that can't be passed on."""
        followed_id = self._followed_id
        if followed_id is None:
            return
        if any((one.event_id or 0) > followed_id for one in complete):
            self._missing_after = self.event_count

    def _check_begun(self) -> None:
        """Check what has arrived of an event that is not complete."""
        splitter = self._part.splitter
        if splitter.remainder_bytes > events.MAX_EVENT_BYTES:
            raise InvalidStream("an event without end")
        if splitter.pieces > events.MAX_EVENT_PIECES:
            raise InvalidStream("an event in too many pieces")

    def _flush_events(self, count_before: int) -> None:
        """Send what is held, unless comments alone have arrived.

        While it is open which run the answer comes from they wait.
        """
        has_event = self.event_count > count_before
        may_change = self.is_contested or self._awaits_proof
        if self._part.held and (has_event or not may_change):
            self._flush()

    @property
    def _awaits_proof(self) -> bool:
        """Return whether a run has yet to go on after the caller's event."""
        return self.caller_has is not None and self.last_event_id is None

    def note_unfinished(self, part: answer_part.Part) -> None:
        """Record that a run has not sent all, as far as its events show."""
        if not self.is_event_stream(part):
            return
        if part.splitter.shows_event_after(self._followed_id):
            self._missing_after = self.event_count

    @property
    def lacks_event(self) -> bool:
        """Return whether a run has shown an event that the caller lacks."""
        return self._missing_after == self.event_count

    def find_end_problem(self, part: answer_part.Part) -> str:
        """Return why an answer that has ended was broken off, or "".

        A stream that only the end of its connection delimits may have
        been broken off before its first event.
        """
        if not self.is_event_stream(part):
            return ""
        if part.splitter.remainder.strip():
            return "ended inside an event"
        if not (part.sent_events.count or part.is_framed):
            return "ended before an event"
        return ""

    @property
    def _followed_id(self) -> int | None:
        """Return the event that the next one has to follow, None if any."""
        if self.last_event_id is None:
            return self.caller_has
        return self.last_event_id

    def _queue(self, event: events.Event) -> None:
        self._comments = self._comments + 1 if event.is_comment else 0
        if self._comments > events.MAX_COMMENTS:
            raise InvalidStream("comments without end")
        last_id, new_id = self._followed_id, event.event_id
        if new_id is not None:
            if last_id is not None and new_id != last_id + 1:
                if new_id > last_id:
                    self._missing_after = self.event_count
                text = f"event {new_id} after {last_id}"
                raise InvalidStream(text, self._outcome_of_gap())
            self.last_event_id = new_id
        elif last_id is not None and not event.is_comment:
            text = f"event without an id after {last_id}"
            raise InvalidStream(text, self._outcome_of_gap())
        elif not event.is_comment:
            self._has_unnumbered = True
        self.event_count += not event.is_comment
        self._part.sent_events.note(event)
        self._part.hold(event.data)

    def _outcome_of_gap(self) -> calls.Outcome:
        """Return what an event that does not follow says of its attempt.

        What the caller says it has may be wrong as well.
        """
        if self.last_event_id is None:
            return calls.Outcome.UNRELATED
        return calls.Outcome.GARBAGE

    def _flush(self) -> None:
        if self._sink is None:
            self._part.drop()
            return
        self._send_head(self._sink)
        self._sink.data(self._part.take_held())

    def _send_head(self, sink: inbound.CallerSink) -> None:
        if self.head_sent:
            return
        status = self._sent_status = self._part.status
        self._headers = self._part.headers
        self._content_type = _content_type(self._headers)
        self.head_sent = True
        status_unchanged = status not in NOT_EXECUTED_STATUSES
        if not status_unchanged:
            # The endpoint did not state that the request was not executed,
            # so the caller must not conclude it from the status.
            status = BAD_GATEWAY
        headers = self._header_codec.caller_headers(
            self._headers, status_unchanged
        )
        sink.head(status, headers + self._framing())

    def _framing(self) -> header_codec.Headers:
        """Return the fields that delimit the body.

        The run that a stream goes on with may be longer or shorter than
        the first one said.  Of an answer with both fields the chunks count.
        """
        fields = dict(self._headers)
        length = fields.get(b"content-length")
        is_chunked = b"transfer-encoding" in fields
        if self._sends_events or is_chunked or length is None:
            return [(b"transfer-encoding", b"chunked")]
        return [(b"content-length", length)]

    def finish(self, on_delivery: inbound.OnDelivery) -> None:
        """Send what is held, and end the response.

        ``on_delivery`` is told whether all of it has reached the caller.
        """
        self._part.end_events()
        self._flush()
        sink = self.detach()
        if sink is not None:
            sink.end(on_delivery)

    def refuse(self, status: int, headers: header_codec.Headers) -> None:
        """Send a response made by this node."""
        sink = self.detach()
        if sink is not None:
            sink.head(status, [*headers, (b"content-length", b"0")])
            sink.end()

    def abort(self) -> None:
        """Abort the response, so that the caller sees it as incomplete."""
        sink = self.detach()
        if sink is not None:
            sink.abort()

    def detach(self) -> inbound.CallerSink | None:
        """Stop sending to the caller; return its sink, if still open."""
        sink, self._sink = self._sink, None
        return sink
