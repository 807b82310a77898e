"""Probes endpoints, so that no request has to try a dead one."""

import collections.abc

from twisted.internet import error
from twisted.internet import interfaces

from fireflypulley.core import facts
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import pools

CRASH_CHECK_DELAY_S = 0.4


class Prober:
    """Opens connections to endpoints that may be down.

    An unreachable endpoint is probed periodically.  An endpoint whose
    connection was lost during a request is probed once, to tell a crash
    from a lost response.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        connections: pools.ConnectionPools,
        publish: collections.abc.Callable[[facts.Fact], None],
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._connections = connections
        self._publish = publish
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

    async def _can_connect(self, member: fleet.Member) -> bool:
        load = self._scheduler.loads.of(member)
        pool = self._connections.pool(member, load)
        try:
            pool.release(await pool.acquire(fresh=True))
        except (error.ConnectError, error.ConnectionClosed):
            return False
        return True

    async def _probe(self, member: fleet.Member) -> None:
        reached = await self._can_connect(member)
        load = self._scheduler.loads.of(member)
        load.note_probe(reached, self._reactor.seconds())
        decision_log.note(
            "probe", endpoint=member.endpoint_id, reached=reached
        )

    def check_crash(self, run: runs.Run) -> None:
        """Check after a delay whether a request crashed its endpoint."""
        self._reactor.callLater(CRASH_CHECK_DELAY_S, self._start_check, run)

    def _start_check(self, run: runs.Run) -> None:
        background.start(
            self._check_for_crash(run), probe=run.member.endpoint_id
        )

    async def _check_for_crash(self, run: runs.Run) -> None:
        if await self._can_connect(run.member):
            return
        fact = self._scheduler.crash_tracker.crashed(
            run.request.fingerprint, self._reactor.seconds()
        )
        self._publish(fact)
        decision_log.note(
            "crash",
            id=run.request.metadata.request_id,
            endpoint=run.member.endpoint_id,
            fingerprint=fact.fingerprint,
            crashes=fact.crashes,
            began=run.first_event_s is not None,
            parts=[
                part.part_id for part in run.request.metadata.shared_parts
            ],
        )
