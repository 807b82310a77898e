"""Splits a stream of server-sent events."""

import dataclasses

MAX_ID_DIGITS = 18
MAX_EVENT_BYTES = 65536
"""An event holds only a few tokens, so a longer one is invalid."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """The bytes of an event, and its id or None."""

    data: bytes
    event_id: int | None

    @property
    def is_comment(self) -> bool:
        """Return whether the event holds nothing but comments."""
        lines = self.data.split(b"\n")
        return all(not line or line.startswith(b":") for line in lines)


class EventSplitter:
    """Splits received bytes into complete events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that they complete."""
        *complete, self._remainder = (self._remainder + data).split(b"\n\n")
        return [_parse_event(block + b"\n\n") for block in complete]


def _parse_event(data: bytes) -> Event:
    for line in data.split(b"\n"):
        name, _, value = line.partition(b":")
        text = value.strip()
        if name != b"id" or len(text) > MAX_ID_DIGITS:
            continue
        if text.isdigit():
            return Event(data, int(text))
    return Event(data, None)
