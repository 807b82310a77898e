"""The states of a node's stop."""

import pytest
from twisted.internet import task

from fireflypulley.gateway import stop_order

GRACE_S = 8.0
PORT_S = stop_order.BALANCER_DELAY_S
CHECK_S = stop_order.CHECK_INTERVAL_S
END_S = GRACE_S - stop_order.ABORT_BEFORE_KILL_S
State = stop_order.StopState


class _Node(stop_order.StoppableNode):
    """A node that records what the stop does."""

    accepts_callers = True
    is_in_use = True

    def __init__(self, clock):
        self.clock = clock
        self.calls = []

    def announce_stop(self, ends_at_s):
        self.calls.append(("announce", ends_at_s))

    def refuse_callers(self):
        self.accepts_callers = False
        self.calls.append(("refuse", round(self.clock.seconds(), 3)))

    def end(self):
        self.calls.append(("end", round(self.clock.seconds(), 3)))


class _World:
    def __init__(self):
        self.clock = task.Clock()
        self.node = _Node(self.clock)
        self.stop = stop_order.StopOrder(self.clock, GRACE_S, self.node)

    def run_until(self, until_s):
        while self.clock.seconds() < until_s - 0.01:
            self.clock.advance(0.05)

    def called(self, name):
        return [at_s for one, at_s in self.node.calls if one == name]


@pytest.fixture
def world():
    return _World()


def test_a_running_node_accepts_requests_and_has_no_end(world):
    assert world.stop.state is State.RUNNING
    assert world.stop.accepts_requests
    assert world.stop.ends_at_s == float("inf")


def test_a_notice_is_told_at_once_and_only_once(world):
    world.stop.begin()
    world.run_until(1.0)
    world.stop.begin()
    assert world.stop.state is State.ANNOUNCED
    assert world.called("announce") == [END_S]
    assert world.stop.accepts_requests
    assert not world.called("refuse")


def test_callers_are_refused_once_the_balancer_knows(world):
    world.stop.begin()
    world.run_until(PORT_S + CHECK_S)
    assert world.stop.state is State.DRAINING
    assert not world.stop.accepts_requests
    world.run_until(PORT_S + 4 * CHECK_S)
    assert len(world.called("refuse")) >= 4


def test_a_node_that_is_in_use_ends_before_it_is_killed(world):
    world.stop.begin()
    world.run_until(GRACE_S)
    assert world.called("end") == [pytest.approx(END_S, abs=CHECK_S)]
    assert world.stop.state is State.ENDED


def test_a_node_that_nobody_uses_ends_a_check_after_its_port(world):
    world.node.is_in_use = False
    world.stop.begin()
    world.run_until(GRACE_S)
    (refused_s,) = world.called("refuse")[:1]
    (ended_s,) = world.called("end")
    assert ended_s == pytest.approx(refused_s + CHECK_S)


def test_a_node_that_never_took_callers_ends_at_once(world):
    world.node.accepts_callers = world.node.is_in_use = False
    world.stop.begin()
    world.run_until(1.0)
    assert world.called("end") == [pytest.approx(CHECK_S, abs=0.05)]
