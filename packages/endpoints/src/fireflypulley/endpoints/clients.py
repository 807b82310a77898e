"""Starts attempts and fetches the load reports of endpoints."""

import pydantic
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.web import client

from fireflypulley.core import topology
from fireflypulley.endpoints import base
from fireflypulley.endpoints import engines
from fireflypulley.endpoints import http_attempt
from fireflypulley.endpoints import plain

LOAD_TIMEOUT_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 30.0
MAX_CONNECTIONS_PER_ENDPOINT = 64


class _LoadModel(pydantic.BaseModel):
    running: int = pydantic.Field(ge=0)
    waiting: int = pydantic.Field(ge=0)
    answered_total: int = pydantic.Field(ge=0)
    started_s: float
    tokens_total: int = pydantic.Field(0, ge=0)


class Clients:
    """Starts all attempts of a node over a shared connection pool."""

    def __init__(self, reactor: interfaces.IReactorCore) -> None:
        self._reactor = reactor
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS_PER_ENDPOINT
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        timeout_s = http_attempt.CONNECT_TIMEOUT_S
        self._agent = client.Agent(
            reactor, connectTimeout=timeout_s, pool=self._pool
        )
        self._unpooled_agent = client.Agent(reactor, connectTimeout=timeout_s)

    def start(
        self,
        kind: topology.ServiceKind,
        request: base.AttemptRequest,
        listener: base.AttemptListener,
        retryable: bool,
    ) -> base.Attempt:
        """Start an attempt and return it.

        A call that must not be retried gets a new connection: a pooled
        one that the endpoint is just closing would leave the outcome
        of the call unknown.
        """
        attempt: http_attempt.HttpAttempt
        agent = self._agent if retryable else self._unpooled_agent
        if kind is topology.ServiceKind.MODEL:
            attempt = engines.EngineAttempt(
                agent,
                self._reactor,
                request,
                listener,
                engines.IDLE_TIMEOUT_S,
            )
        else:
            call = plain.PlainAttempt(
                agent, self._reactor, request, listener, plain.IDLE_TIMEOUT_S
            )
            call.retryable = retryable
            attempt = call
        attempt.start()
        return attempt

    async def load(self, address: str) -> topology.LoadReport | None:
        """Return an endpoint's load report, or None if it cannot be read."""
        url = f"http://{address}/load".encode()
        pending_response = self._agent.request(b"GET", url)
        pending_response.addCallback(_read_report)
        pending_response.addTimeout(LOAD_TIMEOUT_S, self._reactor)
        try:
            report: topology.LoadReport | None = await pending_response
        except Exception:
            return None
        return report

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()


def _read_report(
    response: client.Response,
) -> defer.Deferred[topology.LoadReport | None]:
    return defer.ensureDeferred(_parse_report(response))


async def _parse_report(
    response: client.Response,
) -> topology.LoadReport | None:
    body = await client.readBody(response)
    if response.code != 200:
        return None
    model = _LoadModel.model_validate_json(body)
    return topology.LoadReport(
        model.running,
        model.waiting,
        model.answered_total,
        model.started_s,
        model.tokens_total,
    )
