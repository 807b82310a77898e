"""Splits an SSE stream into events without parsing their data."""

import enum

DELIMITER = b"\n\n"
DONE = b"data: [DONE]"
MAX_FRAME_BYTES = 1 << 20
_FINISH = b'"finish_reason":'
_NO_FINISH = (b'"finish_reason":null', b'"finish_reason": null')


class State(enum.Enum):
    """State of a stream after the bytes read so far."""

    OPEN = "open"
    COMPLETE = "whole"
    INVALID = "garbage"


class FrameReader:
    """Splits the answer to one attempt into events.

    Every event must contain the attempt's id.  The event with the finish
    reason is held back until the end marker (``DONE``) arrives: if the
    stream broke off between the two, the caller would get a second finish
    reason from the next attempt.
    """

    def __init__(self, attempt_id: str) -> None:
        self._id = attempt_id.encode()
        self._tail = b""
        self._held: list[bytes] = []
        self.state = State.OPEN

    def feed(self, data: bytes) -> list[bytes]:
        """Append received bytes; return the events completed by them."""
        data = self._tail + data if self._tail else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(DELIMITER)
        if end < 0:
            self._tail = data
            if len(data) > MAX_FRAME_BYTES:
                self.state = State.INVALID
            return []
        self._tail = data[end + 2 :]
        return self._split(data[:end])

    def _split(self, block: bytes) -> list[bytes]:
        events: list[bytes] = []
        for frame in block.split(DELIMITER):
            if self.state is not State.OPEN:
                break
            if self._id in frame:
                if _FINISH in frame and not any(
                    mark in frame for mark in _NO_FINISH
                ):
                    self._held.append(frame)
                else:
                    events.append(frame)
            elif frame == DONE:
                self.state = State.COMPLETE
                events += self._held
            elif frame and not frame.startswith(b":"):
                self.state = State.INVALID
        return events
