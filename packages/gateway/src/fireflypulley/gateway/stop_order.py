"""The order of a node's stop."""

import abc
import enum

from twisted.internet import interfaces
from twisted.internet import task

from fireflypulley.gateway import background

BALANCER_DELAY_S = 3.0
"""Time after which the balancer sends no new callers to an unready node."""
ABORT_BEFORE_KILL_S = 0.5
CHECK_INTERVAL_S = 0.1


class StopState(enum.StrEnum):
    """How far a stop is; docs/design/STOPS.md has the table."""

    RUNNING = "running"
    ANNOUNCED = "announced"
    DRAINING = "draining"
    ENDED = "ended"


class StoppableNode(abc.ABC):
    """What a stop does to a node, in the order of the methods."""

    @abc.abstractmethod
    def announce_stop(self, ends_at_s: float) -> None:
        """Tell others; what is still open at ``ends_at_s`` is broken off."""

    @abc.abstractmethod
    def refuse_callers(self) -> None:
        """Accept no more callers, and close those that are idle.

        Called again for those that become idle.
        """

    @property
    @abc.abstractmethod
    def accepts_callers(self) -> bool:
        """Return whether callers can connect."""

    @property
    @abc.abstractmethod
    def is_in_use(self) -> bool:
        """Return whether a caller or another node still needs this one."""

    @abc.abstractmethod
    def end(self) -> None:
        """Break off what is still open, and let the process end."""


class StopOrder:
    """Takes a node from its notice to its end."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        grace_s: float,
        node: StoppableNode,
    ) -> None:
        self._reactor = reactor
        self._grace_s = grace_s
        self._node = node
        self._accepts_until_s = float("inf")
        self.state = StopState.RUNNING
        self.ends_at_s = float("inf")
        """When the node ends at the latest, infinite unless it stops."""
        self._loop = task.LoopingCall(
            background.guard(self._check, loop="stop")
        )
        self._loop.clock = reactor

    @property
    def has_begun(self) -> bool:
        """Return whether the node stops or has stopped."""
        return self.state is not StopState.RUNNING

    @property
    def accepts_requests(self) -> bool:
        """Return whether a request that arrives now may be served."""
        return self._reactor.seconds() < self._accepts_until_s

    def begin(self) -> None:
        """Begin the stop, unless it has begun."""
        if self.has_begun:
            return
        now_s = self._reactor.seconds()
        self.state = StopState.ANNOUNCED
        self._accepts_until_s = now_s + BALANCER_DELAY_S
        self.ends_at_s = now_s + self._grace_s - ABORT_BEFORE_KILL_S
        self._node.announce_stop(self.ends_at_s)
        self._loop.start(CHECK_INTERVAL_S, now=False)

    def _check(self) -> None:
        was_closed = not self._node.accepts_callers
        if not self.accepts_requests:
            # The end could interrupt the requests of later callers.
            self.state = StopState.DRAINING
            self._node.refuse_callers()
        # Callers may connect until the port is closed, so the node ends
        # at the earliest one check after that.
        is_done = was_closed and not self._node.is_in_use
        if is_done or self._reactor.seconds() >= self.ends_at_s:
            self.state = StopState.ENDED
            self._loop.stop()
            self._node.end()
