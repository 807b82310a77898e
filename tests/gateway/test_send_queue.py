"""Bytes that wait for callers, and what they may cost together."""

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core.gateway import caller_ends
from fireflypulley.gateway import send_queue

BOUNDS = caller_ends.CallerBounds(held_bytes=1000, total_held_bytes=10000)


class Transport:
    """A transport that takes ``room`` bytes, then asks for a pause."""

    bufferSize = 0

    def __init__(self):
        self.room = 0
        self.taken = b""
        self.is_closed = False
        self.producer = None

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def write(self, data):
        assert not self.is_closed
        self.taken += data
        self.room -= len(data)
        if self.room <= 0 and self.producer is not None:
            self.producer.pauseProducing()

    def take(self, room):
        """Take more bytes, as after the caller has read some."""
        self.room = room
        if self.producer is not None:
            self.producer.resumeProducing()

    def lose(self):
        self.is_closed = True


class User:
    """The writer of one queue, which asks it to pause and to go on."""

    def __init__(self, held):
        self.transport = Transport()
        self.is_paused = False
        self.is_dropped = False
        self.queue = send_queue.SendQueue(self.transport, held, self)

    def queue_filled(self):
        assert not self.is_paused
        self.is_paused = True

    def queue_emptied(self):
        assert self.is_paused
        self.is_paused = False

    def queue_moved(self, is_paused):
        pass

    def queue_dropped(self):
        self.is_dropped = True


@pytest.fixture
def held():
    return send_queue.HeldBytes(BOUNDS)


def test_what_fits_the_bound_is_taken_and_more_is_not(held):
    user = User(held)
    user.queue.write(b"x")
    user.queue.write(b"x" * 1000)
    assert not user.is_paused
    user.queue.write(b"x")
    assert user.is_paused
    user.transport.take(2000)
    assert not user.is_paused
    assert len(user.transport.taken) == 1002
    assert held.total_bytes == 0


def test_a_close_waits_for_what_is_held(held):
    user = User(held)
    user.queue.write(b"a")
    user.queue.write(b"b")
    user.queue.close(user.transport.lose)
    assert not user.transport.is_closed
    user.transport.take(10)
    assert user.transport.taken == b"ab"
    assert user.transport.is_closed


# Guards against callers that each keep their bound and fill the memory.
def test_the_answer_that_costs_most_ends_when_all_hold_too_much(held):
    users = [User(held) for _ in range(20)]
    for user in users:
        user.queue.write(b"x")
        user.queue.write(b"x" * 400)
    assert not any(user.is_dropped for user in users)
    assert held.is_scarce
    users[7].queue.write(b"x" * 2001)
    assert [user.is_dropped for user in users].index(True) == 7
    assert sum(user.is_dropped for user in users) == 1
    assert users[7].queue.held_bytes == 0
    assert held.total_bytes == 19 * 400


def test_while_bytes_are_scarce_callers_are_held_at_once(held):
    costly = [User(held) for _ in range(6)]
    for user in costly:
        user.queue.write(b"x")
        user.queue.write(b"x" * 1000)
    late = User(held)
    late.queue.write(b"x")
    assert not late.is_paused
    late.queue.write(b"x")
    assert late.is_paused


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["write", "take", "close", "lose"]),
        strategies.integers(0, 2),
        strategies.integers(1, 40000),
    ),
    max_size=40,
)


# Guards against bytes that are lost, repeated or counted for ever.
@hypothesis.given(_STEPS)
def test_bytes_leave_in_order_and_are_counted_in_any_order_of_steps(steps):
    bounds = caller_ends.CallerBounds(held_bytes=9000, total_held_bytes=60000)
    held = send_queue.HeldBytes(bounds)
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
        assert held.total_bytes == sum(one.queue.held_bytes for one in users)
        assert held.total_bytes <= bounds.total_held_bytes
        for one, data in zip(users, written):
            assert data.startswith(one.transport.taken)
            waits = one.queue.held_bytes
            is_lost = one.is_dropped or one in ended and not waits
            assert is_lost or len(one.transport.taken) + waits == len(data)
    for user in users:
        while user.queue.held_bytes:
            user.transport.take(100000)
    assert held.total_bytes == 0
