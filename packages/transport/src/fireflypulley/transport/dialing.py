"""Client endpoints from addresses in the form HOST:PORT."""

from twisted.internet import endpoints
from twisted.internet import interfaces


def tcp_endpoint(
    reactor: interfaces.IReactorTime, address: str, timeout_s: float
) -> endpoints.TCP4ClientEndpoint:
    """Return an endpoint that gives up connecting after a time."""
    host, port = address.rsplit(":", 1)
    return endpoints.TCP4ClientEndpoint(
        reactor, host, int(port), timeout=timeout_s
    )
