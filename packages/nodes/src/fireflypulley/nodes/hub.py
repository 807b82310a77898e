"""All node streams of a node: the peers and the calls."""

import abc
import collections
import collections.abc

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task

from fireflypulley.core import topology
from fireflypulley.nodes import codec
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.nodes import streams

HEARTBEAT_S = 1.0
DIAL_TIMEOUT_S = 1.0
MAX_WAITING_MESSAGES = 1000

_Resolver = collections.abc.Callable[[str], topology.Node | None]


class HubListener(abc.ABC):
    """Hears of peers and of what nodes say."""

    @abc.abstractmethod
    def peer_up(self, node_id: str, incarnation: int) -> None:
        """A peer stream is ready."""

    @abc.abstractmethod
    def peer_down(self, node_id: str) -> None:
        """The last peer stream to a node is gone."""

    @abc.abstractmethod
    def heard(self, node_id: str, message: messages.Message) -> None:
        """A message of a node has come."""


class _Factory(protocol.Factory):
    noisy = False

    def __init__(
        self, hub: "Hub", purpose: messages.Purpose, dialed: bool
    ) -> None:
        self._hub = hub
        self._purpose = purpose
        self._dialed = dialed

    def buildProtocol(self, addr: interfaces.IAddress) -> protocol.Protocol:
        return self._hub.new_stream(self._purpose, self._dialed)


class Hub(streams.StreamOwner):
    """Listens, dials the wanted peers, and sends.

    ``dial`` is a client endpoint string with ``{host}`` and ``{port}``,
    so that TLS can be set there.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        this: topology.Node,
        incarnation: int,
        ring: keys.KeyRing,
        dial: str,
        listener: HubListener,
        resolve: _Resolver,
    ) -> None:
        self._reactor = reactor
        self._this = this
        self._incarnation = incarnation
        self._ring = ring
        self._dial_string = dial
        self._listener = listener
        self._resolve = resolve
        self._streams: dict[str, list[streams.NodeStream]]
        self._streams = collections.defaultdict(list)
        self._waiting: dict[str, list[bytes]] = {}
        self._wanted: tuple[str, ...] = ()
        self._dialing: set[str] = set()
        self._stopped = False
        self._loop = task.LoopingCall(self._beat)
        self.bytes_sent = 0
        self.messages_sent = 0

    def start(self) -> None:
        """Begin to dial and to send heartbeats."""
        self._loop.start(HEARTBEAT_S, now=False)

    def stop(self) -> None:
        """Close all streams; the listener hears no more."""
        self._stopped = True
        self._wanted = ()
        if self._loop.running:
            self._loop.stop()
        for found in list(self._streams.values()):
            for stream in list(found):
                stream.close()

    def server_factory(self) -> protocol.Factory:
        """Return the factory for streams that others dial."""
        return _Factory(self, messages.Purpose.PEER, False)

    def new_stream(
        self, purpose: messages.Purpose, dialed: bool
    ) -> streams.NodeStream:
        """Return a stream that drops when its handshake takes long."""
        stream = streams.NodeStream(self, self._ring, purpose, dialed)
        self._reactor.callLater(
            streams.HANDSHAKE_TIMEOUT_S, self._drop_unproved, stream
        )
        return stream

    def _drop_unproved(self, stream: streams.NodeStream) -> None:
        if not stream.ready and stream.transport is not None:
            stream.transport.abortConnection()

    def want_peers(self, node_ids: tuple[str, ...]) -> None:
        """Keep peer streams to these nodes."""
        self._wanted = node_ids
        self._dial_missing()

    def drop_peer(self, node_id: str) -> None:
        """Close the streams to a node."""
        for stream in list(self._streams.get(node_id, ())):
            stream.close()

    @property
    def peers(self) -> list[str]:
        """Return the nodes that a peer stream is open to."""
        return [
            node_id
            for node_id, found in self._streams.items()
            if any(stream.purpose is _PEER for stream in found)
        ]

    def drop_unwanted(self) -> None:
        """Close the streams dialed to nodes that are not wanted now."""
        for node_id, found in list(self._streams.items()):
            if node_id in self._wanted:
                continue
            for stream in list(found):
                if stream.dialed and stream.purpose is _PEER:
                    stream.close()

    def send_to(
        self,
        node_ids: collections.abc.Iterable[str],
        message: messages.Message,
    ) -> None:
        """Send the same message to several peers."""
        data = codec.encode(message)
        for node_id in node_ids:
            found = self._streams.get(node_id)
            if found:
                self._send_on(found[0], data)

    def spread(
        self, message: messages.Message, except_node: str | None
    ) -> None:
        """Send to all peers but one."""
        data = codec.encode(message)
        for node_id, found in self._streams.items():
            if node_id == except_node:
                continue
            peers = [s for s in found if s.purpose is _PEER]
            if peers:
                self._send_on(peers[0], data)

    def _send_on(self, stream: streams.NodeStream, data: bytes) -> None:
        self.bytes_sent += len(data)
        self.messages_sent += 1
        stream.send_bytes(data)

    def send(self, node_id: str, message: messages.Message) -> None:
        """Send to one node, dialing it when there is no stream.

        A message that cannot be delivered is dropped.
        """
        data = codec.encode(message)
        found = self._streams.get(node_id)
        if found:
            self._send_on(found[0], data)
            return
        waiting = self._waiting.setdefault(node_id, [])
        if len(waiting) < MAX_WAITING_MESSAGES:
            waiting.append(data)
        self._dial(node_id, messages.Purpose.CALL)

    def _dial_missing(self) -> None:
        for node_id in self._wanted:
            found = self._streams.get(node_id, ())
            if not any(s.purpose is _PEER for s in found):
                self._dial(node_id, messages.Purpose.PEER)

    def _dial(self, node_id: str, purpose: messages.Purpose) -> None:
        node = self._resolve(node_id)
        if node is None or node_id in self._dialing:
            return
        self._dialing.add(node_id)
        host, port = node.address.rsplit(":", 1)
        endpoint = endpoints.clientFromString(
            self._reactor, self._dial_string.format(host=host, port=port)
        )
        connecting = endpoint.connect(_Factory(self, purpose, True))
        connecting.addTimeout(DIAL_TIMEOUT_S, self._reactor)
        connecting.addBoth(self._dialed, node_id)

    def _dialed(self, result: object, node_id: str) -> None:
        self._dialing.discard(node_id)
        if not isinstance(result, protocol.Protocol):
            self._waiting.pop(node_id, None)

    def _beat(self) -> None:
        data = codec.encode(messages.Heartbeat())
        for found in list(self._streams.values()):
            for stream in found:
                self._send_on(stream, data)
        self._dial_missing()

    # streams.StreamOwner

    def hello(self, purpose: messages.Purpose) -> messages.Hello:
        return messages.Hello(
            self._this.node_id, self._incarnation, purpose, streams.nonce()
        )

    def stream_up(self, stream: streams.NodeStream) -> None:
        found = self._streams[stream.node_id]
        first = not any(s.purpose is _PEER for s in found)
        found.append(stream)
        for data in self._waiting.pop(stream.node_id, []):
            self._send_on(stream, data)
        if stream.purpose is _PEER and first:
            self._listener.peer_up(stream.node_id, stream.incarnation)

    def stream_message(
        self, stream: streams.NodeStream, message: messages.Message
    ) -> None:
        self._listener.heard(stream.node_id, message)

    def stream_down(self, stream: streams.NodeStream) -> None:
        found = self._streams.get(stream.node_id, [])
        if stream in found:
            found.remove(stream)
        if not found:
            self._streams.pop(stream.node_id, None)
        if self._stopped or stream.purpose is not _PEER:
            return
        if not any(s.purpose is _PEER for s in found):
            self._listener.peer_down(stream.node_id)


_PEER = messages.Purpose.PEER
