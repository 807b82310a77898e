"""Start and shutdown of a node: each accepted caller gets a response."""

import socket

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import peer_registry
from fireflypulley.gateway import inbound
from fireflypulley.gateway import node_port
from fireflypulley.gateway import service
from fireflypulley.gateway import settings
from fireflypulley.gateway import stop_order
from fireflypulley.gateway import tunnel_server

from ..core.gateway import builders
from . import header_codecs

GRACE_S = 8.0


class Port:
    """A listening port; each byte to ``waiting`` is a connection."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.closed_s = None
        self.waiting, self._backlog = socket.socketpair()
        self.on_accept = None

    def fileno(self):
        return self._backlog.fileno()

    def doRead(self):
        assert self.closed_s is None
        self._backlog.recv(1)
        self.on_accept()

    def stopListening(self):
        self.reactor.callLater(0, self._close)

    def _close(self):
        self.closed_s = self.reactor.seconds()


class Reactor(testing.MemoryReactorClock):
    """A reactor that records its ports and when it was stopped."""

    stopped_s = None
    adopted = None

    def __init__(self, taken=()):
        super().__init__()
        self.ports = {}
        self.taken = set(taken)

    def listenTCP(self, port, factory, backlog=50, interface=""):
        if port in self.taken:
            raise error.CannotListenError(interface, port, OSError("in use"))
        self.ports[port] = Port(self)
        return self.ports[port]

    def adoptStreamPort(self, fileDescriptor, addressFamily, factory):
        self.adopted = fileDescriptor
        return Port(self)

    def stop(self):
        self.stopped_s = self.seconds()


class Silent:
    """A store that never answers, an unused cloud and a row codec."""

    operator_table = "operators"
    endpoint_table = "endpoints"

    async def read(self, table):
        await task.deferLater(self.reactor, 1000.0)


class Caller:
    """A caller's connection."""

    def __init__(self, node, is_idle):
        self.node = node
        self.is_idle = is_idle
        self.closed = False
        self.end_reason = caller_ends.CallerEnd.STOPPING

    def close_idle(self):
        if self.is_idle:
            self.leave()

    def hand_over(self):
        self.handed_over_s = self.node.reactor.seconds()

    def leave(self):
        """Disconnect, as after the last response."""
        self.closed = True
        self.node.callers.connection_closed(self)


def _start(callers_port=None, taken=()):
    reactor = Reactor(taken)
    silent = Silent()
    silent.reactor = reactor
    address = settings.Address("127.0.0.1", 1)
    config = settings.NodeSettings(
        node=peer_registry.NodeEntry("n1", "127.0.0.1:3", "a", 1),
        callers=settings.Address("127.0.0.1", 80),
        readiness=address,
        nodes=settings.Address("127.0.0.1", 3),
        metrics=settings.Address("127.0.0.1", 4),
        shared_bounds=bounds.SharedBounds(),
        shutdown_grace_s=GRACE_S,
        usage_window_s=5.0,
        usage_delay_s=10.0,
        scales_replicas=False,
    )
    adapters = service.Adapters(
        silent, silent, silent, header_codecs.PlainHeaderCodec()
    )
    node = service.Service(reactor, config, adapters, callers_port)
    node.start()
    node.reactor = reactor
    return node


def _run_until(node, until_s):
    while node.reactor.seconds() < until_s:
        node.reactor.advance(0.05)


@pytest.fixture
def node():
    """Return a node that is shutting down."""
    node = _start()
    _run_until(node, service.START_READ_TIMEOUT_S + 0.1)
    node.shut_down()
    node.stopped_at_s = node.reactor.seconds()
    return node


def _run(node, after_s):
    _run_until(node, node.stopped_at_s + after_s)


class Socket:
    """A listening socket that was opened before the node started."""

    closed = False

    def fileno(self):
        return 17

    def close(self):
        self.closed = True


class Peers:
    """The exchange of state with other nodes, none of them heard yet."""

    has_heard_peers = False

    def send_state(self):
        pass


def _make_ready(node):
    node._scheduler.document = object()
    registration = fleet.Registration("e1", "s", "h:1", "a", "v1", 4)
    node._scheduler.fleet.put(registration, 0.0)
    node._peer_sync = Peers()
    node._peer_sync.has_heard_peers = True


def test_no_callers_are_accepted_before_endpoints_are_known():
    node = _start()
    _run_until(node, service.START_READ_TIMEOUT_S - 0.1)
    assert 80 not in node.reactor.ports
    _make_ready(node)
    _run_until(node, service.START_READ_TIMEOUT_S - 0.05)
    assert 80 in node.reactor.ports


def test_callers_are_accepted_although_the_store_is_unreachable():
    node = _start()
    _run_until(node, service.START_READ_TIMEOUT_S + 0.1)
    assert 80 in node.reactor.ports


def test_it_adopts_the_port_that_was_opened_early():
    opened = Socket()
    node = _start(opened)
    _run_until(node, service.START_READ_TIMEOUT_S + 0.1)
    assert node.reactor.adopted == 17
    assert opened.closed
    assert 80 not in node.reactor.ports


# Guards against a node that stays up and never serves, since another
# process had one of its ports as it started.
@pytest.mark.parametrize("port", [1, 4, 80])
def test_a_port_that_was_taken_is_opened_once_it_is_free(port):
    node = _start(taken=[port])
    _make_ready(node)
    _run_until(node, 5.0)
    assert set(node.reactor.ports) == {1, 4, 80} - {port}
    node.reactor.taken.clear()
    _run_until(node, 5.0 + 2 * node_port.RETRY_INTERVAL_S)
    assert set(node.reactor.ports) == {1, 4, 80}


def test_a_node_whose_callers_cannot_connect_is_not_ready():
    node = _start(taken=[80])
    _make_ready(node)
    _run_until(node, 1.0)
    status, text = node.pages.readiness()
    assert (status, text) == (503, b"the port for callers is taken\n")
    node.reactor.taken.clear()
    _run_until(node, 1.0 + 2 * node_port.RETRY_INTERVAL_S)
    assert node.pages.readiness()[0] == 200


def test_a_node_that_stops_waits_for_no_port():
    node = _start(taken=[80])
    _run_until(node, 1.0)
    node.shut_down()
    node.reactor.taken.clear()
    _run_until(node, GRACE_S + 2.0)
    assert 80 not in node.reactor.ports
    assert node.reactor.stopped_s is not None


def test_a_node_stopped_while_starting_accepts_no_callers():
    node = _start()
    node.shut_down()
    _run_until(node, service.START_READ_TIMEOUT_S + 0.1)
    assert 80 not in node.reactor.ports


def test_it_serves_until_the_balancer_delay_has_passed(node):
    _run(node, stop_order.BALANCER_DELAY_S - 0.1)
    assert node.reactor.ports[80].closed_s is None
    assert node.reactor.stopped_s is None
    _run(node, stop_order.BALANCER_DELAY_S + 0.5)
    assert node.reactor.ports[80].closed_s is not None
    assert node.reactor.stopped_s is not None


def test_a_caller_that_connects_just_before_closing_is_answered(node):
    """The node runs until this caller leaves, though the port is closed."""
    _run(node, stop_order.BALANCER_DELAY_S - 0.02)
    late = Caller(node, is_idle=False)
    node.callers.connection_opened(late)
    _run(node, stop_order.BALANCER_DELAY_S + 2.0)
    assert not late.closed
    assert node.reactor.stopped_s is None
    late.leave()
    _run(node, stop_order.BALANCER_DELAY_S + 2.5)
    assert node.reactor.stopped_s is not None
    assert node.reactor.ports[80].closed_s < node.reactor.stopped_s


# Guards against resets of callers that had connected and sent a request, and
# whose connections a stopping node had not accepted as it closed its port.
def test_callers_in_the_backlog_are_accepted_before_the_port_closes(node):
    port = node.reactor.ports[80]
    _run(node, stop_order.BALANCER_DELAY_S - 0.1)
    callers = [Caller(node, is_idle=True) for _ in range(3)]
    waiting = iter(callers)
    port.on_accept = lambda: node.callers.connection_opened(next(waiting))
    stop_listening = port.stopListening

    def connect_and_stop_listening():
        stop_listening()
        port.waiting.send(b"123")

    port.stopListening = connect_and_stop_listening
    while port.closed_s is None:
        node.reactor.advance(0.05)
    assert node.callers.connections == set(callers)
    assert not any(caller.closed for caller in callers)
    _run(node, stop_order.BALANCER_DELAY_S + 1.0)
    assert all(caller.closed for caller in callers)


def test_idle_callers_are_closed_and_open_ones_are_waited_for(node):
    idle, busy = Caller(node, True), Caller(node, False)
    node.callers.connection_opened(idle)
    node.callers.connection_opened(busy)
    _run(node, stop_order.BALANCER_DELAY_S + 1.0)
    assert idle.closed
    assert not busy.closed


# Guards against answers to other nodes' callers that a stop cuts although
# the grace time is not over (review/2).
def test_tunnels_of_other_nodes_are_waited_for(node):
    pipe = tunnel_server._NodePipe(None)
    node._tunnel_server._open_pipes.add(pipe)
    _run(node, stop_order.BALANCER_DELAY_S + 1.0)
    assert node.reactor.stopped_s is None
    node._tunnel_server._open_pipes.discard(pipe)
    _run(node, stop_order.BALANCER_DELAY_S + 1.5)
    assert node.reactor.stopped_s is not None


def test_it_stops_before_it_is_killed(node):
    node.callers.connection_opened(Caller(node, False))
    _run(node, GRACE_S)
    assert node.reactor.stopped_s < node.stopped_at_s + GRACE_S


# Guards against answers that end with the process in its own buffers (issue
# 44).
def test_what_waits_for_callers_is_handed_over_before_the_end(node):
    caller = Caller(node, False)
    node.callers.connection_opened(caller)
    _run(node, GRACE_S)
    assert caller.handed_over_s <= node.reactor.stopped_s


def test_the_port_is_closed_however_many_callers_are_there(node):
    """A steady flow of new callers must not keep the node running."""
    node.callers.connection_opened(Caller(node, False))
    _run(node, stop_order.BALANCER_DELAY_S + 0.3)
    assert node.reactor.ports[80].closed_s is not None


class Sink:
    """The response that a caller gets."""

    status = None

    def head(self, status, headers):
        self.status, self.headers = status, headers

    def end(self, on_delivery=inbound.ignore_delivery):
        self.is_whole = True
        on_delivery(caller_ends.Delivery())


def _ask(node):
    request = inbound.IncomingRequest(
        b"GET", b"/a/x", [(b"host", b"h")], node.reactor.seconds()
    )
    sink = Sink()
    node.callers.receive(request, sink)
    return sink


def test_requests_that_shutdown_could_interrupt_are_refused(node):
    """A request arrives on an open connection shortly before the kill."""
    _run(node, stop_order.BALANCER_DELAY_S - 0.1)
    assert _ask(node).status == 503
    assert node._scheduler.refused[calls.RefusalReason.NO_CONFIGURATION] == 1
    _run(node, stop_order.BALANCER_DELAY_S + 0.5)
    late = _ask(node)
    assert late.status == 503
    assert b"retry-after" in dict(late.headers)
    assert node._scheduler.refused[calls.RefusalReason.STOPPING] == 1


# Guards against nodes that start with a burst on endpoints whose limits
# the other nodes know.
def test_a_starting_node_takes_callers_after_it_heard_another_node():
    node = _start()
    node._scheduler.apply_document(builders.a_document(), 0.0)
    node._scheduler.fleet.put(builders.entry("e1"), 0.0)
    _run_until(node, 0.2)
    assert 80 not in node.reactor.ports
    node._peer_sync = Peers()
    _run_until(node, 0.3)
    assert 80 not in node.reactor.ports
    node._peer_sync.has_heard_peers = True
    _run_until(node, 0.4)
    assert 80 in node.reactor.ports


def test_a_starting_node_does_not_wait_long_for_other_nodes():
    node = _start()
    node._scheduler.apply_document(builders.a_document(), 0.0)
    node._scheduler.fleet.put(builders.entry("e1"), 0.0)
    node._peer_sync = Peers()
    _run_until(node, service.START_READ_TIMEOUT_S + 0.1)
    assert 80 in node.reactor.ports


def _join(node):
    """Let a node have joined the others, without a store."""

    async def join():
        return b"key"

    node._membership.join = join
    defer.ensureDeferred(node._join(node.reactor.seconds()))
    assert node._peer_sync is not None


# Guards against ways that only the tests of their class know of (issue 46).
def test_a_node_that_has_joined_tells_when_a_way_is_likely():
    node = _start()
    _join(node)
    keys = [("e1", 1), ("e2", 1)]
    for key in keys:
        node._connections.paths.direct.note_direct(key, False, 0.0)
    assert node._scheduler.ways.wait_s(keys, 0.0, 0.0) is not None


def test_the_metrics_say_how_late_the_event_loop_was():
    node = _start()
    _run_until(node, 1.0)
    node.reactor.advance(3.0)
    _, text = node.pages.metrics()
    name = b"fireflypulley_gateway_loop_delay_seconds "
    (line,) = [one for one in text.splitlines() if one.startswith(name)]
    assert float(line.split()[1]) == pytest.approx(2.75, abs=0.25)
