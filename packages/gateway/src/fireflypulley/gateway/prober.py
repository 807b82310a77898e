"""Probes endpoints, so that no request has to try a dead one."""

from twisted.internet import error
from twisted.internet import interfaces

from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import pools
from fireflypulley.gateway import tunnels


class Prober:
    """Opens connections to endpoints that may be down.

    An unreachable endpoint is probed periodically.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        connections: pools.ConnectionPools,
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._connections = connections
        self._probing: set[tuple[str, int]] = set()
        self._was_cut_off = False

    def tick(self) -> None:
        """Start the probes that are due."""
        now_s = self._reactor.seconds()
        self._probe_links(now_s)
        for member in list(self._scheduler.fleet):
            key = member.registration.key
            if member.leaving or key in self._probing:
                continue
            if not self._scheduler.loads.of(member).is_probe_due(now_s):
                continue
            self._probing.add(key)
            background.start(
                self._probe(member),
                lambda key=key: self._probing.discard(key),
                probe=member.endpoint_id,
            )

    def _probe_links(self, now_s: float) -> None:
        """Try a direct connection while this node seems to be cut off."""
        paths = self._connections.paths.direct
        is_cut_off = paths.is_cut_off(now_s)
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            state = "cut-off" if is_cut_off else "direct"
            decision_log.note("path", state=state)
        if not paths.begin_probe(now_s):
            return
        members = {
            member.registration.key: member
            for member in self._scheduler.fleet
            if not member.leaving
        }
        if not members:
            return
        member = members[paths.next_probe(list(members))]
        background.start(self._probe_link(member), probe=member.endpoint_id)

    def _pool(self, member: fleet.Member) -> pools.EndpointPool:
        load = self._scheduler.loads.of(member)
        return self._connections.pool(member, load)

    async def _probe_link(self, member: fleet.Member) -> None:
        try:
            await self._pool(member).probe_links()
        except (error.ConnectError, error.ConnectionClosed) as problem:
            decision_log.note(
                "path",
                state="cut-off",
                endpoint=member.endpoint_id,
                problem=str(problem),
            )

    async def has_failed(self, member: fleet.Member) -> bool:
        """Return whether an endpoint takes no connections at all.

        One that this node alone does not reach may be sound, so others are
        asked.  If they are all cut off as well, the endpoints are gone:
        many of them may crash together.
        """
        if await self.can_connect(member):
            return False
        try:
            await self._pool(member).probe_through_peer()
        except tunnels.NoTunnel:
            return True
        except tunnels.DirectAgain:
            return not await self.can_connect(member)
        return False

    async def can_connect(self, member: fleet.Member) -> bool:
        """Return whether an endpoint takes a new connection."""
        pool = self._pool(member)
        try:
            pool.release(await pool.acquire(fresh=True))
        except (error.ConnectError, error.ConnectionClosed):
            return False
        return True

    async def _probe(self, member: fleet.Member) -> None:
        reached = await self.can_connect(member)
        load = self._scheduler.loads.of(member)
        load.note_probe(reached, self._reactor.seconds())
        decision_log.note(
            "probe", endpoint=member.endpoint_id, reached=reached
        )
