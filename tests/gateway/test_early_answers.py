"""Answers that end before their endpoint has read the request."""

import contextlib
import socket

import pytest
from twisted.internet import error
from twisted.python import failure

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import calls
from fireflypulley.gateway import outbound
from fireflypulley.gateway import pools
from fireflypulley.transport import early_close

from . import test_outbound
from . import test_tunnels
from ..transport import batches

UNFRAMED = test_outbound.HEAD + b"\r\nha"
IN_CHUNKS = (
    test_outbound.HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)
LONG = b"x" * 9_000_000
"""More than the system takes for a connection at once."""
SHORT = b"x" * 2_000_000
"""The system takes it at once, though the endpoint's end does not."""
UNREAD = b"x" * 30_000
"""The endpoint's end takes it at once."""

system = test_tunnels.system
stranded = test_tunnels.stranded


class Endpoint:
    """The other end of a real connection with a request under way."""

    def __init__(self, sockets, body):
        self._sockets = sockets
        self.paths = pools.Paths()
        self.pool = pools.EndpointPool(
            sockets.reactor, "127.0.0.1:1", lambda: None, ("e1", 1), self.paths
        )
        self.connection = outbound.EndpointConnection(self.pool)
        self._there = sockets.connect(self.connection)
        self.pool._open.add(self.connection)
        self.listener = test_outbound.Listener()
        self.connection.send(
            b"POST", b"/", [(b"host", b"h")], body, self.listener
        )
        sockets.turn(20)

    def answer(self, data):
        """Send data, which the node reads."""
        self._there.sendall(data)
        self._sockets.turn()

    def finish(self):
        """Close in order for writing; the request is still unread."""
        self._there.shutdown(socket.SHUT_WR)
        self._sockets.turn()

    def leave(self):
        """Close in order; the request is still unread."""
        self._there.shutdown(socket.SHUT_RDWR)
        self._there.close()
        self._sockets.turn()

    def read_all(self):
        """Read the request."""
        self._there.setblocking(False)
        for _ in range(1000):
            with contextlib.suppress(BlockingIOError):
                self._there.recv(1 << 20)
            self._sockets.turn(1)


@pytest.fixture
def sockets():
    """Yield real sockets whose events the test handles."""
    running = batches.Sockets()
    yield running
    running.close()


# Guards against half of an answer that passes for the whole, since its
# endpoint gave up while the request was being written: a close in order that
# comes before the request was taken.
@pytest.mark.parametrize("body", [SHORT, LONG], ids=["system", "node"])
def test_a_close_before_the_request_was_taken_is_a_cut(sockets, body):
    endpoint = Endpoint(sockets, body)
    endpoint.answer(UNFRAMED)
    endpoint.finish()
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert not endpoint.listener.ended
    assert endpoint.paths.closes == {answer_ends.Doubt.UNSENT: 1}


# Guards against the same where the endpoint's system took all of the request:
# it resets the connection after the close.
def test_a_reset_after_the_close_makes_it_a_cut(sockets):
    endpoint = Endpoint(sockets, UNREAD)
    endpoint.answer(UNFRAMED)
    endpoint.leave()
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert endpoint.paths.closes == {answer_ends.Doubt.UNSENT: 1}


# Nothing listens at the address of this endpoint, which so is found to have
# ended.
def test_a_close_after_the_request_was_taken_is_weighed(sockets):
    endpoint = Endpoint(sockets, SHORT)
    endpoint.read_all()
    endpoint.answer(UNFRAMED)
    endpoint.finish()
    assert endpoint.paths.closes == {answer_ends.Doubt.UNREACHED: 1}


# Guards against a connection that takes its next request before the last one
# was written: a transport asks its producer as soon as it is registered.
@pytest.mark.parametrize("data", [test_outbound.WHOLE, IN_CHUNKS])
def test_an_early_answer_that_is_whole_ends_its_connection(sockets, data):
    endpoint = Endpoint(sockets, LONG)
    endpoint.answer(data)
    assert endpoint.listener.ended
    assert endpoint.listener.body == b"ok"
    assert not endpoint.connection.is_usable


# Guards against a whole answer that is taken for a cut one, as what has
# arrived of it waits for its turn when the endpoint closes.
def test_a_whole_answer_that_waits_is_a_success():
    endpoint = test_outbound.Endpoint()
    listener = endpoint.ask()
    endpoint.connection._http.receive_data(test_outbound.WHOLE)
    endpoint.close(early_close.ClosedEarly(7))
    assert listener.ended and listener.body == b"ok"


# Guards against other answers that are believed although their process was
# killed: a connection on which a request was being written ended with it.
def test_an_endpoint_that_gave_up_counts_as_a_loss():
    endpoint = test_outbound.Endpoint()
    endpoint.ask()
    endpoint.answer(UNFRAMED)
    endpoint.close(early_close.ClosedEarly(7))
    assert endpoint.pool.count_losses() == 1


def _ask(system, node):
    """Return a connection through a peer and the answer that began."""
    connection = system.acquire(node)
    listener = test_tunnels._send(system, connection)
    test_tunnels._server(system).transport.write(UNFRAMED)
    system.run(0.1)
    return connection, listener


# Guards against half of an answer that passes for the whole, since bytes of
# its request were still in the tunnel when the endpoint closed.
def test_bytes_in_the_tunnel_make_a_close_a_cut(system, stranded):
    connection, listener = _ask(system, stranded)
    test_tunnels._server(system).transport.loseConnection()
    connection.transport.write(b"the rest of the request")
    system.run(0.3)
    assert (listener.body, listener.end) == (b"ha", "cut")
    closes = stranded.connections.paths.closes
    assert closes == {answer_ends.Doubt.UNSENT: 1}


def _endpoint_pipe(system):
    """Return the carrier's side of the endpoint's newest connection."""
    return test_tunnels._server(system).transport.other.protocol


# Guards against the same with bytes that the carrier could not send on.
@pytest.mark.parametrize("is_older", [False, True])
def test_bytes_at_the_carrier_make_a_close_a_cut(system, stranded, is_older):
    if is_older:
        features = stranded.sync.hub.features
        stranded.sync.hub._features = tuple(
            one for one in features if one != "tunnel-counts"
        )
    _, listener = _ask(system, stranded)
    pipe = _endpoint_pipe(system)
    system.wires.ends.remove(pipe.transport)
    pipe.connectionLost(failure.Failure(early_close.ClosedEarly(3)))
    system.run(0.3)
    assert (listener.body, listener.end) == (b"ha", "cut")


def test_the_reason_of_an_early_close_counts_what_is_left():
    assert isinstance(early_close.reason_of(0), error.ConnectionDone)
    assert early_close.reason_of(3).unsent_bytes == 3
