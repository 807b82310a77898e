"""An endpoint with long answers, which waits while its reader is slow.

The query of a request says what to answer: ``bytes`` in all, ``framing``
(``length``, ``chunks`` or ``none``, which ends with the connection) and
the size of each ``piece``.  On the routes of streams each piece is an
event.  A request without ``bytes`` is answered as by any replica.  A piece
is written only when the one before has left for the kernel.
"""

import collections.abc
import dataclasses
import urllib.parse

from twisted.internet import interfaces
from zope.interface import implementer

from fireflystandins import replica

PIECE_BYTES = 16 << 10
_Fields = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """What a request asks for."""

    size: int
    framing: str = "length"
    piece_bytes: int = PIECE_BYTES
    is_stream: bool = False

    def pieces(self) -> collections.abc.Iterator[bytes]:
        """Yield the body's pieces."""
        left = self.size
        number = 0
        while left > 0:
            number += 1
            length = min(self.piece_bytes, left)
            yield self._piece(number, length)
            left -= length

    def _piece(self, number: int, length: int) -> bytes:
        if not self.is_stream:
            return b"x" * length
        return b"id: %d\ndata: %s\n\n" % (number, b"x" * length)


def order_of(target: str) -> Order | None:
    """Return the order in a request's target, if there is one."""
    parts = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(parts.query))
    if "bytes" not in query:
        return None
    is_stream = target.startswith(replica.STREAM_PREFIXES)
    return Order(
        int(query["bytes"]),
        query.get("framing", "chunks" if is_stream else "length"),
        int(query.get("piece", PIECE_BYTES)),
        is_stream,
    )


@implementer(interfaces.IPullProducer)
class _Body:
    """Writes an answer's body whenever the transport has room."""

    def __init__(self, connection: "LongProtocol", order: Order) -> None:
        self._connection = connection
        self._pieces = order.pieces()

    def resumeProducing(self) -> None:
        piece = next(self._pieces, None)
        if piece is None:
            self._connection.end_long_answer()
        else:
            self._connection.write_piece(piece)

    def stopProducing(self) -> None:
        self._pieces = iter(())


class LongReplica(replica.Replica):
    """An endpoint that gives long answers."""

    def build_protocol(self) -> replica.ReplicaProtocol:
        return LongProtocol(self)


class LongProtocol(replica.ReplicaProtocol):
    """A connection to an endpoint that gives long answers."""

    _framing = ""

    def _respond(
        self, fault: str, identity_fields: _Fields, fields: _Fields
    ) -> None:
        if not self._answer_at_length(identity_fields):
            super()._respond(fault, identity_fields, fields)

    def _start_stream(
        self, fault: str, identity_fields: _Fields, fields: _Fields
    ) -> None:
        if not self._answer_at_length(identity_fields):
            super()._start_stream(fault, identity_fields, fields)

    def _answer_at_length(self, identity_fields: _Fields) -> bool:
        """Begin a long answer if the request asks for one."""
        assert self._request is not None
        order = order_of(self._request.target.decode())
        if order is None:
            return False
        if not self.transport.connected:
            return True
        self._framing = order.framing
        fields = dict(identity_fields)
        if order.is_stream:
            fields["Content-Type"] = "text/event-stream"
        if order.framing == "chunks":
            fields["Transfer-Encoding"] = "chunked"
        length = order.size if order.framing == "length" else None
        self.transport.write(replica.head(200, fields, length))
        self.transport.registerProducer(_Body(self, order), False)
        return True

    def write_piece(self, piece: bytes) -> None:
        """Write a piece of the body."""
        if self._framing == "chunks":
            piece = b"%x\r\n%s\r\n" % (len(piece), piece)
        self.transport.write(piece)

    def end_long_answer(self) -> None:
        """End the body, and go on with the next request."""
        self.transport.unregisterProducer()
        if self._framing == "none":
            self.transport.loseConnection()
            return
        if self._framing == "chunks":
            self.transport.write(b"0\r\n\r\n")
        self._read_next_request()
