"""A connection that shows whether an endpoint's process goes on.

Answers without a length end with their connections, so that those tell
nothing of the process.  One connection without a request stays open beside
them: its loss does.
"""

import collections.abc

from twisted.internet import error
from twisted.internet import interfaces

from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import outbound

MIN_STOOD_S = 1.0
"""One that was lost sooner is not replaced: an endpoint that is full may
reset each new connection."""

_Open = collections.abc.Callable[
    [], collections.abc.Awaitable[outbound.EndpointConnection]
]
_GiveBack = collections.abc.Callable[[outbound.EndpointConnection], None]


class LivenessConnection:
    """Keeps a connection open while answers without a length arrive.

    ``open_one`` returns a connection that carries no request, and
    ``give_back`` takes it again.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        endpoint_id: str,
        open_one: _Open,
        give_back: _GiveBack,
    ) -> None:
        self._reactor = reactor
        self._endpoint_id = endpoint_id
        self._open_one = open_one
        self._give_back = give_back
        self._connection: outbound.EndpointConnection | None = None
        self._answering: set[outbound.EndpointConnection] = set()
        self._is_opening = False
        self._opened_s = 0.0

    def begin(self, answering: outbound.EndpointConnection) -> None:
        """Keep a connection open at least until one has ended."""
        self._answering.add(answering)
        self._open()

    def forget(self, closed: outbound.EndpointConnection) -> None:
        """Record that a connection has ended."""
        self._answering.discard(closed)
        if closed is self._connection:
            self._connection = None
            if self._reactor.seconds() >= self._opened_s + MIN_STOOD_S:
                self._open()
        self._end_if_unneeded()

    def _open(self) -> None:
        if self._answering and not (self._connection or self._is_opening):
            self._is_opening = True
            background.start(self._keep_one(), liveness=self._endpoint_id)

    async def _keep_one(self) -> None:
        try:
            self._connection = await self._open_one()
            self._opened_s = self._reactor.seconds()
        except (error.ConnectError, error.ConnectionClosed) as problem:
            decision_log.note(
                "liveness", endpoint=self._endpoint_id, problem=str(problem)
            )
        finally:
            self._is_opening = False
        self._end_if_unneeded()

    def _end_if_unneeded(self) -> None:
        if self._answering or self._connection is None:
            return
        connection, self._connection = self._connection, None
        if connection.is_usable:
            self._give_back(connection)
