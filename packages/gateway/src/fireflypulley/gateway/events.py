"""Cuts a stream of server-sent events into whole events."""

import dataclasses

MAX_EVENT_BYTES = 65536
"""An event holds a few tokens."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """The bytes of a whole event and its id, None where it has none."""

    data: bytes
    event_id: int | None


class EventSplitter:
    """Takes bytes as they come and gives back whole events."""

    def __init__(self) -> None:
        self._remainder = b""

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._remainder

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes; return the events that are whole now."""
        *complete, self._remainder = (self._remainder + data).split(b"\n\n")
        return [_parse_event(block + b"\n\n") for block in complete]


def _parse_event(data: bytes) -> Event:
    for line in data.split(b"\n"):
        name, _, value = line.partition(b":")
        text = value.strip()
        if name == b"id" and text.isdigit():
            return Event(data, int(text))
    return Event(data, None)
