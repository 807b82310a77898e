"""Carries a connection as messages of a stream between two nodes.

An answer may end with its connection.  The system closes the sockets of a
process that ends, which looks like a close in order, so the close of a
connection through a tunnel is told by a message.
"""

import collections.abc
import typing

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from fireflypulley.nodes import messages
from fireflypulley.nodes import streams
from fireflypulley.transport import early_close
from fireflypulley.transport import memory
from fireflypulley.transport import peer_watch
from fireflypulley.transport import sockets

FEATURE = "tunnel-messages"
SINGLE_FEATURE = "tunnel-single"
"""A node that stops may open tunnels for one request each."""
COUNT_FEATURE = "tunnel-counts"
"""Nodes that compare what a connection took with what they sent."""
MAX_PIECE_BYTES = 16 << 10
"""Also of what is read at once, and waits in a transport for the other side:
a node may use hundreds of tunnels, and each side holds a few pieces."""
HELD_BYTES = 2 * MAX_PIECE_BYTES
"""What a tunnel takes at each of its nodes: a piece in the buffer of each
side."""

_OnClosing = collections.abc.Callable[[float | None], None]


def _ignore(carries_for_s: float | None) -> None:
    """Do nothing when the peer is stopping."""


def connect(
    reactor: interfaces.IReactorTime,
    stream: streams.NodeStream,
    user: protocol.Protocol,
    on_closing: _OnClosing = _ignore,
    budget: memory.MemoryBudget | None = None,
) -> bool:
    """Let a protocol use a stream whose tunnel is open.

    ``on_closing`` is called when the peer takes no further requests, with
    the time for which it still opens tunnels for single ones.  What the
    tunnel takes counts in the ``budget``.
    Return whether the end of its connection is told by a message, which
    older nodes don't do.
    """
    socket_transport = stream.transport
    socket_transport.bufferSize = MAX_PIECE_BYTES
    tells_end = stream.supports(FEATURE)
    if tells_end:
        held = None if budget is None else _TunnelMemory(budget, stream)
        transport = TunnelTransport(stream, user, on_closing, held)
        stream.set_owner(transport)
        user.makeConnection(transport)
    else:
        stream.hand_over(user)
    # A stream between nodes is given up if its peer does not read; in a
    # tunnel the other side reads as slowly as a caller behind it.
    peer_watch.PeerWatch(reactor, socket_transport)
    return tells_end


class _TunnelMemory(memory.Holder):
    """What a tunnel takes while it is open."""

    def __init__(
        self, budget: memory.MemoryBudget, stream: streams.NodeStream
    ) -> None:
        self._budget = budget
        self._stream = stream
        budget.hold(self, memory.Use.TUNNEL, HELD_BYTES)

    def note_moved(self) -> None:
        """Record that bytes were carried."""
        self._budget.note_moved(self)

    def close(self) -> None:
        """Count nothing any longer, as the stream is lost."""
        self._budget.release(self, memory.Use.TUNNEL, self.held_bytes)

    def give_up(self) -> None:
        self._stream.close()


class TunnelTransport(streams.StreamOwner):
    """The transport of a protocol that uses a stream."""

    bufferSize = MAX_PIECE_BYTES
    """The most that the protocol gets at once."""

    def __init__(
        self,
        stream: streams.NodeStream,
        user: protocol.Protocol,
        on_closing: _OnClosing,
        held: _TunnelMemory | None = None,
    ) -> None:
        self._stream = stream
        self._user: protocol.Protocol | None = user
        self._on_closing = on_closing
        self._sent_bytes = 0
        self._received_bytes = 0
        self._memory = held

    # The protocol's side

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self._note_moved()
        for start in range(0, len(data), MAX_PIECE_BYTES):
            piece = data[start : start + MAX_PIECE_BYTES]
            self._stream.send(messages.TunnelData(piece))
        self._sent_bytes += len(data)

    def _note_moved(self) -> None:
        if self._memory is not None:
            self._memory.note_moved()

    def loseConnection(self) -> None:
        """Close in order, after what was sent."""
        self._close(0)

    def close_early(self, unsent_bytes: int) -> None:
        """Tell that some of what was received has not been taken.

        An older node would take that for a close in order.
        """
        if self._stream.supports(COUNT_FEATURE):
            self._close(unsent_bytes)
        else:
            self._stream.close()

    def _close(self, unsent_bytes: int) -> None:
        if self._stream.ready:
            taken_bytes = self._received_bytes - unsent_bytes
            self._stream.send(messages.TunnelEnd(taken_bytes))
            self._stream.transport.loseConnection()

    def announce_closing(self, carries_for_s: float | None) -> None:
        """Tell the peer that no further request may be sent."""
        self._stream.send(messages.TunnelClosing(carries_for_s))

    def abortConnection(self) -> None:
        """Close at once."""
        self._stream.close()

    def registerProducer(
        self, producer: interfaces.IProducer, streaming: bool
    ) -> None:
        """Let a producer be paused while the stream takes no data."""
        self._stream.transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:
        """Forget the producer."""
        self._stream.transport.unregisterProducer()

    def pauseProducing(self) -> None:
        """Stop reading."""
        self._stream.transport.pauseProducing()

    def resumeProducing(self) -> None:
        """Continue to read."""
        self._stream.transport.resumeProducing()

    def stopProducing(self) -> None:
        """Do nothing; the protocol is told how its other side ended.

        Only then is it known whether to close in order.
        """

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Set the option of the stream's socket."""
        self._stream.transport.setTcpNoDelay(enabled)

    def getHandle(self) -> typing.Any:
        """Return the stream's socket."""
        return self._stream.transport.getHandle()

    # streams.StreamOwner

    def hello(self, purpose: messages.Purpose) -> messages.Hello:
        """Raise; a tunnel is open only after the handshake."""
        raise RuntimeError(f"handshake on an open tunnel: {purpose}")

    @property
    def features(self) -> tuple[str, ...]:
        """Return what the handshake has named already."""
        return (FEATURE, COUNT_FEATURE)

    def stream_up(self, stream: streams.NodeStream) -> None:
        """Do nothing; the stream was up before."""

    def stream_message(
        self, stream: streams.NodeStream, message: messages.Message
    ) -> None:
        if self._user is None:
            return
        if isinstance(message, messages.TunnelData):
            self._received_bytes += len(message.data)
            self._note_moved()
            self._user.dataReceived(message.data)
        elif isinstance(message, messages.TunnelEnd):
            self._lose(early_close.reason_of(self._unsent_bytes(message)))
            stream.close()
        elif isinstance(message, messages.TunnelClosing):
            self._on_closing(message.carries_for_s)
        else:
            stream.close()

    def stream_down(self, stream: streams.NodeStream) -> None:
        held, self._memory = self._memory, None
        if held is not None:
            held.close()
        self._lose(error.ConnectionLost("the tunnel broke off"))

    def _unsent_bytes(self, end: messages.TunnelEnd) -> int:
        """Return how much of what was sent did not reach the connection."""
        if end.taken_bytes is None:
            return sockets.unsent_bytes(self._stream.transport)
        return max(0, self._sent_bytes - end.taken_bytes)

    def _lose(self, reason: Exception) -> None:
        user, self._user = self._user, None
        if user is not None:
            user.connectionLost(failure.Failure(reason))
