"""What a connection knows of the answer that it reads."""

from fireflypulley.core.gateway import answer_ends
from fireflypulley.gateway import header_codec

BODILESS_STATUSES = frozenset({204, 304})


class AnswerProgress:
    """The framing and the size of an answer, and its place.

    ``request_number`` is 1 for the first request of the connection, 0
    before it.  ``unread_since_s`` is when reading was first paused, None if
    it never was, or has caught up since.
    """

    def __init__(self) -> None:
        self.request_number = 0
        self.unread_since_s: float | None = None
        self._dry_s: float | None = None
        """When all had been read after a pause, None if it was not."""
        self.body_bytes = 0
        self._method = b""
        self._framing = answer_ends.Framing.NO_BODY

    def begin(self, method: bytes) -> None:
        """Await the answer to the next request."""
        self.request_number += 1
        self.unread_since_s = self._dry_s = None
        self._method = method
        self._framing = answer_ends.Framing.NO_BODY

    def note_head(self, status: int, headers: header_codec.Headers) -> None:
        """Record the head of the answer."""
        self._framing = _framing_of(self._method, status, headers)
        self.body_bytes = 0

    def note_read(self, is_all: bool, now_s: float) -> None:
        """Record that bytes were read; ``is_all`` if no more had arrived.

        A close that had arrived in the pause follows all bytes at once.
        """
        if self.unread_since_s is None:
            return
        if self._dry_s is None:
            self._dry_s = now_s if is_all else None
        elif now_s > self._dry_s + answer_ends.SETTLE_S:
            self.unread_since_s = self._dry_s = None

    def note_pause(self, now_s: float) -> None:
        """Record that nothing is read for a while."""
        self._dry_s = None
        if self.unread_since_s is None:
            self.unread_since_s = now_s

    @property
    def is_unframed(self) -> bool:
        """Return whether only a close tells the end of the answer."""
        return self._framing is answer_ends.Framing.CLOSE

    @property
    def is_ambiguous(self) -> bool:
        """Return whether a part of another answer may be in the answer.

        A second answer to an earlier request of the connection, cut off
        anywhere, looks like a part of a body without a length.
        """
        return self.is_unframed and self.request_number > 1

    def end(self, lost_beside: int) -> answer_ends.AnswerEnd:
        """Return how the end of the answer was told."""
        return answer_ends.AnswerEnd(
            self._framing, self.body_bytes, self.request_number, lost_beside
        )


def _framing_of(
    method: bytes, status: int, headers: header_codec.Headers
) -> answer_ends.Framing:
    """Return what tells where the body of an answer ends."""
    if method == b"HEAD" or status in BODILESS_STATUSES:
        return answer_ends.Framing.NO_BODY
    names = {name for name, _ in headers}
    if b"transfer-encoding" in names:
        return answer_ends.Framing.CHUNKS
    if b"content-length" in names:
        return answer_ends.Framing.LENGTH
    return answer_ends.Framing.CLOSE
