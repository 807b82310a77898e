"""Manages a node's streams to other nodes."""

import abc
import collections
import collections.abc

from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task
from twisted import logger

from fireflypulley.core import topology
from fireflypulley.nodes import codec
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.nodes import streams

HEARTBEAT_S = 1.0
DIAL_TIMEOUT_S = 1.0
MAX_PENDING_MESSAGES = 1000

_LOG = logger.Logger()

_TunnelReceiver = collections.abc.Callable[
    [streams.NodeStream, messages.TunnelRequest], None
]
_Resolver = collections.abc.Callable[[str], topology.Node | None]


class HubListener(abc.ABC):
    """Is notified of peers and of received messages."""

    @abc.abstractmethod
    def peer_up(self, node_id: str, incarnation: int) -> None:
        """Handle a new peer stream, which carries what is sent from now on.

        What was sent over another stream before may be lost.
        """

    @abc.abstractmethod
    def peer_down(self, node_id: str) -> None:
        """Handle the loss of the last peer stream to a node."""

    @abc.abstractmethod
    def message_received(
        self, node_id: str, message: messages.Message
    ) -> None:
        """Handle a message from a node."""


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
    """Accepts streams, connects to the wanted peers and sends messages.

    Two nodes may have several streams, as when both dial, or when one side
    has not noticed yet that a stream is dead.  The newest one, which has
    just carried a handshake both ways, carries what is sent.

    ``dial_template`` is a Twisted client endpoint string with ``{host}``
    and ``{port}``; it selects TCP or TLS.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        local_node: topology.Node,
        incarnation: int,
        ring: keys.KeyRing,
        dial_template: str,
        listener: HubListener,
        resolve: _Resolver,
        features: tuple[str, ...] = (),
    ) -> None:
        self._reactor = reactor
        self._local_node = local_node
        self._incarnation = incarnation
        self._ring = ring
        self._dial_template = dial_template
        self._listener = listener
        self._resolve = resolve
        self._features = features
        self._streams: dict[str, list[streams.NodeStream]]
        self._streams = collections.defaultdict(list)
        self._pending: dict[str, list[bytes]] = {}
        self._wanted_peers: tuple[str, ...] = ()
        self._dialing: set[str] = set()
        self._stopped = False
        self.receive_tunnel: _TunnelReceiver | None = None
        self._heartbeat_loop = task.LoopingCall(self._send_heartbeats)
        self._heartbeat_loop.clock = reactor
        self.bytes_sent = 0
        self.messages_sent = 0

    def start(self) -> None:
        """Start connecting to peers and sending heartbeats."""
        self._heartbeat_loop.start(HEARTBEAT_S, now=False)

    def stop(self) -> None:
        """Close all streams without notifying the listener."""
        self._stopped = True
        self._wanted_peers = ()
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        for node_streams in list(self._streams.values()):
            for stream in list(node_streams):
                stream.close()

    def server_factory(self) -> protocol.Factory:
        """Return the factory for streams that other nodes open."""
        return _Factory(self, messages.Purpose.PEER, False)

    def new_stream(
        self, purpose: messages.Purpose, dialed: bool
    ) -> streams.NodeStream:
        """Return a stream that is closed if its handshake times out."""
        stream = streams.NodeStream(self, self._ring, purpose, dialed)
        self._reactor.callLater(
            streams.HANDSHAKE_TIMEOUT_S, self._drop_unauthenticated, stream
        )
        return stream

    def _drop_unauthenticated(self, stream: streams.NodeStream) -> None:
        if not stream.ready and stream.transport is not None:
            stream.transport.abortConnection()

    def set_wanted_peers(self, node_ids: tuple[str, ...]) -> None:
        """Set the nodes to keep peer streams to."""
        self._wanted_peers = node_ids
        self._dial_missing()

    def drop_peer(self, node_id: str) -> None:
        """Close all streams to a node."""
        for stream in list(self._streams.get(node_id, ())):
            stream.close()

    @property
    def peers(self) -> list[str]:
        """Return the nodes with an open peer stream."""
        return [
            node_id
            for node_id, node_streams in self._streams.items()
            if any(stream.purpose is _PEER for stream in node_streams)
        ]

    def peers_with(self, feature: str) -> list[str]:
        """Return the nodes with a stream that can read a kind of message."""
        return [
            node_id
            for node_id, node_streams in self._streams.items()
            if node_streams and feature in node_streams[-1].features
        ]

    def close_unwanted(self) -> None:
        """Close the peer streams this node dialed to nodes not wanted now."""
        for node_id, node_streams in list(self._streams.items()):
            if node_id in self._wanted_peers:
                continue
            for stream in list(node_streams):
                if stream.dialed and stream.purpose is _PEER:
                    stream.close()

    def send_to(
        self,
        node_ids: collections.abc.Iterable[str],
        message: messages.Message,
    ) -> None:
        """Send a message to the given nodes that have a stream."""
        data = codec.encode(message)
        for node_id in node_ids:
            node_streams = self._streams.get(node_id)
            if node_streams:
                self._send_on(node_streams[-1], data)

    def broadcast(
        self, message: messages.Message, except_node: str | None
    ) -> None:
        """Send a message to all peers except ``except_node``."""
        data = codec.encode(message)
        for node_id, node_streams in self._streams.items():
            if node_id == except_node:
                continue
            peers = [s for s in node_streams if s.purpose is _PEER]
            if peers:
                self._send_on(peers[-1], data)

    def _send_on(self, stream: streams.NodeStream, data: bytes) -> None:
        self.bytes_sent += len(data)
        self.messages_sent += 1
        stream.send_bytes(data)

    def send(self, node_id: str, message: messages.Message) -> None:
        """Send a message to one node; connect first if there is no stream.

        A message that cannot be delivered is dropped.
        """
        data = codec.encode(message)
        node_streams = self._streams.get(node_id)
        if node_streams:
            self._send_on(node_streams[-1], data)
            return
        pending = self._pending.setdefault(node_id, [])
        if len(pending) < MAX_PENDING_MESSAGES:
            pending.append(data)
        self._dial(node_id, messages.Purpose.CALL)

    def _dial_missing(self) -> None:
        for node_id in self._wanted_peers:
            node_streams = self._streams.get(node_id, ())
            if not any(s.purpose is _PEER for s in node_streams):
                self._dial(node_id, messages.Purpose.PEER)

    def _dial(self, node_id: str, purpose: messages.Purpose) -> None:
        node = self._resolve(node_id)
        if node is None or node_id in self._dialing:
            return
        try:
            endpoint = self._endpoint(node.address)
        except ValueError:
            # Another node's mistake; the other nodes are still dialed.
            _LOG.failure("Bad address of node {node_id}", node_id=node_id)
            return
        self._dialing.add(node_id)
        connecting = endpoint.connect(_Factory(self, purpose, True))
        connecting.addTimeout(DIAL_TIMEOUT_S, self._reactor)
        connecting.addBoth(self._on_dial_result, node_id)

    def _endpoint(self, address: str) -> interfaces.IStreamClientEndpoint:
        """Return the endpoint of an address; raise ``ValueError``."""
        host, port = address.rsplit(":", 1)
        return endpoints.clientFromString(
            self._reactor, self._dial_template.format(host=host, port=port)
        )

    def _on_dial_result(self, result: object, node_id: str) -> None:
        self._dialing.discard(node_id)
        if not isinstance(result, protocol.Protocol):
            self._pending.pop(node_id, None)

    def _send_heartbeats(self) -> None:
        data = codec.encode(messages.Heartbeat())
        for node_streams in list(self._streams.values()):
            for stream in node_streams:
                self._send_on(stream, data)
        self._dial_missing()

    # streams.StreamOwner

    def hello(self, purpose: messages.Purpose) -> messages.Hello:
        return messages.Hello(
            self._local_node.node_id,
            self._incarnation,
            purpose,
            streams.nonce(),
        )

    @property
    def features(self) -> tuple[str, ...]:
        return self._features

    def stream_up(self, stream: streams.NodeStream) -> None:
        if stream.purpose is messages.Purpose.TUNNEL:
            return
        self._streams[stream.node_id].append(stream)
        for data in self._pending.pop(stream.node_id, []):
            self._send_on(stream, data)
        if stream.purpose is _PEER:
            self._listener.peer_up(stream.node_id, stream.incarnation)

    def stream_message(
        self, stream: streams.NodeStream, message: messages.Message
    ) -> None:
        if stream.purpose is messages.Purpose.TUNNEL:
            self._open_tunnel(stream, message)
            return
        self._listener.message_received(stream.node_id, message)

    def _open_tunnel(
        self, stream: streams.NodeStream, message: messages.Message
    ) -> None:
        is_request = isinstance(message, messages.TunnelRequest)
        if not is_request or self.receive_tunnel is None:
            stream.close()
            return
        self.receive_tunnel(stream, message)

    def stream_down(self, stream: streams.NodeStream) -> None:
        node_streams = self._streams.get(stream.node_id, [])
        was_newest = node_streams[-1:] == [stream]
        if stream in node_streams:
            node_streams.remove(stream)
        if not node_streams:
            self._streams.pop(stream.node_id, None)
        if self._stopped or stream.purpose is not _PEER:
            return
        left = [s for s in node_streams if s.purpose is _PEER]
        if not left:
            self._listener.peer_down(stream.node_id)
        elif was_newest:
            self._listener.peer_up(stream.node_id, left[-1].incarnation)


_PEER = messages.Purpose.PEER
