"""Gets the connection, and the permit, that an attempt needs."""

import dataclasses

from twisted.internet import error
from twisted.internet import interfaces

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import unframed_services
from fireflypulley.gateway import outbound
from fireflypulley.gateway import permit_broker
from fireflypulley.gateway import pools


@dataclasses.dataclass(frozen=True, slots=True)
class Obstacle:
    """Why an attempt can't be sent, and how it ends."""

    outcome: calls.Outcome
    detail: str


class Connector:
    """Prepares attempts up to the moment of sending."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        connections: pools.ConnectionPools,
        permits: permit_broker.PermitSource,
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._connections = connections
        self._permits = permits
        self._unframed = unframed_services.UnframedServices()

    def _pool(self, run: runs.Run) -> pools.EndpointPool:
        return self._connections.pool(run.member, run.load)

    async def connect(
        self, run: runs.Run
    ) -> outbound.EndpointConnection | Obstacle:
        """Return a connection that the attempt may be sent on at once.

        The permit is asked for last, so that the request arrives soon
        after it was issued.
        """
        try:
            # A request that runs at most once is not risked on a
            # connection to an endpoint that has gone silent.
            is_silent = run.load.is_unresponsive(self._reactor.seconds())
            connection = await self._acquire(run, is_silent)
        except (error.ConnectError, error.ConnectionClosed) as problem:
            return Obstacle(calls.Outcome.UNREACHED, str(problem))
        await self._get_permit(run)
        obstacle = self._find_obstacle(run, connection)
        if obstacle is None:
            return connection
        self.release(run, connection)
        return obstacle

    async def _acquire(
        self, run: runs.Run, fresh: bool
    ) -> outbound.EndpointConnection:
        """Return a connection that has not carried the request before."""
        pool = self._pool(run)
        durations = self._scheduler.endpoint_filter.durations
        expected_s = durations.expected_s(run.request.route.name) or 0.0
        connection = await pool.acquire(
            fresh, expected_s, self._needs_unused(run)
        )
        request_id = run.request.metadata.request_id
        if not request_id or not connection.has_carried(request_id):
            return connection
        pool.release(connection)
        return await pool.acquire(True, expected_s)

    def note_unframed(self, run: runs.Run) -> None:
        """Record that an answer has no length."""
        service = run.request.service.name
        self._unframed.note(service, self._reactor.seconds())

    def _needs_unused(self, run: runs.Run) -> bool:
        service, now_s = run.request.service.name, self._reactor.seconds()
        return self._unframed.needs_unused(service, now_s)

    def release(
        self, run: runs.Run, connection: outbound.EndpointConnection
    ) -> None:
        """Return a connection that nothing was sent on."""
        self._pool(run).release(connection)

    async def _get_permit(self, run: runs.Run) -> None:
        """Ask for a permit if the endpoint names a limit."""
        limit = self._scheduler.limited.limit_of(run.member)
        if limit is None:
            return
        permit = await self._permits.request(limit)
        now_s = self._reactor.seconds()
        self._scheduler.limited.note_permit(run, permit, now_s)

    def _find_obstacle(
        self, run: runs.Run, connection: outbound.EndpointConnection
    ) -> Obstacle | None:
        permit = run.permit
        if permit is not None and not permit.is_given:
            detail = f"limit: {permit.reason}, {permit.wait_s:.2f} s to wait"
            return Obstacle(calls.Outcome.WITHHELD, detail)
        if not self._scheduler.still_allowed(run, self._reactor.seconds()):
            return Obstacle(calls.Outcome.UNREACHED, "endpoint has left")
        if not connection.is_usable:
            detail = "connection closed meanwhile"
            return Obstacle(calls.Outcome.WITHHELD, detail)
        return None
