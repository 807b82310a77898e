"""Finds answers to other requests inside the body of an answer.

An endpoint may send a second copy of an answer late, when the next answer
on the connection has begun.  Where that one has no length, or is written in
parts, the copy arrives as a piece of its body.
"""

import collections.abc
import re

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}[ \r]")
_STATUS_IN_VALUE = re.compile(rb"HTTP/1\.[01] [0-9]{3}(?: |$)")
_HEAD_END = b"\r\n\r\n"
MAX_HEAD_BYTES = 4096
"""Within this many bytes a copy names its request."""
_KEPT_BYTES = len(b"HTTP/1.1 200 ") - 1
"""The longest beginning of a status line that one read may end with."""


def is_joined(headers: collections.abc.Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a head is the beginning of one and the whole of another.

    A second answer that is cut off inside a field's value ends where the
    status line of the next answer begins.
    """
    return any(_STATUS_IN_VALUE.search(value) for _, value in headers)


class StrayAnswerFinder:
    """Searches a body for heads of answers to some requests.

    ``request_ids`` are those that the connection has carried.
    """

    def __init__(self, request_ids: collections.abc.Collection[str]) -> None:
        self._request_ids = request_ids
        self._tail = b""

    def feed(self, data: bytes) -> bool:
        """Add bytes of the body; return whether a head was found."""
        searched = self._tail + data
        for match in _STATUS_LINE.finditer(searched):
            head = searched[match.start() : match.start() + MAX_HEAD_BYTES]
            if self._names_request(head):
                return True
            is_cut = _HEAD_END not in head and len(head) < MAX_HEAD_BYTES
            if is_cut:
                self._tail = head
                return False
        self._tail = searched[-_KEPT_BYTES:]
        return False

    def _names_request(self, head: bytes) -> bool:
        """Return whether a complete line of a head names a request."""
        lines = head.partition(_HEAD_END)[0].split(b"\r\n")
        if _HEAD_END not in head:
            lines.pop()
        values = {line.partition(b":")[2].strip() for line in lines}
        return any(
            one.encode("latin-1") in values for one in self._request_ids if one
        )
