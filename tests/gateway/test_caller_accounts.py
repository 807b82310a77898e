"""What callers' connections hold, and how they end when it is too much."""

import pytest
from twisted.internet import task

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import caller_account
from fireflypulley.gateway import caller_factory
from fireflypulley.transport import memory

from . import test_inbound

BOUND = 1 << 20
BODY = 100_000
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY


class World:
    """Callers of a node that may hold little for them."""

    def __init__(self, bound_bytes=BOUND, max_connections=100, answer=None):
        self.clock = task.Clock()
        self.receiver = test_inbound.Receiver(answer)
        self.receiver.configured_limits = document.CallerLimits(
            20_000, 10 * BODY, 30.0, 30.0
        )
        self.budget = memory.MemoryBudget(self.clock, bound_bytes)
        self.factory = caller_factory.CallerFactory(
            self.clock,
            self.receiver,
            caller_ends.CallerBounds(),
            self.budget,
            max_connections,
        )

    def connect(self, data=b""):
        connection = self.factory.buildProtocol(None)
        connection.makeConnection(test_inbound.Transport())
        if data:
            connection.dataReceived(data)
        return connection

    def used(self, use):
        return self.budget.used_bytes[use]


def _has_ended(connection):
    return connection.end_reason is caller_ends.CallerEnd.NODE_FULL


def test_what_is_read_counts_until_the_request_is_complete():
    world = World()
    caller = world.connect(HEAD + b"x" * (BODY - 1))
    assert world.used(memory.Use.UPLOAD) == len(HEAD) + BODY - 1
    caller.dataReceived(b"x")
    assert world.used(memory.Use.UPLOAD) == 0
    assert world.used(memory.Use.REQUEST) >= 2 * BODY
    test_inbound._reply(world.receiver.sinks[0], b"ok")
    assert world.used(memory.Use.REQUEST) == 0


def test_a_connection_that_is_lost_holds_nothing():
    world = World()
    for data in (b"", b"GET / HT", HEAD + b"x", HEAD + b"x" * BODY):
        caller = world.connect(data)
        assert world.budget.total_bytes > 0
        caller.connectionLost()
        assert world.budget.total_bytes == 0
        assert not any(world.budget.used_bytes.values())


def test_requests_that_were_read_ahead_still_count():
    world = World()
    get = test_inbound.GET
    world.connect(get + get + get)
    assert world.used(memory.Use.UPLOAD) == 2 * len(get)


# Guards against memory that is freed long after a connection was lost, since
# its objects refer to each other.
def test_a_connection_that_is_lost_keeps_nothing_that_it_read():
    world = World()
    caller = world.connect(b"GET / HTTP/1.1\r\nField: " + b"x" * 15_000)
    body = caller._http
    caller.connectionLost()
    assert caller._http is not body
    caller.dataReceived(b"late")


# Guards against nodes that run out of memory by uploads that stop: the
# stalest is told that it was not run, and those that go on are served.
def test_uploads_that_stop_are_refused_when_memory_is_short():
    world = World()
    stalled = [world.connect(HEAD + b"x" * (BODY - 1)) for _ in range(8)]
    world.clock.advance(5.0)
    moving = world.connect(HEAD)
    for _ in range(3):
        moving.dataReceived(b"x" * (BODY // 4))
        world.clock.advance(0.5)
    refused = [one for one in stalled if one.transport.value()]
    assert refused
    for one in refused:
        assert test_inbound._statuses(one.transport) == [503]
    assert set(world.receiver.refused) == {calls.RefusalReason.NODE_FULL}
    assert world.budget.total_bytes <= BOUND
    moving.dataReceived(b"x" * (BODY // 4))
    assert len(world.receiver.requests) == 1


# Guards against nodes that run out of memory by heads without an end.
def test_heads_without_an_end_are_dropped_when_memory_is_short():
    world = World()
    callers = [
        world.connect(b"GET / HTTP/1.1\r\nField: " + b"x" * 15_000)
        for _ in range(60)
    ]
    dropped = [one for one in callers if one.transport.aborted]
    assert dropped and not world.receiver.refused
    assert world.budget.total_bytes <= BOUND


def test_an_idle_connection_is_closed_in_order():
    world = World(max_connections=1)
    idle = world.connect()
    world.clock.advance(1.0)
    newcomer = world.connect()
    assert _has_ended(idle) and not idle.transport.aborted
    assert idle.transport.disconnecting
    assert newcomer.end_reason is None


# Guards against nodes without a descriptor for an ordinary caller, as others
# keep their connections and say nothing.
def test_more_connections_than_descriptors_end_the_stalest():
    world = World(max_connections=10)
    callers = []
    for _ in range(30):
        callers.append(world.connect())
        world.clock.advance(0.1)
        for one in callers:
            if one.transport.disconnecting and one.transport.connected:
                one.transport.connected = False
                one.connectionLost()
    assert [_has_ended(one) for one in callers] == [True] * 20 + [False] * 10


def test_a_caller_that_waits_for_the_node_is_not_ended_for_a_newcomer():
    world = World(max_connections=2)
    busy = [world.connect(test_inbound.GET) for _ in range(2)]
    world.clock.advance(10.0)
    newcomer = world.connect()
    assert not any(_has_ended(one) for one in busy)
    assert _has_ended(newcomer)


# Guards against bodies under way that take all memory: they can't be dropped
# without an answer that is lost.
def test_large_requests_are_refused_while_many_are_under_way():
    world = World()
    for _ in range(5):
        world.connect(HEAD + b"x" * BODY)
    refused = world.receiver.refused
    assert refused and set(refused) == {calls.RefusalReason.NODE_FULL}
    share = BOUND * caller_account.REQUESTS_SHARE
    assert world.used(memory.Use.REQUEST) <= share
    small = world.connect(test_inbound.GET)
    assert small.end_reason is None
    assert world.receiver.requests[-1].method == b"GET"


@pytest.mark.parametrize("fields", [0, 1000])
def test_a_header_field_costs_more_than_its_bytes(fields):
    world = World(bound_bytes=4 * BOUND)
    lines = b"".join(b"h%d: 1\r\n" % number for number in range(fields))
    world.connect(b"GET / HTTP/1.1\r\nHost: h\r\n" + lines + b"\r\n")
    least = (fields + 1) * caller_account.FIELD_BYTES
    assert least <= world.used(memory.Use.REQUEST) < 2 * least


# Guards against uploads that go on and are ended for a newcomer, as they hold
# more bytes than connections on which nothing is said.
def test_descriptors_are_taken_from_who_says_nothing():
    world = World(bound_bytes=100 * BOUND, max_connections=10)
    idle = [world.connect() for _ in range(9)]
    world.clock.advance(1.0)
    length = b"Content-Length: %d\r\n\r\n" % (10 * BODY)
    moving = world.connect(b"POST /a HTTP/1.1\r\nHost: h\r\n" + length)
    for _ in range(9):
        moving.dataReceived(b"x" * BODY)
        world.clock.advance(0.01)
    world.connect()
    assert moving.end_reason is None
    assert sum(_has_ended(one) for one in idle) == 1


class Other(memory.Holder):
    """What else the node holds, and moves."""

    def give_up(self):
        """Hold on."""


def _need_descriptor(world):
    world.connect()


def _need_memory(world):
    other = Other()
    while not world.budget.given_up:
        world.budget.hold(other, memory.Use.UPLOAD, 1000)
        world.budget.release(other, memory.Use.UPLOAD, 500)


# Guards against slow callers that take their answers and are ended in place
# of those that take nothing any more.
@pytest.mark.parametrize("need", [_need_descriptor, _need_memory])
def test_a_caller_that_takes_some_of_its_answer_has_moved(need):
    world = World(max_connections=2)
    moving = world.connect(test_inbound.GET)
    world.clock.advance(1.0)
    still = world.connect(test_inbound.GET)
    for one in (moving, still):
        one._queue.pauseProducing()
    world.clock.advance(9.0)
    moving._queue.resumeProducing()
    moving._queue.pauseProducing()
    world.clock.advance(1.0)
    need(world)
    assert (_has_ended(moving), _has_ended(still)) == (False, True)


# Guards against connections that keep their descriptors, as their callers do
# not take the answers that were sent before.
def test_an_idle_connection_with_an_unread_answer_is_closed_at_once():
    world = World(max_connections=1, answer=b"ok")
    idle = world.connect(test_inbound.GET)
    idle._watch._written_bytes = idle._watch._taken_bytes + 2
    world.clock.advance(0.01)
    world.connect()
    assert _has_ended(idle) and idle.transport.aborted


# Guards against a request that is complete and is dropped without a word,
# although it was not run.
def test_a_complete_request_that_costs_most_is_told_so():
    first = World()
    first.connect(test_inbound.GET)
    one_bytes = first.budget.total_bytes
    connection_bytes = caller_account.CONNECTION_BYTES
    world = World(bound_bytes=one_bytes + connection_bytes + 1000)
    served = world.connect(test_inbound.GET)
    caller = world.connect()
    fields = b"".join(b"h%d: 1\r\n" % number for number in range(9))
    caller.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\n")
    assert len(world.receiver.requests) == 1
    assert test_inbound._statuses(caller.transport) == [503]
    assert served.end_reason is None


# Guards against connections that wait for their callers to take the last
# answer, and keep descriptors beyond the bound meanwhile.
def test_a_connection_that_is_closing_is_closed_at_once_when_asked():
    world = World(max_connections=1, answer=b"ok")
    caller = world.connect()
    caller._queue.pauseProducing()
    caller._watch._written_bytes = caller._watch._taken_bytes + 2
    caller._close(caller_ends.CallerEnd.ANSWERED)
    assert caller.transport.half_closed and not caller.transport.aborted
    world.clock.advance(0.01)
    newcomer = world.connect()
    assert caller.transport.aborted
    assert caller.end_reason is caller_ends.CallerEnd.ANSWERED
    assert newcomer.end_reason is None


def test_who_is_refused_for_the_nodes_memory_is_not_called_malformed():
    world = World()
    caller = world.connect(HEAD + b"x")
    caller._give_up()
    assert test_inbound._statuses(caller.transport) == [503]
    assert _has_ended(caller)


def test_nobody_is_asked_twice():
    world = World()
    caller = world.connect(HEAD + b"x")
    world.budget.let_give_up(caller._account)
    counted = world.budget.total_bytes
    world.budget.let_give_up(caller._account)
    assert world.budget.total_bytes == counted == 0
    assert world.budget.given_up == 1
