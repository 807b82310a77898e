"""What connections of callers hold, and which of them give up."""

import types

from twisted.internet import address
from twisted.internet import task
from twisted.internet import testing
from twisted.web import resource
from twisted.web import server

from fireflypulley.callers import account
from fireflypulley.callers import sinks
from fireflypulley.callers import site
from fireflypulley.transport import memory
from fireflypulley.transport import open_callers
from fireflypulley.transport import sockets

BOUND_BYTES = 200_000
LIMIT = 3
BODY_BYTES = 50_000
ONE = account.CONNECTION_BYTES


class _Page(resource.Resource):
    """Keeps each request, to be answered by the test."""

    isLeaf = True

    def __init__(self):
        super().__init__()
        self.requests = []

    def render(self, request):
        self.requests.append(request)
        return server.NOT_DONE_YET


class _Transport(testing.StringTransport):
    """Keeps what is written until the test lets it go."""

    def __init__(self):
        super().__init__()
        self.dataBuffer = b""
        self.is_aborted = False

    def write(self, data):
        self.dataBuffer += data

    def writeSequence(self, data):
        self.write(b"".join(data))

    def abortConnection(self):
        self.is_aborted = True


class _System:
    """A site with little memory, and its connections."""

    def __init__(self):
        self.clock = task.Clock()
        self.budget = memory.MemoryBudget(self.clock, BOUND_BYTES)
        self.page = _Page()
        callers = open_callers.OpenCallers(self.budget, LIMIT)
        self._site = site.CallerSite(self.page, callers)

    def connect(self, data=b""):
        """Return the protocol of a new connection that sends bytes."""
        self.clock.advance(1.0)
        protocol = self._site.buildProtocol(address.IPv4Address("TCP", "h", 1))
        protocol.callLater = self.clock.callLater
        protocol.makeConnection(_Transport())
        protocol.dataReceived(data)
        return protocol


def _upload(part=1.0):
    head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    return head % BODY_BYTES + b"x" * int(BODY_BYTES * part)


# Guards against a daemon that connections on which nothing is said keep
# from its descriptors.
def test_one_connection_too_many_ends_the_one_that_stands_still():
    system = _System()
    served = system.connect(_upload())
    still = system.connect()
    others = [system.connect() for _ in range(LIMIT - 1)]
    assert still.transport.is_aborted
    kept = [served, *others]
    assert not any(one.transport.is_aborted for one in kept)


# Guards against a daemon that holds the bodies of all uploads without a
# bound: those that stand still end, and a request under way goes on.
def test_uploads_that_stand_still_end_when_memory_is_needed():
    system = _System()
    served = system.connect(_upload())
    still = system.connect(_upload(0.9))
    moving = system.connect()
    moving.dataReceived(_upload(0.1))
    moving.dataReceived(b"x" * 30_000)
    assert still.transport.is_aborted
    assert not served.transport.is_aborted
    assert not moving.transport.is_aborted
    assert system.budget.total_bytes <= BOUND_BYTES


# Guards against a daemon for which what waits for a slow reader costs
# nothing, in plain and, below it, over TLS.
def test_what_waits_for_a_caller_counts_until_it_is_taken():
    system = _System()
    protocol = system.connect(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    system.page.requests[0].write(b"y" * 10_000)
    system.page.requests[0].finish()
    used = system.budget.used_bytes
    assert used[memory.Use.CALLER] >= 10_000
    protocol.transport.dataBuffer = b""
    protocol.resumeProducing()
    assert used[memory.Use.CALLER] == 0
    below = types.SimpleNamespace(dataBuffer=b"z" * 500)
    protocol.transport.transport = below
    protocol.write(b"")
    assert used[memory.Use.CALLER] == 500


# Guards against connections that are gone and count for ever.
def test_a_lost_connection_counts_nothing():
    system = _System()
    whole = system.connect(_upload() + _upload(0.5))
    part = system.connect(_upload(0.5))
    assert system.budget.total_bytes > 2 * ONE + 2 * BODY_BYTES
    for one in (whole, part):
        one.connectionLost(None)
    assert system.budget.total_bytes == 0
    assert sum(system.budget.used_bytes.values()) == 0


# Guards against a daemon that keeps what lost connections had to send until
# the collector runs.
def test_a_lost_connection_keeps_nothing_that_waited():
    system = _System()
    protocol = system.connect(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    system.page.requests[0].write(b"y" * 10_000)
    transport = protocol.transport
    assert sockets.kept_bytes(transport) >= 10_000
    protocol.connectionLost(None)
    assert sockets.kept_bytes(transport) == 0


# Guards against an answer that gives up and keeps its connection.
def test_a_sink_that_gives_up_closes_its_connection_at_once():
    system = _System()
    protocol = system.connect(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
    sink = sinks.HttpSink(system.page.requests[0])
    sink.give_up()
    assert protocol.transport.is_aborted


# Guards against counts that drift over the requests of a connection.
def test_requests_of_one_connection_count_while_they_run():
    system = _System()
    protocol = system.connect(_upload() + _upload())
    for number in range(2):
        assert len(system.page.requests) == number + 1
        assert system.budget.used_bytes[memory.Use.REQUEST] >= BODY_BYTES
        system.page.requests[number].finish()
    protocol.transport.dataBuffer = b""
    protocol.resumeProducing()
    assert system.budget.total_bytes == ONE
