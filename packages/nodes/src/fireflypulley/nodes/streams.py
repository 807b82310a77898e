"""A connection to another node: a handshake, then messages."""

import abc
import secrets

from twisted.internet import protocol
from twisted.python import failure

from fireflypulley.nodes import codec
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.transport import sockets

HANDSHAKE_TIMEOUT_S = 3.0
MAX_HANDSHAKE_BYTES = 4096
MAX_UNSENT_BYTES = 32 << 20


class StreamOwner(abc.ABC):
    """Is notified of streams that have completed the handshake."""

    @abc.abstractmethod
    def hello(self, purpose: messages.Purpose) -> messages.Hello:
        """Return the first handshake message of this node."""

    @property
    @abc.abstractmethod
    def features(self) -> tuple[str, ...]:
        """Return the kinds of messages that older nodes can't read."""

    @abc.abstractmethod
    def stream_up(self, stream: "NodeStream") -> None:
        """Handle a stream that has completed the handshake."""

    @abc.abstractmethod
    def stream_message(
        self, stream: "NodeStream", message: messages.Message
    ) -> None:
        """Handle a message received on a stream."""

    @abc.abstractmethod
    def stream_down(self, stream: "NodeStream") -> None:
        """Handle the loss of a stream that was ready."""

    def stream_refused(self, stream: "NodeStream") -> None:
        """Handle the loss of a stream whose handshake was not complete."""


class NodeStream(protocol.Protocol):
    """The protocol of a stream; the same for both sides."""

    def __init__(
        self,
        owner: StreamOwner,
        ring: keys.KeyRing,
        purpose: messages.Purpose,
        dialed: bool,
    ) -> None:
        self._owner = owner
        self._ring = ring
        self._reader = codec.Reader(MAX_HANDSHAKE_BYTES)
        self._own_hello = owner.hello(purpose)
        self._peer_hello: messages.Hello | None = None
        self.ready = False
        self.purpose = purpose
        self.dialed = dialed
        self.node_id = ""
        self.incarnation = 0
        self.features: tuple[str, ...] = ()

    def connectionMade(self) -> None:
        sockets.set_tcp_options(self.transport)
        self._write(self._own_hello)

    def dataReceived(self, data: bytes) -> None:
        try:
            received = self._reader.feed(data)
        except codec.BadMessage:
            self.transport.abortConnection()
            return
        for message in received:
            self._handle(message)

    def _handle(self, message: messages.Message) -> None:
        if self.ready:
            self._owner.stream_message(self, message)
        elif isinstance(message, messages.Hello) and self._peer_hello is None:
            self._handle_hello(message)
        elif isinstance(message, messages.Proof) and self._peer_hello:
            self._handle_proof(message)
        else:
            self.transport.abortConnection()

    def _handle_hello(self, hello: messages.Hello) -> None:
        self._peer_hello = hello
        for purpose in (messages.Purpose.TUNNEL, messages.Purpose.CALL):
            if purpose in (hello.purpose, self.purpose):
                self.purpose = purpose
                break
        text = _signed_text(self._own_hello, hello)
        signatures = self._ring.sign(text)
        self._write(messages.Proof(signatures, self._owner.features))

    def _handle_proof(self, proof: messages.Proof) -> None:
        assert self._peer_hello is not None
        text = _signed_text(self._peer_hello, self._own_hello)
        reflected = self._peer_hello.nonce == self._own_hello.nonce
        if reflected or not self._ring.verify(text, proof.signatures):
            self.transport.abortConnection()
            return
        self.ready = True
        self.node_id = self._peer_hello.node_id
        self.incarnation = self._peer_hello.incarnation
        self.features = proof.features
        self._reader = codec.Reader(codec.MAX_MESSAGE_BYTES)
        self._owner.stream_up(self)

    def _write(self, message: messages.Message) -> None:
        self.transport.write(codec.encode(message))

    def send(self, message: messages.Message) -> None:
        """Send a message.

        Aborts the connection if more than ``MAX_UNSENT_BYTES`` are buffered.
        """
        self.send_bytes(codec.encode(message))

    def send_bytes(self, data: bytes) -> None:
        """Send an encoded message; see ``send``."""
        if not self.ready:
            return
        self.transport.write(data)
        unsent = getattr(self.transport, "_tempDataLen", 0)
        if unsent > MAX_UNSENT_BYTES:
            self.transport.abortConnection()

    def supports(self, feature: str) -> bool:
        """Return whether both nodes have named a feature."""
        return feature in self.features and feature in self._owner.features

    def set_owner(self, owner: StreamOwner) -> None:
        """Notify another owner from the next message on."""
        self._owner = owner

    def hand_over(self, successor: protocol.Protocol) -> None:
        """Let another protocol use the connection from now on."""
        transport, self.transport = self.transport, None
        self.ready = False
        transport.protocol = successor
        successor.makeConnection(transport)

    def close(self) -> None:
        """Abort the connection."""
        self.transport.abortConnection()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        # Objects that refer to each other are freed much later.
        self._reader = codec.Reader(MAX_HANDSHAKE_BYTES)
        if not self.ready:
            self._owner.stream_refused(self)
            return
        self.ready = False
        self._owner.stream_down(self)


def nonce() -> bytes:
    """Return random bytes for one handshake."""
    return secrets.token_bytes(keys.NONCE_BYTES)


def _signed_text(signer: messages.Hello, other: messages.Hello) -> bytes:
    return codec.encode(signer) + codec.encode(other)
