"""A plain TCP forwarder, the baseline for the gateway."""

from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor


class _Side(protocol.Protocol):
    """One side of a forwarded connection."""

    def __init__(self) -> None:
        self.other: _Side | None = None
        self._pending: list[bytes] = []

    def connect_to(self, other: "_Side") -> None:
        """Join both sides and send the bytes received so far."""
        self.other, other.other = other, self
        for data in self._pending:
            other.transport.write(data)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        if self.other is None:
            self._pending.append(data)
        else:
            self.other.transport.write(data)

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:
        if self.other is not None:
            self.other.transport.loseConnection()


class _Incoming(_Side):
    def __init__(self, target: endpoints.TCP4ClientEndpoint) -> None:
        super().__init__()
        self._target = target

    def connectionMade(self) -> None:
        super().connectionMade()
        dialing = self._target.connect(protocol.Factory.forProtocol(_Side))
        dialing.addCallbacks(
            self.connect_to, lambda _: self.transport.loseConnection()
        )


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, target: endpoints.TCP4ClientEndpoint) -> None:
        self._target = target

    def buildProtocol(self, addr: object) -> _Incoming:
        return _Incoming(self._target)


def serve(address: str, target: str) -> None:
    """Forward connections from one address to another until stopped."""
    host, port = address.rsplit(":", 1)
    target_host, target_port = target.rsplit(":", 1)
    endpoint = endpoints.TCP4ClientEndpoint(
        reactor, target_host, int(target_port)
    )
    reactor.listenTCP(int(port), _Factory(endpoint), interface=host)
    print(f"listening on {address}", flush=True)
    reactor.run()
