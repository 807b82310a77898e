"""What a stream keeps once its connection is lost."""

import tracemalloc

from twisted.internet import testing

from fireflypulley.nodes import codec
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.nodes import streams

STREAMS = 50
READ_BYTES = 4000


class _Owner(streams.StreamOwner):
    """An owner that nothing happens to."""

    features = ()

    def hello(self, purpose):
        return messages.Hello("n1", 1, purpose, streams.nonce())

    def stream_up(self, stream):
        """Do nothing."""

    def stream_message(self, stream, message):
        """Do nothing."""

    def stream_down(self, stream):
        """Do nothing."""


def _lost_stream(data):
    """Return a stream that was lost inside a message."""
    ring = keys.SharedKey(b"key")
    stream = streams.NodeStream(_Owner(), ring, messages.Purpose.TUNNEL, True)
    stream.makeConnection(testing.StringTransport())
    # Each has read bytes of its own.
    stream.dataReceived(bytes(bytearray(data)))
    stream.connectionLost()
    return stream


# Guards against nodes that run out of memory by what streams had read that
# are gone: objects that refer to each other are freed much later.
def test_a_lost_stream_keeps_nothing_that_it_had_read(monkeypatch):
    monkeypatch.setattr(
        streams.sockets, "set_tcp_options", lambda transport: None
    )
    message = messages.TunnelData(b"x" * READ_BYTES * 2)
    data = codec.encode(message)[:READ_BYTES]
    without = _traced_bytes(b"")
    assert _traced_bytes(data) - without <= STREAMS * READ_BYTES / 10


def _traced_bytes(data):
    """Return what many lost streams take."""
    tracemalloc.start()
    try:
        lost = [_lost_stream(data) for _ in range(STREAMS)]
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(lost) == STREAMS
    return held_bytes
