"""One stream to another node: handshake, then messages."""

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
    """Hears of streams that have passed the handshake."""

    @abc.abstractmethod
    def hello(self, purpose: messages.Purpose) -> messages.Hello:
        """Return how this node introduces itself."""

    @abc.abstractmethod
    def stream_up(self, stream: "NodeStream") -> None:
        """A stream is ready."""

    @abc.abstractmethod
    def stream_message(
        self, stream: "NodeStream", message: messages.Message
    ) -> None:
        """A message has come."""

    @abc.abstractmethod
    def stream_down(self, stream: "NodeStream") -> None:
        """A stream that was ready is gone."""


class NodeStream(protocol.Protocol):
    """The protocol of a stream, the same on both sides."""

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
        self._mine = owner.hello(purpose)
        self._theirs: messages.Hello | None = None
        self.ready = False
        self.purpose = purpose
        self.dialed = dialed
        self.node_id = ""
        self.incarnation = 0

    def connectionMade(self) -> None:
        sockets.tune(self.transport)
        self._write(self._mine)

    def dataReceived(self, data: bytes) -> None:
        try:
            found = self._reader.feed(data)
        except codec.BadMessage:
            self.transport.abortConnection()
            return
        for message in found:
            self._take(message)

    def _take(self, message: messages.Message) -> None:
        if self.ready:
            self._owner.stream_message(self, message)
        elif isinstance(message, messages.Hello) and self._theirs is None:
            self._greet(message)
        elif isinstance(message, messages.Proof) and self._theirs:
            self._check(message)
        else:
            self.transport.abortConnection()

    def _greet(self, hello: messages.Hello) -> None:
        self._theirs = hello
        if messages.Purpose.CALL in (hello.purpose, self.purpose):
            self.purpose = messages.Purpose.CALL
        text = _signed_text(self._mine, hello)
        self._write(messages.Proof(self._ring.sign(text)))

    def _check(self, proof: messages.Proof) -> None:
        assert self._theirs is not None
        text = _signed_text(self._theirs, self._mine)
        reflected = self._theirs.nonce == self._mine.nonce
        if reflected or not self._ring.verify(text, proof.signatures):
            self.transport.abortConnection()
            return
        self.ready = True
        self.node_id = self._theirs.node_id
        self.incarnation = self._theirs.incarnation
        self._reader = codec.Reader(codec.MAX_MESSAGE_BYTES)
        self._owner.stream_up(self)

    def _write(self, message: messages.Message) -> None:
        self.transport.write(codec.encode(message))

    def send(self, message: messages.Message) -> None:
        """Send a message; a stream that takes no more is closed."""
        self.send_bytes(codec.encode(message))

    def send_bytes(self, data: bytes) -> None:
        """Send an encoded message."""
        if not self.ready:
            return
        self.transport.write(data)
        unsent = getattr(self.transport, "_tempDataLen", 0)
        if unsent > MAX_UNSENT_BYTES:
            self.transport.abortConnection()

    def close(self) -> None:
        """Close the stream at once."""
        self.transport.abortConnection()

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        if self.ready:
            self.ready = False
            self._owner.stream_down(self)


def nonce() -> bytes:
    """Return bytes that no stream has used before."""
    return secrets.token_bytes(keys.NONCE_BYTES)


def _signed_text(signer: messages.Hello, other: messages.Hello) -> bytes:
    return codec.encode(signer) + codec.encode(other)
