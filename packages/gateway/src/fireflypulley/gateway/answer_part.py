"""What has arrived of an endpoint's answer and its caller was not sent."""

import collections.abc

from fireflypulley.gateway import events
from fireflypulley.gateway import header_codec
from fireflypulley.transport import memory

MAX_HELD_BYTES = 1 << 20
"""Less while the node holds much; see ``memory``."""
FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})


def _do_nothing() -> None:
    """Hold nothing."""


class SentEvents:
    """The events that the caller was sent of one attempt's answer.

    ``first_id`` and ``last_id`` are None without any numbered one;
    ``count`` does not include comments.
    """

    def __init__(self) -> None:
        self.first_id: int | None = None
        self.last_id: int | None = None
        self.count = 0

    def note(self, event: events.Event) -> None:
        """Record an event that the caller gets."""
        self.count += not event.is_comment
        if event.event_id is None:
            return
        if self.first_id is None:
            self.first_id = event.event_id
        self.last_id = event.event_id


class Part(memory.Holder):
    """What has arrived of one attempt's answer and was not sent yet."""

    def __init__(
        self,
        budget: memory.MemoryBudget,
        on_give_up: collections.abc.Callable[[], None],
    ) -> None:
        self._budget = budget
        self._on_give_up = on_give_up
        self.status = 0
        self.headers: header_codec.Headers = []
        self.held: list[bytes] = []
        self.splitter = events.EventSplitter()
        self._begun_bytes = 0
        self.sent_events = SentEvents()

    @property
    def is_framed(self) -> bool:
        """Return whether the answer has a length or is chunked."""
        names = {name for name, _ in self.headers}
        return not names.isdisjoint(FRAMING_FIELDS)

    def hold(self, data: bytes) -> None:
        """Keep bytes until they are sent."""
        self.held.append(data)
        self._budget.hold(self, memory.Use.ANSWER, len(data))

    def count_begun(self) -> None:
        """Count the bytes of an event that is not complete yet."""
        change = self.splitter.remainder_bytes - self._begun_bytes
        self._begun_bytes += change
        if change > 0:
            self._budget.hold(self, memory.Use.ANSWER, change)
        elif change:
            self._budget.release(self, memory.Use.ANSWER, -change)

    def end_events(self) -> None:
        """Hold the rest of a stream that has ended, to be sent."""
        rest, self.splitter = self.splitter.remainder, events.EventSplitter()
        self.count_begun()
        if rest:
            self.hold(rest)

    @property
    def is_large(self) -> bool:
        """Return whether no more should be held."""
        return self.held_bytes > self._budget.share_bytes(MAX_HELD_BYTES)

    def take_held(self) -> bytes:
        """Return what is held, which is to be sent now."""
        held, self.held = self.held, []
        size_bytes = self.held_bytes - self._begun_bytes
        self._budget.release(self, memory.Use.ANSWER, size_bytes)
        return b"".join(held)

    def drop(self) -> None:
        """Drop what is held, as the caller won't get it."""
        self.take_held()

    def close(self) -> None:
        """Drop what is held, and who would be told to give it up."""
        self.drop()
        self.splitter = events.EventSplitter()
        self.count_begun()
        self._on_give_up = _do_nothing

    def give_up(self) -> None:
        self._on_give_up()
