"""HTTP requests to the platform over persistent connections."""

import dataclasses
import io

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from fireflypulley.core import statuses
from fireflypulley.platform import base
from fireflypulley.transport import watched_endpoint

TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTION_TIMEOUT_S = 30.0
MAX_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A complete HTTP response; names of header fields are lower-case."""

    code: int
    etag: str
    body: bytes
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


@interface.implementer(iweb.IAgentEndpointFactory)
class _EndpointFactory:
    """Connects so that a connection that went silent is noticed."""

    def __init__(self, reactor: interfaces.IReactorCore) -> None:
        self._reactor = reactor
        self._tls_policy = client.BrowserLikePolicyForHTTPS()

    def endpointForURI(
        self, uri: client.URI
    ) -> interfaces.IStreamClientEndpoint:
        endpoint = endpoints.HostnameEndpoint(
            self._reactor, uri.host, uri.port, CONNECT_TIMEOUT_S
        )
        if uri.scheme == b"https":
            tls = self._tls_policy.creatorForNetloc(uri.host, uri.port)
            endpoint = endpoints.wrapClientTLS(tls, endpoint)
        return watched_endpoint.WatchedEndpoint(endpoint)


class HttpClient:
    """Sends requests to a base URL with a bearer token."""

    def __init__(
        self, reactor: interfaces.IReactorCore, url: str, token: str = ""
    ) -> None:
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._token = token
        self._pool = client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_CONNECTION_TIMEOUT_S
        self._agent = client.Agent.usingEndpointFactory(
            reactor, _EndpointFactory(reactor), self._pool
        )

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> Reply:
        """Return the response; raises ``base.Unavailable``.

        A 5xx response also raises, since the write may have taken
        effect, and so does one whose status is none, or a body without a
        length: its end can't be told from that of the service.
        """
        pending_reply = self._send(method, path, body, headers or {})
        pending_reply.addTimeout(timeout_s, self._reactor)
        try:
            reply: Reply = await pending_reply
        except (
            error.ConnectError,
            error.ConnectingCancelledError,
            error.ConnectionClosed,
            defer.TimeoutError,
            defer.CancelledError,
            client.ResponseFailed,
            client.RequestGenerationFailed,
            client.RequestTransmissionFailed,
        ) as failure:
            raise base.Unavailable(f"{method} {path}: {failure!r}")
        except client.PartialDownloadError:
            raise base.Unavailable(f"{method} {path}: body without a length")
        if reply.code >= 500 or not statuses.is_final(reply.code):
            raise base.Unavailable(f"{method} {path}: {reply.code}")
        return reply

    def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> defer.Deferred[Reply]:
        all_headers = http_headers.Headers()
        if self._token:
            credential = f"Bearer {self._token}"
            all_headers.setRawHeaders("Authorization", [credential])
        for name, value in headers.items():
            all_headers.setRawHeaders(name, [value])
        producer = None
        if body is not None:
            producer = client.FileBodyProducer(io.BytesIO(body))
            all_headers.setRawHeaders("Content-Type", ["application/json"])
        pending_reply = self._agent.request(
            method.encode(),
            (self._url + path).encode(),
            all_headers,
            producer,
        )
        return pending_reply.addCallback(_read)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._pool.closeCachedConnections()


async def _read_body(response: client.Response) -> Reply:
    body = await client.readBody(response)
    headers = {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }
    return Reply(response.code, headers.get("etag", ""), body, headers)


def _read(response: client.Response) -> defer.Deferred[Reply]:
    return defer.ensureDeferred(_read_body(response))
