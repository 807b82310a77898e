"""Splits a stream of server-sent events."""

import dataclasses

MAX_ID_DIGITS = 18
MAX_EVENT_BYTES = 65536
"""An event holds only a few tokens, so a longer one is invalid."""

MAX_EVENT_PIECES = 1024
"""An endpoint that sends single bytes in chunks makes work that has no
relation to what it sends."""
MAX_COMMENTS = 1024
"""More comments and blank events in a row are no stream."""
_EVENT_END = b"\n\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """The bytes of an event, and its id or None."""

    data: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Return whether the event holds nothing but comments."""
        return _is_comment(self.data)


class EventSplitter:
    """Splits received bytes into complete events."""

    def __init__(self) -> None:
        self._remainder = bytearray()
        self.pieces = 0
        """The number of calls of ``feed`` since the last complete event."""

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._remainder)

    @property
    def remainder_bytes(self) -> int:
        """Return the number of bytes after the last complete event."""
        return len(self._remainder)

    @property
    def has_begun_event(self) -> bool:
        """Return whether a part of an event has arrived, not a comment's."""
        return not _is_comment(self._remainder)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that they complete.

        What was searched before is not searched again.
        """
        searched = max(0, len(self._remainder) - 1)
        self._remainder += data
        complete = []
        start = 0
        while (end := self._remainder.find(_EVENT_END, searched)) >= 0:
            searched = end + len(_EVENT_END)
            block = bytes(self._remainder[start:searched])
            complete.append(_parse_event(block))
            start = searched
        del self._remainder[:start]
        self.pieces = 0 if complete else self.pieces + 1
        return complete


def _is_comment(data: bytes | bytearray) -> bool:
    """Return whether no line belongs to an event."""
    lines = data.split(b"\n")
    return all(not line or line.startswith(b":") for line in lines)


def _parse_event(data: bytes) -> Event:
    for line in data.split(b"\n"):
        name, _, value = line.partition(b":")
        text = value.strip()
        if name != b"id" or len(text) > MAX_ID_DIGITS:
            continue
        if text.isdigit():
            return Event(data, int(text))
    return Event(data, None)
