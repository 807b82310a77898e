"""Connections between nodes that may be cut, silenced or closed.

Each node has a clock of its own, so that it can stand still.
"""

import dataclasses

from twisted.internet import address
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from fireflypulley.transport import sockets

DELAY_S = 0.002


class _Handle:
    """Accepts the options of a socket."""

    def setsockopt(self, *option):
        pass


@dataclasses.dataclass(eq=False)
class _End:
    """One end of a connection between two nodes, as a transport."""

    wires: "Wires"
    node: object
    protocol: object = None
    other: "_End | None" = None
    is_open: bool = True
    is_silent: bool = False
    is_finished: bool = False
    unread: list = dataclasses.field(default_factory=list)
    unsent_since_s: float | None = None
    producer: object = None
    is_streaming: bool = True

    def write(self, data):
        if self.is_open:
            self.wires.send(self, data)
            self.node.reactor.callLater(0, self._ask_for_more)

    def abortConnection(self):
        self.wires.abort(self)

    def loseConnection(self):
        self.wires.close(self)

    def registerProducer(self, producer, streaming):
        """Stop the producer at the end; nothing waits, so never pause it."""
        self.producer, self.is_streaming = producer, streaming
        self._ask_for_more()

    def _ask_for_more(self):
        """Ask a pull producer, as Twisted does when all is written."""
        if self.producer is not None and not self.is_streaming:
            self.producer.resumeProducing()

    def unregisterProducer(self):
        self.producer = None

    def stopProducing(self):
        self.loseConnection()

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return _Handle()

    def getPeer(self):
        return address.IPv4Address("TCP", self.other.node.host, 1)

    getHost = getPeer


class NodeReactor(task.Clock):
    """The clock and the connections of one node."""

    def __init__(self, wires, node):
        super().__init__()
        self._wires = wires
        self._node = node

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = _Connector(host, port)
        factory.startedConnecting(connector)
        self._wires.connect(self._node, connector, factory, timeout)
        return connector


class _Connector:
    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.is_stopped = False
        self.is_connected = False

    def getDestination(self):
        return address.IPv4Address("TCP", self.host, self.port)

    def stopConnecting(self):
        self.is_stopped = True


class Wires:
    """The network between the nodes."""

    def __init__(self, clock):
        self.clock = clock
        self.nodes = {}
        self.cut = set()
        self.ends = []

    def _reaches(self, node, other):
        return (
            node.is_up
            and other.is_up
            and not self.cut & {node.name, other.name}
            and (node.name, other.name) not in self.cut
            and (other.name, node.name) not in self.cut
        )

    def connect(self, node, connector, factory, timeout_s):
        self.clock.callLater(
            DELAY_S, self._connect, node, connector, factory, timeout_s
        )
        node.reactor.callLater(timeout_s, self._give_up, connector, factory)

    def _give_up(self, connector, factory):
        if not connector.is_connected:
            connector.is_stopped = True
            reason = failure.Failure(error.TimeoutError())
            factory.clientConnectionFailed(connector, reason)

    def _connect(self, node, connector, factory, timeout_s):
        other = self._listening(connector.host)
        if connector.is_stopped or not node.is_up:
            return
        if other is None or not self._reaches(node, other):
            return
        if other.is_frozen:
            other.when_thawed.append(
                lambda: self._connect(node, connector, factory, timeout_s)
            )
            return
        connector.is_connected = True
        here, there = _End(self, node), _End(self, other)
        here.other, there.other = there, here
        self.ends += [here, there]
        there.protocol = other.server_factory().buildProtocol(None)
        here.protocol = factory.buildProtocol(None)
        there.protocol.makeConnection(there)
        here.protocol.makeConnection(here)

    def _listening(self, host):
        for node in self.nodes.values():
            if node.host == host and node.is_up:
                return node
        return None

    def send(self, end, data):
        end.other.unread.append((self.clock.seconds() + DELAY_S, data))
        if end.unsent_since_s is None:
            end.unsent_since_s = self.clock.seconds()

    def abort(self, end):
        """Close an end; the other one learns of it if it can be reached."""
        if not end.is_open:
            return
        end.is_open = False
        end.node.reactor.callLater(0, self._lose, end, error.ConnectionAborted)
        if self._is_passable(end):
            self.clock.callLater(DELAY_S, self._reset, end.other)

    def close(self, end):
        """Close an end in order, after what it has sent."""
        if not end.is_open:
            return
        end.is_open = False
        end.is_finished = True
        end.node.reactor.callLater(0, self._lose, end, error.ConnectionDone)
        self.clock.callLater(2 * DELAY_S, self._finish, end.other)

    def _finish(self, end):
        if end.is_open and end.node.is_up:
            while end.unread:
                end.protocol.dataReceived(end.unread.pop(0)[1])
            end.is_open = False
            self._lose(end, error.ConnectionDone)

    def _is_passable(self, end):
        is_silent = end.is_silent or end.other.is_silent
        return not is_silent and self._reaches(end.node, end.other.node)

    def _reset(self, end):
        if end.is_open and end.node.is_up:
            end.is_open = False
            end.node.reactor.callLater(
                0, self._lose, end, error.ConnectionLost
            )

    def _lose(self, end, reason):
        if end in self.ends:
            self.ends.remove(end)
        producer, end.producer = end.producer, None
        if producer is not None:
            # As Twisted does, before the protocol learns of the loss.
            producer.stopProducing()
        end.protocol.connectionLost(failure.Failure(reason()))

    def deliver(self):
        """Deliver what may arrive, and end what stays unacknowledged."""
        now_s = self.clock.seconds()
        for end in list(self.ends):
            source = end.other
            if source.is_open and self._is_passable(source):
                self._read(end, source, now_s)
            waited_s = now_s - (source.unsent_since_s or now_s)
            if waited_s > sockets.USER_TIMEOUT_MS / 1000:
                self._time_out(source)
        for end in list(self.ends):
            # The peer's process is gone; its system answers with a reset.
            is_reset = not (end.other.is_open or end.other.is_finished)
            if is_reset and self._is_passable(end):
                self._reset(end)

    def _read(self, end, source, now_s):
        source.unsent_since_s = None
        if end.node.is_frozen:
            return
        while end.is_open and end.unread and end.unread[0][0] <= now_s:
            _, data = end.unread.pop(0)
            end.protocol.dataReceived(data)

    def _time_out(self, end):
        if end.is_open and not end.node.is_frozen:
            end.is_open = False
            end.node.reactor.callLater(0, self._lose, end, error.TimeoutError)

    def stop_node(self, node):
        """Lose all connections of a node, whose process is gone."""
        for end in list(self.ends):
            if end.node is node:
                self.ends.remove(end)
                end.is_open = False

    def silence(self, rng, share):
        """Let a share of the open connections go silent for good."""
        for end in self.ends:
            if rng.random() < share:
                end.is_silent = True
