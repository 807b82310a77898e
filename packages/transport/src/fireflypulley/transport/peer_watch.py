"""Ends connections whose peer is gone, and none whose peer reads slowly."""

import typing

from twisted.internet import interfaces

from fireflypulley.transport import liveness
from fireflypulley.transport import sockets
from fireflypulley.transport import tcp_state

CHECK_INTERVAL_S = 0.5


class PeerWatch:
    """Watches one connection until it ends.

    Where the kernel tells no state, only keep-alive finds a peer that is
    gone.
    """

    def __init__(
        self, reactor: interfaces.IReactorTime, transport: typing.Any
    ) -> None:
        self._reactor = reactor
        self._transport = transport
        self._liveness = liveness.PeerLiveness()
        sockets.set_caller_options(transport)
        self._schedule()

    def _schedule(self) -> None:
        self._reactor.callLater(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        if not getattr(self._transport, "connected", False):
            return
        state = tcp_state.read(self._transport)
        if state is None:
            return
        if self._liveness.is_dead(state, self._reactor.seconds()):
            self._transport.abortConnection()
            return
        self._schedule()
