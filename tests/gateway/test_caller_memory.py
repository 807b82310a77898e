"""What callers that read slowly hold of a node's memory."""

import dataclasses

import hypothesis
from hypothesis import strategies
from twisted.internet import task

from fireflypulley.core.gateway import node_limits
from fireflypulley.gateway import outbound
from fireflypulley.gateway import send_queue
from fireflypulley.gateway import service
from fireflypulley.transport import memory

from . import exchanges
from . import test_outbound
from . import test_send_queue
from . import test_service

BYTES = 1 << 20
"""What a node may hold in these tests."""


class Other(memory.Holder):
    """What else the node holds; it never gives up."""

    def give_up(self):
        """Hold on."""


class Transport(test_send_queue.Transport):
    """A transport that says how much it keeps."""

    dataBuffer = b""

    def write(self, data):
        self.dataBuffer += data
        super().write(data)

    def take(self, room):
        """Send all that is kept, and take more bytes."""
        self.dataBuffer = b""
        super().take(room)


class User(test_send_queue.User):
    """The writer of a queue in front of such a transport."""

    def __init__(self, held):
        super().__init__(held)
        self.transport = Transport()
        self.queue = send_queue.SendQueue(self.transport, held, self)


def _held(bounds=test_send_queue.BOUNDS):
    budget = memory.MemoryBudget(task.Clock(), BYTES)
    return send_queue.HeldBytes(bounds, budget)


def _used(held):
    return held.budget.used_bytes[memory.Use.CALLER]


# Guards against a node that runs out of memory by what its transports keep
# of each caller's answer, which nobody counts.
def test_what_the_transport_keeps_counts_until_it_is_sent():
    held = _held()
    user = User(held)
    user.queue.write(b"x" * 100)
    user.queue.write(b"x" * 50)
    assert _used(held) == 150
    assert held.total_bytes == 50
    user.transport.take(1000)
    assert _used(held) == 0
    user.transport.room = 0
    user.queue.write(b"x" * 10)
    assert _used(held) == 60
    user.transport.producer.stopProducing()
    assert _used(held) == 0


# Guards against a crowd of slow callers of which each gets its full bound.
def test_while_memory_is_scarce_callers_are_held_at_once():
    held = _held()
    user = User(held)
    held.budget.hold(Other(), memory.Use.UPLOAD, BYTES * 3 // 4)
    user.queue.write(b"x")
    assert not user.is_paused
    user.queue.write(b"x")
    assert user.is_paused
    assert user.transport.bufferSize < send_queue.TRANSPORT_BYTES


# Guards against a node that runs out of memory as callers go beyond what its
# machine allows.
def test_the_costliest_caller_is_dropped_when_memory_is_needed():
    held = _held()
    users = [User(held) for _ in range(3)]
    for number, user in enumerate(users):
        user.queue.write(b"x" * (100 + number))
    while not held.budget.given_up:
        held.budget.hold(Other(), memory.Use.UPLOAD, 101)
    assert [user.is_dropped for user in users] == [False, False, True]
    assert _used(held) == 201


def test_what_waits_for_callers_fits_the_machine():
    little = node_limits.NodeLimits(memory_bytes=100 << 20)
    config = dataclasses.replace(test_service._start()._config, limits=little)
    bounds = service._caller_bounds(config)
    assert bounds.total_held_bytes == little.held_bytes // 2
    large = dataclasses.replace(config, limits=node_limits.NodeLimits())
    assert service._caller_bounds(large) == config.caller_bounds


# Guards against a crowd for each of whom 64 KiB are read, and then held.
def test_while_memory_is_scarce_little_is_read_at_once():
    endpoint = test_outbound.Endpoint()
    endpoint.connection.read_little(True)
    assert endpoint.transport.bufferSize == outbound.SCARCE_READ_BYTES
    endpoint.connection.read_little(False)
    assert endpoint.transport.bufferSize == outbound.READ_BYTES
    world = exchanges.World(memory_bytes=64 * BYTES)
    connection = world.begin()
    assert connection.reads_little
    connection.listener.response_head(200, list(exchanges.SEALED))
    connection.listener.response_data(b"x")
    assert not connection.reads_little
    world.memory.hold(Other(), memory.Use.UPLOAD, 48 * BYTES)
    connection.listener.response_data(b"x")
    assert connection.reads_little


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["write", "take", "close", "lose"]),
        strategies.integers(0, 2),
        strategies.integers(1, 200_000),
    ),
    max_size=40,
)


# Guards against memory that is counted twice or for ever, and against bytes
# that are lost as others give up.
@hypothesis.given(_STEPS)
def test_what_is_held_is_counted_in_any_order_of_steps(steps):
    held = _held()
    users = [User(held) for _ in range(3)]
    written = [b"", b"", b""]
    ended = set()
    for number, (step, index, size) in enumerate(steps):
        user = users[index]
        if step == "take":
            user.transport.take(size)
        elif user in ended or user.is_dropped:
            continue
        elif step == "write" and not user.is_paused:
            data = bytes([number % 256]) * size
            written[index] += data
            user.queue.write(data)
        elif step == "close":
            ended.add(user)
            user.queue.close(user.transport.lose)
        elif step == "lose":
            ended.add(user)
            user.transport.producer.stopProducing()
            user.transport.producer = None
        assert held.budget.total_bytes <= BYTES
        waiting = sum(one.queue.held_bytes for one in users)
        assert waiting <= _used(held)
        for one, data in zip(users, written):
            assert data.startswith(one.transport.taken)
    for user in users:
        while user.queue.held_bytes:
            user.transport.take(300_000)
        user.transport.take(300_000)
    assert _used(held) == 0
