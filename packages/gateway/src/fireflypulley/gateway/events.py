"""Splits a stream of server-sent events."""

import dataclasses
import re

MAX_ID_DIGITS = 18
MAX_EVENT_BYTES = 65536
"""An event holds only a few tokens, so a longer one is invalid."""

MAX_EVENT_PIECES = 1024
"""An endpoint that sends single bytes in chunks makes work that has no
relation to what it sends."""
MAX_COMMENTS = 1024
"""More comments and blank events in a row are no stream."""
_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
"""A blank line; lines end in any of the three ways, also in turns."""
_MAX_END_BYTES = 4
_LINES = re.compile(rb"\r\n|\n|\r")
_FIELDS = (b"id:", b"data:", b"event:")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """The bytes of an event, and its id or None.

    ``is_comment`` is whether it holds nothing but comments.
    """

    data: bytes
    event_id: int | None
    is_comment: bool


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

    def shows_event_after(self, followed_id: int | None) -> bool:
        """Return whether a part of an event after another has arrived.

        Comments and text that no event begins with show nothing.
        """
        lines = _LINES.split(bytes(self._remainder))
        begun_id = _parse_id(lines[:-1])
        if begun_id is not None and followed_id is not None:
            return begun_id > followed_id
        return any(line.startswith(_FIELDS) for line in lines)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that they complete.

        What was searched before is not searched again.
        """
        searched = max(0, len(self._remainder) - _MAX_END_BYTES + 1)
        self._remainder += data
        complete = []
        start = 0
        for end in _EVENT_END.finditer(self._remainder, searched):
            block = bytes(self._remainder[start : end.end()])
            complete.append(_parse_event(block))
            start = end.end()
        del self._remainder[:start]
        self.pieces = 0 if complete else self.pieces + 1
        return complete


def _parse_event(data: bytes) -> Event:
    lines = _LINES.split(data)
    is_comment = all(not line or line.startswith(b":") for line in lines)
    return Event(data, _parse_id(lines), is_comment)


def _parse_id(lines: list[bytes]) -> int | None:
    """Return the number that lines give; of several the last one counts."""
    event_id = None
    for line in lines:
        name, _, value = line.partition(b":")
        text = value.strip()
        if name != b"id" or len(text) > MAX_ID_DIGITS:
            continue
        if text.isdigit():
            event_id = int(text)
    return event_id
