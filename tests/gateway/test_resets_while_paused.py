"""Endpoints that reset a connection while its caller is slow."""

import contextlib

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import outbound
from fireflypulley.gateway import pools
from fireflypulley.gateway import tunnels

from . import test_outbound
from ..transport import batches

PART = test_outbound.HEAD + b"\r\npart"


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


def _ask(sockets):
    """Return a connection with a paused answer, its other end and listener."""
    pool = pools.EndpointPool(sockets.reactor, "127.0.0.1:1", lambda: None)
    connection = outbound.EndpointConnection(pool)
    endpoint = sockets.connect(connection)
    listener = test_outbound.PausingListener(connection)
    body = b"x" * (8 << 20)
    connection.send(b"POST", b"/", [(b"host", b"h")], body, listener)
    endpoint.sendall(PART)
    sockets.settle()
    assert listener.body == b"part"
    return connection, endpoint, listener


# Guards against a part of an answer that passes for the whole: its endpoint
# reset the connection, and the caller read on, in one batch of events.
def test_an_answer_that_is_reset_while_its_caller_is_slow_is_cut(sockets):
    connection, endpoint, listener = _ask(sockets)
    sockets.reset_while_paused(endpoint, connection.resume)
    sockets.turn()
    assert listener.failed is calls.Outcome.CUT
    assert not listener.ended


# Guards against reading that goes on although the caller became slow again.
def test_a_pause_cancels_the_resumption(sockets):
    connection, endpoint, listener = _ask(sockets)
    connection.resume()
    connection.pause()
    endpoint.sendall(b", more")
    sockets.turn()
    assert listener.body == b"part"
    connection.resume()
    sockets.turn()
    assert listener.body == b"part, more"
    connection.abort()
