"""The connection that stays open beside answers without a length."""

import pytest
from twisted.internet import error
from twisted.internet import task

from fireflypulley.gateway import liveness


class Connection:
    """A connection to an endpoint."""

    is_usable = True


class Pool:
    """Hands out connections, and takes them back."""

    def __init__(self):
        self.clock = task.Clock()
        self.opened = []
        self.returned = []
        self.problem = None
        self.liveness = liveness.LivenessConnection(
            self.clock, "e1", self.open_one, self.returned.append
        )

    async def open_one(self):
        if self.problem is not None:
            raise self.problem
        self.opened.append(Connection())
        return self.opened[-1]


@pytest.fixture
def pool():
    """Return a pool with one answer under way."""
    pool = Pool()
    pool.answering = Connection()
    pool.liveness.begin(pool.answering)
    return pool


def test_one_connection_serves_all_answers(pool):
    other = Connection()
    pool.liveness.begin(other)
    assert len(pool.opened) == 1
    pool.liveness.forget(pool.answering)
    assert not pool.returned
    pool.liveness.forget(other)
    assert pool.returned == pool.opened


def test_one_that_is_lost_is_replaced(pool):
    pool.clock.advance(liveness.MIN_STOOD_S)
    pool.liveness.forget(pool.opened[0])
    assert len(pool.opened) == 2


# Guards against a full endpoint that resets each new connection, and gets
# one after the other.
def test_one_that_is_lost_at_once_is_not_replaced(pool):
    pool.liveness.forget(pool.opened[0])
    assert len(pool.opened) == 1
    pool.liveness.begin(Connection())
    assert len(pool.opened) == 2


def test_an_endpoint_that_takes_no_connection_is_asked_once():
    pool = Pool()
    pool.problem = error.ConnectionRefusedError()
    answering = Connection()
    pool.liveness.begin(answering)
    pool.liveness.forget(answering)
    assert not pool.returned
