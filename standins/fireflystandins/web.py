"""Shared by the stand-ins: JSON resources on loopback ports."""

import json
import typing

from twisted.internet import reactor
from twisted.python import log
from twisted.web import http
from twisted.web import resource
from twisted.web import server

Json = typing.Any


class JsonRequest:
    """A request with its path parts and its JSON body."""

    def __init__(self, request: http.Request) -> None:
        self.raw = request
        self.response_headers: dict[str, str] = {}
        self.method = request.method.decode()
        self.parts = [part.decode() for part in request.postpath]

    def body(self) -> Json:
        """Return the decoded body, or None if it is empty."""
        content = self.raw.content.read()
        return json.loads(content) if content else None

    def argument(self, name: str, default: str = "") -> str:
        """Return a query argument."""
        values = self.raw.args.get(name.encode(), [default.encode()])
        return values[0].decode()

    def header(self, name: str) -> str:
        """Return a header, or an empty string if it is missing."""
        return self.raw.getHeader(name) or ""

    def respond(self, code: int, body: Json = None, etag: str = "") -> None:
        """Send a JSON response."""
        if self.raw._disconnected:
            return
        self.raw.setResponseCode(code)
        for name, value in self.response_headers.items():
            self.raw.setHeader(name, value)
        if etag:
            self.raw.setHeader("ETag", etag)
        if body is not None:
            self.raw.setHeader("Content-Type", "application/json")
            self.raw.write(json.dumps(body).encode())
        self.raw.finish()

    def respond_bytes(self, code: int, content: bytes, etag: str) -> None:
        """Send a response of raw bytes."""
        self.raw.setResponseCode(code)
        self.raw.setHeader("ETag", etag)
        self.raw.write(content)
        self.raw.finish()

    def abort(self) -> None:
        """Close the connection without a response."""
        self.raw.transport.abortConnection()


class RootResource(resource.Resource):
    """Passes every request to one function."""

    isLeaf = True

    def __init__(self, handler: typing.Callable[[JsonRequest], None]) -> None:
        super().__init__()
        self._handler = handler

    def render(self, request: http.Request) -> int:
        try:
            self._handler(JsonRequest(request))
        except Exception:
            log.err()
            request.setResponseCode(500)
            request.finish()
        return server.NOT_DONE_YET


def serve(handler: typing.Callable[[JsonRequest], None], address: str) -> None:
    """Listen on ``host:port`` and run until stopped."""
    host, port = address.rsplit(":", 1)
    site = server.Site(RootResource(handler))
    reactor.listenTCP(int(port), site, interface=host)
    print(f"listening on {address}", flush=True)
    reactor.run()
