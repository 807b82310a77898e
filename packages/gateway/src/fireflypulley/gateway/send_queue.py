"""Bytes that wait until a caller takes more."""

import collections
import collections.abc
import typing

from twisted.internet import interfaces
from zope import interface

from fireflypulley.core.gateway import caller_ends
from fireflypulley.transport import last_bytes
from fireflypulley.transport import memory
from fireflypulley.transport import sockets

MAX_PIECE_BYTES = 16384
TRANSPORT_BYTES = 32768
"""The transport asks for a pause once it holds more than this."""
SCARCE_TRANSPORT_BYTES = 8192
"""The same while the node's memory is scarce."""

_Call = collections.abc.Callable[[], None]


class HeldBytes:
    """The bytes that wait for all callers of a node.

    ``budget`` is that of the node, which counts what its transports hold
    too.
    """

    def __init__(
        self,
        bounds: caller_ends.CallerBounds,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self.bounds = bounds
        self.budget = budget
        self._queues: set[SendQueue] = set()
        self.total_bytes = 0

    @property
    def is_scarce(self) -> bool:
        """Return whether callers get no more than they need to go on."""
        if self.budget is not None and self.budget.is_scarce:
            return True
        return self.left_bytes < 0

    @property
    def left_bytes(self) -> float:
        """Return how much more may wait before callers are held at once."""
        return self.bounds.total_held_bytes / 2 - self.total_bytes

    @property
    def caller_bytes(self) -> int:
        """Return how much may wait for one caller."""
        if self.is_scarce:
            return 0
        if self.budget is None:
            return self.bounds.held_bytes
        return self.budget.share_bytes(self.bounds.held_bytes)

    def add(self, queue: "SendQueue", size_bytes: int) -> None:
        """Record bytes that wait, and drop what costs most if too many."""
        self._queues.add(queue)
        self.total_bytes += size_bytes
        while self.total_bytes > self.bounds.total_held_bytes:
            max(self._queues, key=_held_bytes).drop()

    def remove(self, queue: "SendQueue", size_bytes: int) -> None:
        """Record bytes that no longer wait."""
        self.total_bytes -= size_bytes
        if not queue.held_bytes:
            self._queues.discard(queue)


def _held_bytes(queue: "SendQueue") -> int:
    return queue.held_bytes


class _CallerMemory(memory.Holder):
    """What a queue and its transport hold, in the node's budget."""

    def __init__(self, held: HeldBytes, give_up: _Call) -> None:
        self._held = held
        self._give_up = give_up

    def count(self, size_bytes: int) -> None:
        """Count that much, and no longer what was counted before."""
        budget, change = self._held.budget, size_bytes - self.held_bytes
        if budget is None or not change:
            return
        if change > 0:
            budget.hold(self, memory.Use.CALLER, change)
        else:
            budget.release(self, memory.Use.CALLER, -change)

    def give_up(self) -> None:
        self._give_up()


class SendQueueUser(typing.Protocol):
    """Who writes to a queue."""

    def queue_filled(self) -> None:
        """Called when no more should be written for now."""

    def queue_emptied(self) -> None:
        """Called when more may be written again."""

    def queue_moved(self, is_paused: bool) -> None:
        """Called when the transport takes no more bytes, or more again."""

    def queue_dropped(self) -> None:
        """Called when what waited was dropped, as the costliest."""


@interface.implementer(interfaces.IPushProducer)
class SendQueue:
    """What waits for one caller; an answer that fits is taken in whole.

    The user is asked to pause once ``bounds.held_bytes`` wait, or any while
    the node's callers hold half of what they may hold together, or the
    node's memory is scarce.
    """

    def __init__(
        self, transport: typing.Any, held: HeldBytes, user: SendQueueUser
    ) -> None:
        self._transport = transport
        self._held = held
        self._user = user
        self._pieces: collections.deque[bytes] = collections.deque()
        self._is_paused = False
        self._is_full = False
        self._close_transport: _Call | None = None
        self._is_dropped = False
        self.held_bytes = 0
        self._memory = _CallerMemory(held, self.drop)
        transport.bufferSize = TRANSPORT_BYTES
        transport.registerProducer(self, True)

    @property
    def is_waiting(self) -> bool:
        """Return whether the transport takes nothing for now."""
        return self._is_paused

    def write(self, data: bytes) -> None:
        """Send bytes, now or once the caller takes more."""
        if self._is_dropped:
            return
        self._transport.bufferSize = TRANSPORT_BYTES
        if self._held.is_scarce:
            self._transport.bufferSize = SCARCE_TRANSPORT_BYTES
        for start in range(0, len(data), MAX_PIECE_BYTES):
            piece = data[start : start + MAX_PIECE_BYTES]
            if not self._is_paused:
                self._transport.write(piece)
                continue
            self._pieces.append(piece)
            self.held_bytes += len(piece)
            self._held.add(self, len(piece))
            if self._is_dropped:
                return
        self._count()
        self._check_full()

    def _count(self) -> None:
        """Count what waits here and in the transport."""
        transport_bytes = 0
        if self._is_paused:
            transport_bytes = sockets.kept_bytes(self._transport)
        self._memory.count(self.held_bytes + transport_bytes)

    def _check_full(self) -> None:
        if self._is_dropped or self._is_full:
            return
        if self.held_bytes > self._held.caller_bytes:
            self._is_full = True
            self._user.queue_filled()

    def pauseProducing(self) -> None:
        self._is_paused = True
        self._user.queue_moved(True)

    def resumeProducing(self) -> None:
        self._is_paused = False
        while self._pieces and not self._is_paused:
            piece = self._pieces.popleft()
            self.held_bytes -= len(piece)
            self._held.remove(self, len(piece))
            self._transport.write(piece)
        self._count()
        if self._is_paused or self._is_dropped:
            return
        self._user.queue_moved(False)
        if self._close_transport is not None:
            self._finish_close(self._close_transport)
        elif self._is_full:
            self._is_full = False
            self._user.queue_emptied()

    def stopProducing(self) -> None:
        """Forget what waits; the connection is lost."""
        self._clear()

    def close(self, close_transport: _Call) -> None:
        """Call a method that closes the transport once nothing waits."""
        self._close_transport = close_transport
        if not self._pieces:
            self._finish_close(close_transport)

    def _finish_close(self, close_transport: _Call) -> None:
        self._transport.unregisterProducer()
        self._memory.count(0)
        close_transport()

    def hand_over(self) -> None:
        """Give what waits to the kernel, as far as it takes it."""
        if self._is_dropped:
            return
        waiting = b"".join(self._pieces)
        self._clear()
        last_bytes.make_room(
            self._transport, len(waiting) + TRANSPORT_BYTES + MAX_PIECE_BYTES
        )
        self._transport.write(waiting)
        last_bytes.write_out(self._transport)

    def drop(self) -> None:
        """Drop what waits, so that the answer can't become complete."""
        self._is_dropped = True
        self._clear()
        self._user.queue_dropped()

    def _clear(self) -> None:
        size_bytes, self.held_bytes = self.held_bytes, 0
        self._pieces.clear()
        self._held.remove(self, size_bytes)
        self._memory.count(0)
