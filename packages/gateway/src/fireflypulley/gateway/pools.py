"""Pools of persistent connections to endpoints."""

import collections
import collections.abc

from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import endpoint_paths
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import loads
from fireflypulley.gateway import background
from fireflypulley.gateway import held_end
from fireflypulley.gateway import liveness
from fireflypulley.gateway import outbound
from fireflypulley.gateway import tunnels
from fireflypulley.transport import dialing
from fireflypulley.transport import peer_watch

CONNECT_TIMEOUT_S = 0.35
MAX_IDLE_PER_ENDPOINT = 24


class _ConnectionFactory(protocol.Factory):
    noisy = False

    def __init__(self, pool: "EndpointPool") -> None:
        self._pool = pool

    def buildProtocol(
        self, addr: interfaces.IAddress
    ) -> outbound.EndpointConnection:
        return outbound.EndpointConnection(self._pool)


class Paths:
    """The ways to endpoints: direct, or through other nodes."""

    def __init__(self) -> None:
        self.direct = endpoint_paths.EndpointPaths()
        self.tunnels: tunnels.TunnelSource | None = None
        self.tunnels_opened = 0
        self.closes: collections.Counter[answer_ends.Doubt | None]
        self.closes = collections.Counter()
        """Answers that a close ended, by why that was not believed."""


class EndpointPool(outbound.ConnectionPool):
    """The connections to one incarnation of an endpoint."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        address: str,
        on_activity: collections.abc.Callable[[], None],
        key: tuple[str, int] = ("", 0),
        paths: Paths | None = None,
    ) -> None:
        self._reactor = reactor
        self._key = key
        self._paths = paths or Paths()
        self._endpoint = dialing.tcp_endpoint(
            reactor, address, CONNECT_TIMEOUT_S
        )
        self.on_activity = on_activity
        self._idle: collections.deque[outbound.EndpointConnection]
        self._idle = collections.deque()
        self._open: set[outbound.EndpointConnection] = set()
        self._losses = answer_ends.ConnectionLosses()
        self._liveness = liveness.LivenessConnection(
            reactor, key[0], self._acquire_any, self.release
        )
        self._checks = 0
        """How many connections show at this time whether it is alive."""
        self.opened = 0
        self.unsolicited = 0

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._open) + self._checks

    async def acquire(
        self,
        fresh: bool,
        needed_s: float = 0.0,
        is_unused: bool = False,
    ) -> outbound.EndpointConnection:
        """Return an idle connection if possible, unless ``fresh``.

        ``needed_s`` is how long the request is expected to take.  With
        ``is_unused`` the connection has carried no request.
        Errors of connecting are raised; no request has been sent then.
        """
        if self._is_cut_off:
            self._close_direct()
        if not fresh:
            idle = self._pop_idle(is_unused)
            if idle is not None:
                return idle
        return await self._connect(needed_s)

    @property
    def _is_cut_off(self) -> bool:
        return self._paths.direct.is_cut_off(self._reactor.seconds())

    def _close_direct(self) -> None:
        """Close idle connections over links that seem to be cut."""
        for connection in list(self._idle):
            if not connection.peer:
                connection.abort()

    async def _connect(self, needed_s: float) -> outbound.EndpointConnection:
        """Open a connection, through a peer if this node is cut off."""
        if not self._is_cut_off:
            try:
                return await self._connect_directly()
            except (error.ConnectError, error.ConnectionClosed):
                if not self._is_cut_off:
                    raise
        try:
            return await self._connect_through_peer(needed_s)
        except tunnels.DirectAgain:
            return await self._connect_directly()

    async def _connect_directly(self) -> outbound.EndpointConnection:
        self.opened += 1
        note = self._paths.direct.note_direct
        try:
            connection = await self._endpoint.connect(_ConnectionFactory(self))
        except (error.ConnectError, error.ConnectionClosed):
            note(self._key, False, self._reactor.seconds())
            raise
        note(self._key, True, self._reactor.seconds())
        peer_watch.PeerWatch(self._reactor, connection.transport)
        self._open.add(connection)
        return connection

    async def _connect_through_peer(
        self, needed_s: float = 0.0
    ) -> outbound.EndpointConnection:
        if self._paths.tunnels is None:
            raise tunnels.NoTunnel("no other node is known")
        connection = outbound.EndpointConnection(self)
        tunnel = await self._paths.tunnels.connect(
            self._key, connection, needed_s
        )
        connection.peer = tunnel.peer
        connection.close_ends_answer = tunnel.tells_end
        connection.is_single = tunnel.is_single
        self._paths.tunnels_opened += 1
        self._open.add(connection)
        return connection

    async def probe_links(self) -> None:
        """Try a direct connection, which shows whether the links stand."""
        self.release(await self._connect_directly())

    async def probe_through_peer(self) -> None:
        """Connect through a peer; raise ``tunnels.NoTunnel`` if it can't."""
        self.release(await self._connect_through_peer())

    def _pop_idle(self, is_unused: bool) -> outbound.EndpointConnection | None:
        """Return the idle connection that was used last, if there is one."""
        now_s = self._reactor.seconds()
        for connection in reversed(list(self._idle)):
            if is_unused and not connection.is_unused:
                continue
            self._idle.remove(connection)
            if not connection.is_usable:
                continue
            if connection.is_stale(now_s):
                connection.abort()
                continue
            return connection
        return None

    def now_s(self) -> float:
        """Return the reactor's time in seconds."""
        return self._reactor.seconds()

    def call_later(
        self,
        delay_s: float,
        call: collections.abc.Callable[..., None],
        *arguments: object,
    ) -> interfaces.IDelayedCall:
        """Schedule a call."""
        return self._reactor.callLater(delay_s, call, *arguments)

    def check_alive(
        self,
        since_s: float,
        on_result: held_end.Verdict,
    ) -> None:
        """Find out whether the endpoint has been alive since a moment."""
        self._checks += 1
        background.start(
            self._check_alive(since_s, on_result),
            self._note_checked,
            alive=self._key[0],
        )

    def _note_checked(self) -> None:
        self._checks -= 1

    async def _check_alive(
        self,
        since_s: float,
        on_result: held_end.Verdict,
    ) -> None:
        try:
            connection = await self._connect_anyhow()
        except (error.ConnectError, error.ConnectionClosed):
            on_result(answer_ends.Doubt.UNREACHED)
            return
        await task.deferLater(self._reactor, answer_ends.SETTLE_S)
        # If this node stood still, losses that wait are read first.
        await task.deferLater(self._reactor, 0.0)
        doubt = self._find_doubt(since_s, connection)
        if connection.is_usable:
            self.release(connection)
        on_result(doubt)

    async def _connect_anyhow(self) -> outbound.EndpointConnection:
        """Open a connection; a peer is asked if there is no direct way.

        This node alone may be cut off from a sound endpoint.  A refusal
        says that the listener is gone; a peer may reach the next one.
        """
        try:
            return await self._connect(0.0)
        except error.ConnectionRefusedError:
            raise
        except (error.ConnectError, error.ConnectionClosed):
            if self._paths.tunnels is None:
                raise
        return await self._connect_through_peer()

    def _find_doubt(
        self, since_s: float, connection: outbound.EndpointConnection
    ) -> answer_ends.Doubt | None:
        """Return why the endpoint may have ended, None if it has not."""
        from_s = since_s - answer_ends.SETTLE_S
        if self._losses.count(from_s, self._reactor.seconds()):
            return answer_ends.Doubt.LOST_BESIDE
        if not connection.is_usable:
            return answer_ends.Doubt.LOST_AFTER
        return None

    def begin_unframed(self, answering: outbound.EndpointConnection) -> None:
        """Record that an answer has begun that only a close will end."""
        self._liveness.begin(answering)

    async def _acquire_any(self) -> outbound.EndpointConnection:
        """Return a connection, rather one that has carried a request.

        Requests for such a service can't use those.
        """
        for connection in list(self._idle):
            if connection.is_usable and not connection.is_unused:
                self._idle.remove(connection)
                return connection
        return await self.acquire(False)

    def count_close(self, doubt: answer_ends.Doubt | None) -> None:
        """Count an answer that a close ended, by why it is not believed."""
        self._paths.closes[doubt] += 1

    def note_activity(self) -> None:
        """Record that the endpoint has sent data."""
        self.on_activity()

    def count_unsolicited(self) -> None:
        """Count data that belongs to no request."""
        self.unsolicited += 1

    def count_losses(self) -> int:
        """Return how many connections to the endpoint were just lost."""
        now_s = self._reactor.seconds()
        return self._losses.count(now_s - answer_ends.SETTLE_S, now_s)

    def note_lost(self) -> None:
        """Record that a connection ended that should have gone on."""
        self._losses.note(self._reactor.seconds())

    def release(self, connection: outbound.EndpointConnection) -> None:
        """Return a connection to the pool.

        One through a node that stops is closed, so that it can end.
        """
        if connection.is_single:
            connection.abort()
            return
        connection.idle_since_s = self._reactor.seconds()
        if len(self._idle) >= MAX_IDLE_PER_ENDPOINT:
            self._idle.popleft().abort()
        self._idle.append(connection)

    def remove(self, connection: outbound.EndpointConnection) -> None:
        """Remove a closed connection."""
        self._open.discard(connection)
        self._liveness.forget(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def drop_stale(self) -> None:
        """Close the connections that have been idle for too long."""
        now_s = self._reactor.seconds()
        for connection in list(self._idle):
            if connection.is_stale(now_s):
                connection.abort()

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()


class ConnectionPools:
    """The pools of all endpoints, by incarnation and address."""

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor
        self.paths = Paths()
        self._pools: dict[tuple[str, int, str], EndpointPool] = {}

    def pool(
        self, member: fleet.Member, load: loads.EndpointLoad
    ) -> EndpointPool:
        """Return the pool of an endpoint's incarnation and address."""
        spec = member.registration
        pool_key = (*spec.key, spec.address)
        if pool_key not in self._pools:
            self._pools[pool_key] = EndpointPool(
                self._reactor,
                spec.address,
                lambda: load.note_activity(self._reactor.seconds()),
                spec.key,
                self.paths,
            )
        pool = self._pools[pool_key]
        # The load there when the pool was made may have been forgotten.
        pool.on_activity = lambda: load.note_activity(self._reactor.seconds())
        return pool

    def tick(self, present: set[tuple[str, int]]) -> None:
        """Close stale connections, and idle ones to endpoints not present."""
        self.paths.direct.forget_absent(present)
        for pool_key, pool in list(self._pools.items()):
            pool.drop_stale()
            if pool_key[:2] in present:
                continue
            pool.close_idle()
            if not pool.open_count:
                del self._pools[pool_key]

    @property
    def opened(self) -> int:
        """Return the number of connections opened by the current pools."""
        return sum(pool.opened for pool in self._pools.values())
