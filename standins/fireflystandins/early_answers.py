"""Answers of a replica that come before it has read the request.

A fault mode is ``early-FRAMING-END``.  FRAMING is ``unframed``, ``length``
or ``chunks``.  END is ``close`` (half of the body, then closed in order),
``unread`` (the same, and nothing more of the request is read),
``finish`` (half of the body, then nothing more is sent while the connection
stays open for a while), ``reset`` (half of the body, then a reset) or
``whole`` (all of it, and the rest of the request is read).
"""

import typing

from twisted.internet import reactor

PREFIX = "early-"
RESET_AFTER_S = 0.02
"""Time for the half that was sent to arrive."""
STAYS_OPEN_S = 0.5
Head = typing.Callable[[dict[str, str], int | None], bytes]


def answer(
    transport: typing.Any,
    mode: str,
    fields: dict[str, str],
    body: bytes,
    write_head: Head,
) -> None:
    """Send the answer that a fault mode asks for, and end it."""
    framing, end = mode.removeprefix(PREFIX).split("-")
    part = body if end == "whole" else body[: len(body) // 2]
    length = len(body) if framing == "length" else None
    if framing == "chunks":
        fields = fields | {"Transfer-Encoding": "chunked"}
        last = b"0\r\n\r\n" if end == "whole" else b""
        part = b"%x\r\n%s\r\n%s" % (len(part), part, last)
    transport.write(write_head(fields, length) + part)
    if end == "unread":
        transport.pauseProducing()
    if end in ("close", "unread"):
        transport.loseConnection()
    elif end == "reset":
        reactor.callLater(RESET_AFTER_S, transport.abortConnection)
    elif end == "finish":
        transport.pauseProducing()
        transport.loseWriteConnection()
        reactor.callLater(STAYS_OPEN_S, transport.abortConnection)
