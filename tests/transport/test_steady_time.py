"""Decisions and timers while the system's clock is set."""

import time

import pytest
from twisted.internet import base
from twisted.internet import selectreactor

from fireflypulley.core import facts
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import versions
from fireflypulley.transport import steady_time

DRAIN_S = 2.0
STEPS_S = (-3600.0, -60.0, 60.0, 3600.0)
REGISTRATION = fleet.Registration(
    "e1", "s", "10.0.0.1:80", "a", "v1", 8, 1, leaving=True
)


class TimeOfDay:
    """A time of day that the test sets."""

    def __init__(self):
        self.step_s = 0.0

    def seconds(self):
        return time.time() + self.step_s


@pytest.fixture
def time_of_day(monkeypatch):
    clock = TimeOfDay()
    monkeypatch.setattr(
        base.ReactorBase, "seconds", lambda self: clock.seconds()
    )
    return clock


@pytest.fixture
def reactor(time_of_day):
    made = selectreactor.SelectReactor()
    steady_time.install(made)
    yield made
    made.removeAll()


# Guards against requests to an endpoint that has left: once the clock was
# set back, its drain time began anew.
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_clock_step_does_not_move_the_end_of_an_endpoint(
    time_of_day, reactor, step_s
):
    known = fleet.Fleet(DRAIN_S)
    member = known.put(REGISTRATION, reactor.seconds())
    time_of_day.step_s = step_s
    assert known.may_receive(member, reactor.seconds())
    assert not known.may_receive(member, reactor.seconds() + DRAIN_S)


# Guards against timers that fire at once or an hour late.
@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_clock_step_does_not_move_a_timer(time_of_day, reactor, step_s):
    fired = []
    reactor.callLater(0.0, fired.append, "due")
    reactor.callLater(30.0, fired.append, "early")
    time_of_day.step_s = step_s
    reactor.runUntilCurrent()
    assert fired == ["due"]


def test_the_steady_time_starts_as_the_time_of_day(reactor):
    assert reactor.seconds() == pytest.approx(time.time(), abs=1.0)


# Guards against facts of this build that count as expired at nodes of an
# older one, which go by the time of day.
def test_facts_expire_at_nodes_that_go_by_the_time_of_day(reactor):
    until_s = reactor.seconds() + versions.FACT_TTL_S
    fact = versions.PhaseReached("r", versions.Phase.DONE, until_s)
    shared = facts.SharedState()
    shared.merge(fact, time.time())
    shared.expire(time.time())
    assert shared.get("phase", "r") == fact


def test_the_steady_time_goes_on():
    now_s = steady_time.create()
    before_s = now_s()
    time.sleep(0.01)
    assert 0.005 < now_s() - before_s < 5.0
