"""Ends of answers that only a close tells are held back for a while."""

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import calls
from fireflypulley.gateway import pools
from fireflypulley.gateway import tunnels

from . import test_inbound
from . import test_outbound

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n\r\n"
MOMENT_S = answer_ends.SETTLE_S / 3


class Endpoint:
    """An endpoint with a request under way, on a reactor of the test."""

    def __init__(self):
        self.reactor = testing.MemoryReactorClock()
        self.paths = pools.Paths()
        self.pool = pools.EndpointPool(
            self.reactor, "10.0.0.1:80", lambda: None, ("e1", 1), self.paths
        )
        self.connection = self.connect()
        self.listener = test_outbound.Listener()
        self.connection.send(
            b"POST", b"/", [(b"host", b"h")], b"", self.listener
        )
        self.connection.transport.producer.resumeProducing()

    def connect(self):
        """Return a connection that the node has opened."""
        opened = defer.ensureDeferred(self.pool.acquire(True))
        self.accept()
        return _result(opened)

    def accept(self):
        """Accept the newest connection."""
        factory = self.reactor.tcpClients[-1][2]
        protocol = factory.buildProtocol(None)
        protocol.makeConnection(test_inbound.Transport())

    def refuse(self, problem=None):
        """Refuse the newest connection, or let it fail otherwise."""
        _, _, factory, *_ = self.reactor.tcpClients[-1]
        reason = failure.Failure(problem or error.ConnectionRefusedError())
        factory.clientConnectionFailed(None, reason)

    def lose(self, connection, reason=None):
        """Close a connection as the endpoint's system."""
        reason = reason or error.ConnectionDone()
        connection.connectionLost(failure.Failure(reason))

    def settle(self):
        """Let the time pass in which a process closes its connections."""
        self.reactor.advance(answer_ends.SETTLE_S)
        self.reactor.advance(0.0)

    def answer(self):
        """Send a part of an answer without a length.

        Return the connection that is kept beside it, None if one was idle.
        """
        before, asked = set(self.pool._open), len(self.reactor.tcpClients)
        self.connection.dataReceived(HEAD + b"ok")
        if len(self.reactor.tcpClients) == asked:
            return None
        self.accept()
        (beside,) = self.pool._open - before
        return beside


def _ask(endpoint, connection):
    """Send a request; let it begin an answer without a length."""
    listener = test_outbound.Listener()
    connection.send(b"POST", b"/", [(b"host", b"h")], b"", listener)
    connection.transport.producer.resumeProducing()
    connection.dataReceived(HEAD + b"ok")
    return listener


def _result(deferred):
    """Return the result of a deferred that has one."""
    results = []
    deferred.addCallback(results.append)
    return results[0]


@pytest.fixture
def endpoint():
    """Return an endpoint that has sent a part without a length."""
    endpoint = Endpoint()
    endpoint.answer()
    return endpoint


def test_a_close_ends_an_answer_once_a_new_connection_stands(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    assert not endpoint.listener.ended
    endpoint.settle()
    assert endpoint.listener.ended
    assert endpoint.listener.body == b"ok"
    assert endpoint.listener.end.framing is answer_ends.Framing.CLOSE
    assert endpoint.paths.closes == {None: 1}


def test_the_connection_that_shows_it_takes_the_next_request(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    opened = endpoint.pool.opened
    acquired = defer.ensureDeferred(endpoint.pool.acquire(False))
    assert _result(acquired).is_first_request
    assert endpoint.pool.opened == opened


def test_a_request_of_its_own_gets_a_connection_that_carried_none(endpoint):
    used = endpoint.connect()
    used.send(b"POST", b"/", [(b"host", b"h")], b"", test_outbound.Listener())
    used.transport.producer.resumeProducing()
    used.dataReceived(test_outbound.WHOLE)
    assert used.is_usable and not used.is_unused
    unused = endpoint.connect()
    endpoint.pool.release(unused)
    endpoint.pool.release(used)
    acquired = defer.ensureDeferred(endpoint.pool.acquire(False, 0.0, True))
    assert _result(acquired) is unused


# Guards against a part of an answer that passes for a whole one, since the
# system closes the connections of an endpoint's process that is killed.
def test_a_close_of_an_endpoint_that_refuses_connections_is_a_cut(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.refuse()
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert not endpoint.listener.ended
    assert endpoint.paths.closes == {answer_ends.Doubt.UNREACHED: 1}


# Guards against an endpoint whose listener outlives the process that had
# the request, or is closed last.
@pytest.mark.parametrize("reason", [None, error.ConnectionLost()])
@pytest.mark.parametrize("is_before", [True, False])
def test_a_close_beside_another_connections_is_a_cut(is_before, reason):
    endpoint = Endpoint()
    other = endpoint.connect()
    endpoint.pool.release(other)
    endpoint.answer()
    if is_before:
        endpoint.lose(other, reason)
        endpoint.reactor.advance(MOMENT_S)
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.reactor.advance(MOMENT_S)
    if not is_before:
        endpoint.lose(other, reason)
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert endpoint.paths.closes == {answer_ends.Doubt.LOST_BESIDE: 1}


# Guards against a process that is killed while its listener lives on, or is
# back at once: all its connections have answers without a length.
@pytest.mark.parametrize("others", [0, 1, 3])
@pytest.mark.parametrize("is_paused", [True, False])
def test_what_ends_with_the_connection_kept_beside_is_cut(others, is_paused):
    endpoint = Endpoint()
    beside = endpoint.answer()
    connections = [endpoint.connect() for _ in range(others)]
    listeners = [_ask(endpoint, one) for one in connections]
    connections.append(endpoint.connection)
    listeners.append(endpoint.listener)
    endpoint.reactor.advance(1.0)
    if is_paused:
        for one in connections:
            one.pause()
    endpoint.lose(beside)
    endpoint.accept()
    if is_paused:
        endpoint.reactor.advance(5.0)
    for one in connections:
        one.resume()
        endpoint.lose(one)
        endpoint.accept()
    endpoint.settle()
    for listener in listeners:
        assert listener.failed is calls.Outcome.CUT


def test_the_connection_kept_beside_is_given_back(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    opened = endpoint.pool.opened
    for _ in range(2):
        _result(defer.ensureDeferred(endpoint.pool.acquire(False)))
    assert endpoint.pool.opened == opened


# Guards against a node that stood still: its timers run before it reads.
def test_what_waited_for_the_node_is_read_before_an_end_is_judged(endpoint):
    other = endpoint.connect()
    endpoint.pool.release(other)
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    read_s = 1.9
    endpoint.reactor.callLater(read_s, endpoint.lose, other)
    endpoint.reactor.advance(2.0)
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert endpoint.paths.closes == {answer_ends.Doubt.LOST_BESIDE: 1}


def test_a_node_that_stood_still_believes_a_sound_endpoint(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.reactor.advance(2.0)
    assert endpoint.listener.ended


def test_a_connection_that_was_lost_long_before_is_no_doubt(endpoint):
    other = endpoint.connect()
    endpoint.pool.release(other)
    endpoint.lose(other)
    endpoint.reactor.advance(2 * answer_ends.SETTLE_S)
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    assert endpoint.listener.ended


def test_answers_that_end_in_one_moment_are_no_doubt(endpoint):
    other = endpoint.connect()
    listener = _ask(endpoint, other)
    for connection in (endpoint.connection, other):
        endpoint.lose(connection)
        endpoint.accept()
    endpoint.settle()
    assert endpoint.listener.ended
    assert listener.ended


def test_a_new_connection_that_is_lost_at_once_is_a_cut(endpoint):
    endpoint.lose(endpoint.connection)
    before = set(endpoint.pool._open)
    endpoint.accept()
    opened = set(endpoint.pool._open) - before
    endpoint.lose(opened.pop())
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT


# Guards against a tunnel that is lost as soon as it stands: that says nothing
# of the endpoint, and so does not show that it goes on.
def test_a_tunnel_that_is_lost_at_once_shows_nothing(endpoint):
    endpoint.paths.tunnels = OnePeer()
    before = set(endpoint.pool._open)
    endpoint.lose(endpoint.connection)
    endpoint.refuse(error.TCPTimedOutError())
    (tunnel,) = set(endpoint.pool._open) - before
    endpoint.lose(tunnel, error.ConnectionLost())
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert endpoint.paths.closes == {answer_ends.Doubt.LOST_AFTER: 1}


# Guards against a doubt that this node brings about itself.
def test_a_connection_that_the_node_closes_is_no_loss(endpoint):
    other = endpoint.connect()
    endpoint.pool.release(other)
    other.abort()
    endpoint.lose(other)
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    assert endpoint.listener.ended


def test_an_end_is_not_held_back_for_ever(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.reactor.advance(answer_ends.PROOF_TIMEOUT_S)
    endpoint.reactor.advance(0.0)
    assert endpoint.listener.failed is calls.Outcome.CUT
    assert endpoint.paths.closes == {answer_ends.Doubt.LATE: 1}
    endpoint.accept()
    endpoint.settle()
    assert not endpoint.listener.ended


# Guards against a caller who reads slowly: its endpoint was killed and has
# come back while nothing was read.
def test_a_loss_while_nothing_was_read_makes_the_close_a_cut(endpoint):
    other = endpoint.connect()
    endpoint.pool.release(other)
    endpoint.connection.pause()
    endpoint.reactor.advance(1.0)
    endpoint.lose(other)
    endpoint.reactor.advance(1.0)
    endpoint.connection.resume()
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT


def test_an_end_that_is_held_back_is_dropped_with_its_request(endpoint):
    endpoint.lose(endpoint.connection)
    endpoint.connection.abort()
    endpoint.accept()
    endpoint.reactor.advance(1.0)
    assert not endpoint.listener.ended
    assert endpoint.listener.failed is None


class OnePeer(tunnels.TunnelSource):
    """A peer that reaches the endpoint."""

    async def connect(self, key, connection, needed_s=0.0):
        connection.makeConnection(test_inbound.Transport())
        return tunnels.Tunnel("node-2", True)


# Guards against a node that is cut off from the endpoints, whose open
# connections live on: the answers on them are whole.
def test_a_peer_may_show_that_the_endpoint_goes_on(endpoint):
    endpoint.paths.tunnels = OnePeer()
    endpoint.lose(endpoint.connection)
    endpoint.refuse(error.TCPTimedOutError())
    endpoint.settle()
    assert endpoint.listener.ended


# Guards against a peer that reaches the process after the one that ended.
def test_no_peer_is_asked_after_the_endpoint_refused(endpoint):
    endpoint.paths.tunnels = OnePeer()
    endpoint.lose(endpoint.connection)
    endpoint.refuse()
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT


# Guards against a long answer that is cut, as its caller paused once and a
# connection was lost much later.
def test_a_pause_counts_until_the_connection_has_caught_up(endpoint):
    other = endpoint.connect()
    endpoint.pool.release(other)
    endpoint.connection.pause()
    endpoint.reactor.advance(0.1)
    endpoint.connection.resume()
    endpoint.lose(other)
    for _ in range(2):
        endpoint.reactor.advance(0.2)
        endpoint.connection.dataReceived(b"more")
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    assert endpoint.listener.ended


# Guards against a close that had arrived in the pause, after the rest.
def test_the_rest_after_a_pause_does_not_end_it(endpoint):
    other = endpoint.connect()
    endpoint.pool.release(other)
    endpoint.connection.pause()
    endpoint.lose(other)
    endpoint.reactor.advance(1.0)
    endpoint.connection.resume()
    endpoint.reactor.advance(0.0)
    endpoint.connection.dataReceived(b"more")
    endpoint.lose(endpoint.connection)
    endpoint.accept()
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT


# Guards against requests on a connection that its endpoint is closing.
def test_an_unused_connection_knows_how_long_the_endpoint_keeps_it():
    endpoint = Endpoint()
    fields = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\n"
    endpoint.connection.dataReceived(fields + b"Content-Length: 0\r\n\r\n")
    unused = endpoint.connect()
    endpoint.pool.release(unused)
    endpoint.reactor.advance(1.1)
    assert unused.is_stale(endpoint.reactor.seconds())


def test_no_connection_is_opened_for_an_answer_that_is_discarded(endpoint):
    endpoint.connection.discard_response()
    asked = len(endpoint.reactor.tcpClients)
    endpoint.lose(endpoint.connection)
    assert len(endpoint.reactor.tcpClients) == asked


def test_a_pool_whose_endpoint_is_being_asked_is_not_dropped(endpoint):
    endpoint.lose(endpoint.connection)
    open_count = endpoint.pool.open_count
    endpoint.accept()
    endpoint.settle()
    assert open_count == 2
    assert endpoint.pool.open_count == 2


def _closed_handle():
    raise AttributeError("socket")


# Guards against a look at a socket that is gone, as its peer was found dead
# while the end of an answer was held back.
def test_a_half_that_is_lost_is_not_looked_at(endpoint):
    endpoint.connection.readConnectionLost()
    endpoint.connection.transport.getHandle = _closed_handle
    endpoint.lose(endpoint.connection, error.ConnectionAborted())
    endpoint.refuse()
    endpoint.settle()
    assert endpoint.listener.failed is calls.Outcome.CUT
