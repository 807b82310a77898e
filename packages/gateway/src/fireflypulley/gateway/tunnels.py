"""Connections to endpoints through other nodes.

A node that is cut off from the endpoints sends its attempts over
connections that a peer joins to connections of its own.  What is sent, and
whether, stays the decision of the node that has the request.
"""

import abc
import collections.abc
import dataclasses

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure

from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import endpoint_paths
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import ways
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import outbound
from fireflypulley.gateway import tunnel_search
from fireflypulley.gateway import tunnel_transport
from fireflypulley.nodes import hub
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.nodes import streams
from fireflypulley.transport import dialing
from fireflypulley.transport import early_close
from fireflypulley.transport import memory
from fireflypulley.transport import reading

OPEN_TIMEOUT_S = 0.6
"""Covers the connection to the peer and that of the peer."""

_Choice = collections.abc.Callable[[], list[peer_registry.NodeEntry]]


class NoTunnel(error.ConnectError):
    """No peer has a way to the endpoint; nothing was sent."""

    def __init__(self, text: str) -> None:
        super().__init__(string=text)


class EndpointFailed(tunnel_search.FinalRefusal):
    """An endpoint takes no connection from a peer either."""


class DirectAgain(error.ConnectError):
    """The node has reached an endpoint directly; nothing was sent."""


class TunnelRefused(error.ConnectError):
    """A peer opens no tunnel to the endpoint."""


class StopsTooSoon(error.ConnectError):
    """A peer stops before the request is likely to end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tunnel:
    """The node that a tunnel leads through.

    ``tells_end`` is whether it tells a close in order from the loss of the
    tunnel, ``is_single`` whether it takes one request only.
    """

    peer: str
    tells_end: bool
    is_single: bool = False


class TunnelSource(abc.ABC):
    """Opens connections to endpoints through other nodes."""

    @abc.abstractmethod
    async def connect(
        self,
        key: tuple[str, int],
        connection: outbound.EndpointConnection,
        needed_s: float = 0.0,
    ) -> Tunnel:
        """Let a connection lead to a start of an endpoint.

        ``needed_s`` is how long its request is expected to take.
        Raises ``NoTunnel``, or ``DirectAgain`` if no tunnel is needed any
        more.
        """


class TunnelDialer(TunnelSource):
    """Asks peers for tunnels, in the order that their states give.

    ``choose_peers`` returns the nodes in touch in random order, and
    ``budget`` is that of the node, in which tunnels count.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_hub: hub.Hub,
        ring: keys.KeyRing,
        choose_peers: _Choice,
        peer_carriers: carriers.Carriers,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._reactor = reactor
        self._hub = node_hub
        self._ring = ring
        self._choose_peers = choose_peers
        self._carriers = peer_carriers
        self._budget = budget
        self._searches: set[tunnel_search.Search] = set()

    def join_paths(self, direct: endpoint_paths.EndpointPaths) -> ways.Ways:
        """Return the ways of a node with these direct ones.

        Requests that wait for a peer go there once they stand again.
        """
        direct.on_reached = self._end_searches
        return ways.Ways(direct, self._carriers, self._choose_peers)

    def _end_searches(self) -> None:
        for search in list(self._searches):
            search.end(DirectAgain(string="the direct way is open again"))

    async def connect(
        self,
        key: tuple[str, int],
        connection: outbound.EndpointConnection,
        needed_s: float = 0.0,
    ) -> Tunnel:
        search = tunnel_search.Search(
            self._reactor,
            lambda: self._carriers.in_order(
                self._choose_peers(), key, needed_s, self._reactor.seconds()
            ),
            lambda peer: self._ask(peer, key, needed_s),
        )
        self._searches.add(search)
        try:
            peer, opened = await search.run()
        except tunnel_search.NothingOpened as problem:
            raise NoTunnel(str(problem))
        finally:
            self._searches.discard(search)
        return self._use(peer, opened, connection)

    async def _ask(
        self,
        peer: peer_registry.NodeEntry,
        key: tuple[str, int],
        needed_s: float,
    ) -> tunnel_search.Opened:
        """Return an open tunnel whose node outlasts the request."""
        try:
            return await self._open_for(peer, key, needed_s)
        except EndpointFailed:
            raise
        except (error.ConnectError, error.ConnectionClosed) as problem:
            self._note_failed(peer, key, problem)
            raise

    async def _open_for(
        self,
        peer: peer_registry.NodeEntry,
        key: tuple[str, int],
        needed_s: float,
    ) -> tunnel_search.Opened:
        opened = await self._open(peer, key)
        now_s = self._reactor.seconds()
        if opened.left_s is None:
            self._carriers.note_carried(tunnel_search.start_of(peer), now_s)
            return opened
        self._carriers.note_leaving(
            tunnel_search.start_of(peer), opened.left_s, now_s
        )
        if opened.left_s < needed_s:
            opened.stream.close()
            raise StopsTooSoon(string="node stops too soon")
        return opened

    def _use(
        self,
        peer: peer_registry.NodeEntry,
        opened: tunnel_search.Opened,
        connection: outbound.EndpointConnection,
    ) -> Tunnel:
        def closing(carries_for_s: float | None) -> None:
            now_s = self._reactor.seconds()
            self._carriers.note_leaving(
                tunnel_search.start_of(peer), carries_for_s, now_s
            )
            connection.retire()

        tells_end = tunnel_transport.connect(
            self._reactor, opened.stream, connection, closing, self._budget
        )
        is_single = opened.left_s is not None
        return Tunnel(peer.node_id, tells_end, is_single)

    def _note_failed(
        self,
        peer: peer_registry.NodeEntry,
        key: tuple[str, int],
        problem: Exception,
    ) -> None:
        now_s = self._reactor.seconds()
        if isinstance(problem, TunnelRefused):
            self._carriers.note_refused(
                tunnel_search.start_of(peer), key, now_s
            )
        elif not isinstance(problem, StopsTooSoon):
            self._carriers.note_unreachable(
                tunnel_search.start_of(peer), now_s
            )
        decision_log.note(
            "tunnel",
            peer=peer.node_id,
            endpoint=key[0],
            problem=str(problem),
            state=self._carriers.state_of(
                tunnel_search.start_of(peer), now_s
            ).value,
        )

    async def _open(
        self, peer: peer_registry.NodeEntry, key: tuple[str, int]
    ) -> tunnel_search.Opened:
        endpoint = dialing.tcp_endpoint(
            self._reactor, peer.address, OPEN_TIMEOUT_S
        )
        opening = _Opening(self._hub, messages.TunnelRequest(*key))
        factory = protocol.Factory.forProtocol(
            lambda: streams.NodeStream(
                opening, self._ring, messages.Purpose.TUNNEL, True
            )
        )
        factory.noisy = False
        stream = await endpoint.connect(factory)
        timer = self._reactor.callLater(OPEN_TIMEOUT_S, stream.close)
        try:
            response = await opening.answered
        finally:
            if timer.active():
                timer.cancel()
        if not response.problem:
            return tunnel_search.Opened(stream, response.carries_for_s)
        stream.close()
        if response.endpoint_failed:
            raise EndpointFailed(string=response.problem)
        raise TunnelRefused(string=response.problem)


class _Opening(streams.StreamOwner):
    """The handshake and the answer of a tunnel that is being opened."""

    def __init__(
        self, node_hub: hub.Hub, request: messages.TunnelRequest
    ) -> None:
        self._hub = node_hub
        self._request = request
        self.answered: defer.Deferred[messages.TunnelResponse]
        self.answered = defer.Deferred()

    def hello(self, purpose: messages.Purpose) -> messages.Hello:
        return self._hub.hello(purpose)

    @property
    def features(self) -> tuple[str, ...]:
        return self._hub.features

    def stream_up(self, stream: streams.NodeStream) -> None:
        stream.send(self._request)

    def stream_message(
        self, stream: streams.NodeStream, message: messages.Message
    ) -> None:
        if not isinstance(message, messages.TunnelResponse):
            stream.close()
        elif not self.answered.called:
            self.answered.callback(message)

    def stream_down(self, stream: streams.NodeStream) -> None:
        if not self.answered.called:
            self.answered.errback(error.ConnectionLost("no answer"))

    def stream_refused(self, stream: streams.NodeStream) -> None:
        self.stream_down(stream)


class Pipe(early_close.EarlyCloseProtocol):
    """One side of two connections that are joined.

    A close in order at one side is one at the other, and so is a reset: an
    answer may end with its connection.  A close in order before a side had
    all that it was sent is told as such.
    """

    def __init__(self) -> None:
        self._other: Pipe | None = None
        self._reading: reading.LaterReading | None = None

    def join(self, other: "Pipe", call_later: reading.CallLater) -> None:
        """Forward all bytes; a side that does not read stops the other.

        ``call_later`` is that of the reactor.
        """
        self._other, other._other = other, self
        self.transport.registerProducer(other._read_by(call_later), True)
        other.transport.registerProducer(self._read_by(call_later), True)

    def _read_by(self, call_later: reading.CallLater) -> reading.LaterReading:
        """Return what pauses this side, and resumes it in a later turn."""
        self._reading = reading.LaterReading(self.transport, call_later)
        return self._reading

    def end_reading(self) -> None:
        """Let nothing resume this side any more."""
        if self._reading is not None:
            self._reading.close()

    def dataReceived(self, data: bytes) -> None:
        if self._other is not None:
            self._other.transport.write(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        self.end_reading()
        other, self._other = self._other, None
        if other is None:
            return
        other._other = None
        other.transport.unregisterProducer()
        if reason.check(error.ConnectionDone):
            other.transport.loseConnection()
        elif reason.check(early_close.ClosedEarly):
            other.close_early(reason.value.unsent_bytes)
        else:
            other.transport.abortConnection()

    def close_early(self, unsent_bytes: int) -> None:
        """Close, as the other side has not taken all that came from here."""
        self.transport.abortConnection()
