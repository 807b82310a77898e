"""The search for a node that opens a tunnel to an endpoint."""

import collections.abc
import dataclasses
import typing

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.python import failure

from fireflypulley.core.gateway import peer_registry
from fireflypulley.nodes import streams

MAX_PEERS_TRIED = 4
ASK_BESIDE_S = 0.2
"""A peer that has not answered by then may hang; the next is asked too."""


class NothingOpened(Exception):
    """No peer has a way to the endpoint; the text says why."""


class FinalRefusal(error.ConnectError):
    """A peer's answer makes it useless to ask another one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Opened:
    """A stream whose tunnel is open; ``left_s`` if its node stops."""

    stream: streams.NodeStream
    left_s: float | None


_Order = collections.abc.Callable[[], list[peer_registry.NodeEntry]]
_Ask = collections.abc.Callable[
    [peer_registry.NodeEntry],
    collections.abc.Coroutine[typing.Any, typing.Any, Opened],
]


def start_of(peer: peer_registry.NodeEntry) -> tuple[str, int]:
    """Return what tells a start of a node from its others."""
    return peer.node_id, peer.started_ms


class Search:
    """Asks peers for one tunnel; the first that opens is taken.

    ``order`` returns the peers that may be asked now, the best first, and
    ``ask`` asks one of them.  While a peer lets the request wait, others
    are asked beside it, those too that may be asked only meanwhile.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        order: _Order,
        ask: _Ask,
    ) -> None:
        self._reactor = reactor
        self._order = order
        self._ask = ask
        self._asked: set[tuple[str, int]] = set()
        self._waiting = 0
        self._problems: list[str] = []
        self._timer: interfaces.IDelayedCall | None = None
        self._found: defer.Deferred[tuple[peer_registry.NodeEntry, Opened]] = (
            defer.Deferred()
        )

    async def run(self) -> tuple[peer_registry.NodeEntry, Opened]:
        """Return a tunnel and its peer; raise ``NothingOpened`` if none."""
        self._ask_next()
        try:
            return await self._found
        finally:
            self._stop_timer()

    def end(self, problem: Exception) -> None:
        """Give up, unless a tunnel is open."""
        if not self._found.called:
            self._found.errback(problem)

    def _ask_next(self) -> None:
        """Ask one more peer, and another one later if need be."""
        self._stop_timer()
        if self._found.called:
            return
        peer = self._next_peer()
        if peer is None and not self._waiting:
            text = "; ".join(self._problems) or "no peer to ask"
            self.end(NothingOpened(text))
            return
        self._timer = self._reactor.callLater(ASK_BESIDE_S, self._ask_next)
        if peer is not None:
            self._begin(peer)

    def _next_peer(self) -> peer_registry.NodeEntry | None:
        if len(self._asked) >= MAX_PEERS_TRIED:
            return None
        peers = self._order()
        return next((p for p in peers if start_of(p) not in self._asked), None)

    def _begin(self, peer: peer_registry.NodeEntry) -> None:
        self._asked.add(start_of(peer))
        self._waiting += 1
        asked = defer.ensureDeferred(self._ask(peer))
        asked.addCallbacks(
            self._opened, self._failed, (peer,), {}, (peer,), {}
        )
        asked.addErrback(self._found_error)

    def _opened(self, opened: Opened, peer: peer_registry.NodeEntry) -> None:
        self._waiting -= 1
        if self._found.called:
            opened.stream.close()
        else:
            self._found.callback((peer, opened))

    def _failed(
        self, reason: failure.Failure, peer: peer_registry.NodeEntry
    ) -> None:
        self._waiting -= 1
        reason.trap(error.ConnectError, error.ConnectionClosed)
        problem = f"{peer.node_id}: {reason.getErrorMessage()}"
        if reason.check(FinalRefusal):
            self.end(NothingOpened(problem))
            return
        self._problems.append(problem)
        self._ask_next()

    def _found_error(self, reason: failure.Failure) -> None:
        """Pass an unexpected error on to the request."""
        if not self._found.called:
            self._found.errback(reason)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
