"""Joins streams of nodes that are cut off to connections to endpoints."""

import collections.abc

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import endpoint_paths
from fireflypulley.core.gateway import fleet
from fireflypulley.gateway import background
from fireflypulley.gateway import pools
from fireflypulley.gateway import tunnel_transport
from fireflypulley.gateway import tunnels
from fireflypulley.nodes import messages
from fireflypulley.nodes import streams
from fireflypulley.transport import dialing
from fireflypulley.transport import early_close
from fireflypulley.transport import memory
from fireflypulley.transport import peer_watch

MAX_TUNNELS = 400
"""Each takes two descriptors of this node."""


class _EndpointPipe(tunnels.Pipe):
    """The side of the endpoint."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        super().__init__()
        self._reactor = reactor
        self._closing: interfaces.IDelayedCall | None = None
        """Set while a reset may still follow the endpoint's close."""

    def connectionMade(self) -> None:
        self.transport.bufferSize = tunnel_transport.MAX_PIECE_BYTES
        peer_watch.PeerWatch(self._reactor, self.transport)

    def readConnectionLost(self) -> None:
        self.end_reading()
        if self._closing is None:
            self._closing = self._reactor.callLater(
                early_close.RESET_WAIT_S, self._tell_close
            )

    def _tell_close(self) -> None:
        if early_close.was_reset(self.transport.getHandle()):
            reason = early_close.reason_of(1)
            self.transport.connectionLost(failure.Failure(reason))
        else:
            super().readConnectionLost()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self._closing is not None and self._closing.active():
            self._closing.cancel()
        super().connectionLost(reason)


class _NodePipe(tunnels.Pipe):
    """The side of the node; ``closed`` is called when the tunnel ends."""

    def __init__(
        self, closed: collections.abc.Callable[["_NodePipe"], None]
    ) -> None:
        super().__init__()
        self._closed = closed

    def announce_closing(self, carries_for_s: float | None) -> None:
        """Tell the node that the tunnel takes no further requests.

        An older node can't be told.
        """
        if isinstance(self.transport, tunnel_transport.TunnelTransport):
            self.transport.announce_closing(carries_for_s)

    def close_early(self, unsent_bytes: int) -> None:
        if isinstance(self.transport, tunnel_transport.TunnelTransport):
            self.transport.close_early(unsent_bytes)
        else:
            super().close_early(unsent_bytes)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        super().connectionLost(reason)
        self._closed(self)


class TunnelServer:
    """Opens tunnels to the endpoints that this node knows and reaches.

    ``budget`` is that of the node, in which tunnels count.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        endpoint_fleet: fleet.Fleet,
        paths: endpoint_paths.EndpointPaths,
        max_tunnels: int = MAX_TUNNELS,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._max_tunnels = min(max_tunnels, MAX_TUNNELS)
        self._reactor = reactor
        self._fleet = endpoint_fleet
        self._paths = paths
        self._budget = budget
        self._open_pipes: set[_NodePipe] = set()
        self._is_stopping = False
        self._carries_until_s = float("inf")

    @property
    def open_count(self) -> int:
        """Return the number of open tunnels."""
        return len(self._open_pipes)

    def begin_stop(self, stops_at_s: float = 0.0) -> None:
        """Let open tunnels finish, and open more for single requests only.

        Those that are still open at ``stops_at_s`` may be broken off.
        """
        self._is_stopping = True
        self._carries_until_s = stops_at_s
        for pipe in list(self._open_pipes):
            pipe.announce_closing(self._carries_for_s())

    def _carries_for_s(self) -> float | None:
        """Return for how long a stopping node opens tunnels, or None."""
        left_s = self._carries_until_s - self._reactor.seconds()
        return left_s if left_s >= carriers.MIN_CARRY_S else None

    def _may_open(self, stream: streams.NodeStream) -> bool:
        """Return whether a node may have another tunnel.

        An older node would send further requests on it.
        """
        if not self._is_stopping:
            return True
        is_single = stream.supports(tunnel_transport.SINGLE_FEATURE)
        return is_single and self._carries_for_s() is not None

    def abort_all(self) -> None:
        """Break off the tunnels that are still open."""
        for pipe in list(self._open_pipes):
            pipe.transport.abortConnection()

    def receive(
        self, stream: streams.NodeStream, request: messages.TunnelRequest
    ) -> None:
        """Handle a node's request for a tunnel on its stream."""
        member = self._fleet.get(request.endpoint_id)
        problem = self._find_problem(stream, member, request)
        if problem or member is None:
            self._refuse(stream, messages.TunnelResponse(problem))
            return
        if not self._fleet.may_receive(member, self._reactor.seconds()):
            # Other peers need not be asked.
            has_left = messages.TunnelResponse("endpoint has left", True)
            self._refuse(stream, has_left)
            return
        background.start(
            self._open(stream, member), tunnel=request.endpoint_id
        )

    def _find_problem(
        self,
        stream: streams.NodeStream,
        member: fleet.Member | None,
        request: messages.TunnelRequest,
    ) -> str:
        """Return why a tunnel can't be opened, or ""."""
        if not self._may_open(stream):
            return "node is stopping"
        if self.open_count >= self._max_tunnels:
            return "too many tunnels"
        key = (request.endpoint_id, request.started_ms)
        if member is None or member.registration.key != key:
            return "endpoint is not known"
        if self._paths.is_cut_off(self._reactor.seconds()):
            return "cut off as well"
        return ""

    def _refuse(
        self, stream: streams.NodeStream, response: messages.TunnelResponse
    ) -> None:
        stream.send(response)
        if stream.transport is not None:
            stream.transport.loseConnection()

    async def _open(
        self, stream: streams.NodeStream, member: fleet.Member
    ) -> None:
        registration = member.registration
        endpoint = dialing.tcp_endpoint(
            self._reactor, registration.address, pools.CONNECT_TIMEOUT_S
        )
        now_s = self._reactor.seconds
        factory = protocol.Factory.forProtocol(
            lambda: _EndpointPipe(self._reactor)
        )
        factory.noisy = False
        try:
            there = await endpoint.connect(factory)
        except (error.ConnectError, error.ConnectionClosed) as problem:
            self._paths.note_direct(registration.key, False, now_s())
            response = messages.TunnelResponse(str(problem), True)
            self._refuse(stream, response)
            return
        self._paths.note_direct(registration.key, True, now_s())
        if not stream.ready or not self._may_open(stream):
            there.transport.abortConnection()
            self._refuse(stream, messages.TunnelResponse("node is stopping"))
            return
        self._join(stream, there)

    def _join(self, stream: streams.NodeStream, there: tunnels.Pipe) -> None:
        here = _NodePipe(self._open_pipes.discard)
        self._open_pipes.add(here)
        carries_for_s = self._carries_for_s() if self._is_stopping else None
        response = messages.TunnelResponse("", carries_for_s=carries_for_s)
        stream.send(response)
        tunnel_transport.connect(
            self._reactor, stream, here, budget=self._budget
        )
        here.join(there, self._reactor.callLater)
