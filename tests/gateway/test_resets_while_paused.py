"""Endpoints that reset a connection while its caller is slow."""

import contextlib

import pytest

from fireflypulley.gateway import tunnels

from ..transport import batches


@pytest.fixture
def sockets():
    with contextlib.closing(batches.Sockets()) as running:
        yield running


class _NodeSide:
    """The transport to a node, as far as a pipe uses it."""

    def __init__(self):
        self.producer = None
        self.written = b""
        self.ends = []

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def write(self, data):
        self.written += data

    def loseConnection(self):
        self.ends.append("close")

    def abortConnection(self):
        self.ends.append("abort")

    def pauseProducing(self):
        pass

    resumeProducing = stopProducing = pauseProducing


# Guards against a reset at the endpoint that a node with a tunnel tells as a
# close in order, so that a cut answer passes for the whole.
def test_a_reset_while_a_tunnel_is_paused_is_told_as_one(sockets):
    here, there = tunnels.Pipe(), tunnels.Pipe()
    node_side = _NodeSide()
    here.makeConnection(node_side)
    endpoint = sockets.connect(there)
    here.join(there, sockets.reactor.callLater)
    batches.fill(there.transport)
    sockets.settle()
    node_side.producer.pauseProducing()
    sockets.reset_while_paused(
        endpoint, lambda: node_side.producer.resumeProducing()
    )
    sockets.turn()
    assert node_side.ends == ["abort"]


def test_a_pipe_that_is_paused_reads_on(sockets):
    here, there = tunnels.Pipe(), tunnels.Pipe()
    node_side = _NodeSide()
    here.makeConnection(node_side)
    endpoint = sockets.connect(there)
    here.join(there, sockets.reactor.callLater)
    node_side.producer.pauseProducing()
    endpoint.sendall(b"all")
    sockets.turn()
    assert not node_side.written
    node_side.producer.resumeProducing()
    endpoint.close()
    sockets.turn()
    assert (node_side.written, node_side.ends) == (b"all", ["close"])
