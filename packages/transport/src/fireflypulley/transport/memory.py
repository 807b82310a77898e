"""The memory that a node holds for callers and endpoints.

Whatever was read from one side and not yet taken by the other is counted
here, in either direction.  When it is too much, the holder that costs most
and moves least gives up first.
"""

import abc
import collections
import collections.abc
import enum
import math

from twisted.internet import interfaces

SCARCE_SHARE = 0.5
"""Of the bound; beyond it holders keep no more than they need to go on."""
LARGEST_SHARE = 0.125
"""Of what is left until memory is scarce, for one holder of many."""
MIN_SHARE_BYTES = 16 << 10
"""A short answer, which any holder may keep."""
MIN_IDLE_S = 0.1
"""So that of holders that have just moved the largest gives up first."""
AWAITED_SHARE = 0.01
"""Of the cost of one that has just moved: who waits for the node, and does
not keep it waiting, gives up last."""


class Use(enum.Enum):
    """What memory is held for."""

    CONNECTION = "connection"
    UPLOAD = "upload"
    """Of a request that is still being read."""
    REQUEST = "request"
    """The body of a request under way, which may be sent again."""
    ANSWER = "answer"
    """A part of an answer that no caller was sent yet."""
    CALLER = "caller"
    """What waits for a caller that reads slowly."""
    TUNNEL = "tunnel"


class Holder(abc.ABC):
    """Something that holds memory.

    ``held_bytes`` is how much, and ``moved_s`` when some of it last moved
    on, in the time of the reactor.
    """

    held_bytes: int = 0
    moved_s: float = 0.0

    @property
    def is_awaited(self) -> bool:
        """Return whether it does not move because the node works for it."""
        return False

    @abc.abstractmethod
    def give_up(self) -> None:
        """Release what is held, as the node needs the memory.

        What is released later counts as gone already; the holder is not
        asked again.
        """


_LetGiveUp = collections.abc.Callable[[Holder, float, int], None]


def _let_give_up(holder: Holder, still_s: float, bound_bytes: int) -> None:
    holder.give_up()


class MemoryBudget:
    """Counts what all holders of a node hold, and keeps it within a bound.

    ``let_give_up`` lets a holder do so that has stood still for some
    seconds; it gets the bound as well, to tell why.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        bound_bytes: int,
        let_give_up: _LetGiveUp = _let_give_up,
    ) -> None:
        self._reactor = reactor
        self._let_give_up = let_give_up
        self.bound_bytes = bound_bytes
        self.used_bytes: collections.Counter[Use] = collections.Counter()
        self.given_up = 0
        """How many holders had to give up."""
        self.callers_left: collections.abc.Callable[[], float]
        self.callers_left = lambda: math.inf
        """How much more may wait for callers before they are held up; what
        an answer holds goes there."""
        self._holders: set[Holder] = set()
        self._ending: set[Holder] = set()
        """Those that gave up and have not released all yet."""
        self._total_bytes = 0
        self._ending_bytes = 0

    @property
    def total_bytes(self) -> int:
        """Return what all holders hold that go on."""
        return self._total_bytes - self._ending_bytes

    @property
    def is_scarce(self) -> bool:
        """Return whether no more should be held than is needed."""
        return self.total_bytes > self.bound_bytes * SCARCE_SHARE

    def share_bytes(self, most_bytes: int) -> int:
        """Return how much a holder may keep that could go on without.

        The more others hold, the less; all get by, and nobody has to give
        up what it was allowed before.
        """
        left_bytes = self.bound_bytes * SCARCE_SHARE - self.total_bytes
        left_bytes = min(left_bytes, self.callers_left())
        share_bytes = max(MIN_SHARE_BYTES, left_bytes * LARGEST_SHARE)
        return int(min(most_bytes, share_bytes))

    def hold(self, holder: Holder, use: Use, size_bytes: int) -> None:
        """Count bytes that a holder keeps; let others give up if needed."""
        self._change(holder, use, size_bytes)
        if holder not in self._ending:
            self._holders.add(holder)
        while self.total_bytes > self.bound_bytes and self._holders:
            self.let_give_up(max(self._holders, key=self._cost))

    def release(self, holder: Holder, use: Use, size_bytes: int) -> None:
        """Count bytes that a holder no longer keeps."""
        self._change(holder, use, -size_bytes)
        if not holder.held_bytes:
            self._holders.discard(holder)
            self._ending.discard(holder)

    def note_moved(self, holder: Holder) -> None:
        """Record that some of what is held has moved on."""
        holder.moved_s = self._reactor.seconds()

    def _change(self, holder: Holder, use: Use, size_bytes: int) -> None:
        holder.held_bytes += size_bytes
        self.note_moved(holder)
        self.used_bytes[use] += size_bytes
        self._total_bytes += size_bytes
        if holder in self._ending:
            self._ending_bytes += size_bytes

    def find_stalest(
        self, holders: collections.abc.Iterable[Holder]
    ) -> Holder | None:
        """Return the one that has not moved for longest, None without any."""
        going_on = (one for one in holders if one in self._holders)
        return min(going_on, key=lambda one: one.moved_s, default=None)

    def let_give_up(self, holder: Holder) -> None:
        """Let a holder give up, unless it has been asked before."""
        if holder in self._ending:
            return
        self._holders.discard(holder)
        self._ending.add(holder)
        self._ending_bytes += holder.held_bytes
        self.given_up += 1
        still_s = self._reactor.seconds() - holder.moved_s
        self._let_give_up(holder, still_s, self.bound_bytes)

    def _cost(self, holder: Holder) -> float:
        """Return bytes times the seconds for which they have not moved."""
        if holder.is_awaited:
            return holder.held_bytes * MIN_IDLE_S * AWAITED_SHARE
        idle_s = self._reactor.seconds() - holder.moved_s
        return holder.held_bytes * max(MIN_IDLE_S, idle_s)
