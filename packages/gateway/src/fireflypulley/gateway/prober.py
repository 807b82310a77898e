"""Probes endpoints, so that no request has to try a dead one."""

from twisted.internet import error
from twisted.internet import interfaces

from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import pools


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

    def tick(self) -> None:
        """Start the probes that are due."""
        now_s = self._reactor.seconds()
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

    async def can_connect(self, member: fleet.Member) -> bool:
        """Return whether an endpoint takes a new connection."""
        load = self._scheduler.loads.of(member)
        pool = self._connections.pool(member, load)
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
