"""What answers take of a daemon's memory, and whose callers are let go."""

import pytest
from twisted.internet import task as twisted_task

from fireflypulley.callers import gateway
from fireflypulley.core import payload
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.daemon import metrics
from fireflypulley.daemon import task_memory
from fireflypulley.daemon import tasks
from fireflypulley.endpoints import base
from fireflypulley.transport import memory

BOUND_BYTES = 100_000
PART_BYTES = 20_000


class Sink(gateway.Sink):
    """A caller that may be let go."""

    open = True

    def __init__(self):
        self.is_let_go = False

    def events(self, data):
        pass

    def finish(self, transcript):
        pass

    answer = refuse = finish

    def give_up(self):
        self.is_let_go = True


class Attempt(base.Attempt):
    """An attempt that is told what to receive."""

    def __init__(self, listener):
        self.listener = listener

    def cancel(self):
        """Stop."""

    def check_idle(self, now_s):
        """Go on."""


class _Node:
    """A node's tasks, which share a budget."""

    def __init__(self):
        self.clock = twisted_task.Clock()
        self.budget = memory.MemoryBudget(self.clock, BOUND_BYTES)
        self._dependencies = tasks.Dependencies(
            lambda event: None,
            None,
            metrics.Metrics(),
            self.clock.seconds,
            self.budget,
        )

    def begin(self):
        """Return a task with a caller, and its attempt."""
        request = requests.Request(
            "r",
            "w",
            "look",
            "filing",
            topology.ServiceKind.PLAIN,
            60.0,
            "fingerprint",
        )
        body = payload.Payload("GET", "/x", "", b"")
        begun = tasks.RequestTask(self._dependencies, request, body, "r")
        begun.sink = Sink()
        begun.attach(begun.sink, gateway.NO_EVENT)
        listener = tasks._Listener(begun, "a1")
        begun._attempt = Attempt(listener)
        return begun, listener


@pytest.fixture
def node():
    return _Node()


# Guards against a daemon that runs out of memory by answers that are still
# being read from their endpoints, or by the events of streams.
@pytest.mark.parametrize("receives", ["received", "frames"])
def test_the_caller_of_the_answer_that_costs_most_is_let_go(node, receives):
    def receive(listener):
        part = PART_BYTES if receives == "received" else [b"x" * PART_BYTES]
        getattr(listener, receives)(part)

    (still, of_still), (moving, of_moving) = node.begin(), node.begin()
    receive(of_still)
    node.clock.advance(10.0)
    receive(of_moving)
    assert not still.sink.is_let_go
    receive(of_moving)
    assert still.sink.is_let_go and not moving.sink.is_let_go
    for task in (still, moving):
        task.memory.close()
    assert sum(node.budget.used_bytes.values()) == 0


# Guards against attempts that are over and count for ever.
def test_what_an_attempt_received_counts_until_it_is_over(node):
    task, listener = node.begin()
    one = PART_BYTES * task_memory.COPIES
    listener.received(PART_BYTES)
    assert node.budget.total_bytes == one
    listener.ended(requests.Outcome.CUT, None)
    assert node.budget.total_bytes == 0
    listener.received(PART_BYTES)
    task.cancel_attempt()
    assert node.budget.total_bytes == 0
    listener.received(PART_BYTES)
    answer = base.Answer(200, "", b"x" * PART_BYTES)
    listener.ended(requests.Outcome.COMPLETE, answer)
    assert node.budget.total_bytes == one


# Guards against a task that is gone and lets callers go all the same.
def test_a_closed_task_lets_nobody_go(node):
    task, listener = node.begin()
    listener.received(PART_BYTES)
    task.memory.close()
    task.memory.give_up()
    assert not task.sink.is_let_go
