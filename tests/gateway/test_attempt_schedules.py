"""Many schedules of runs that answer rightly, fail, break off and are late."""

import random

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import answer_part
from fireflypulley.gateway import response_watchdog

from . import exchanges

CHUNKED = [*exchanges.SEALED, (b"transfer-encoding", b"chunked")]
FAILURE = b"oops" * 5
EVENTS = 6
BODY = b"0123456789" * (answer_part.MAX_HELD_BYTES // 10 + 1)
STEPS = 120
STREAM_SEEDS = 2000
BODY_SEEDS = 1500
BREAKS = (calls.Outcome.CUT, calls.Outcome.GARBAGE)
TIMES_S = (0.3, response_watchdog.STREAM_TIMEOUT_S + 0.05, 2.0)


def _event(number):
    return b"id: %d\ndata: text%d\n\n" % (number, number)


def _events_after(number):
    return b"".join(_event(n) for n in range(number + 1, EVENTS + 1))


class Run:
    """What an endpoint answers on one connection, a step at a time."""

    def __init__(self, chance, connection, body):
        self.chance = chance
        self.connection = connection
        self.status = chance.choice([200, 200, 200, 200, 500, 400])
        self.left = body if self.status == 200 else FAILURE
        self.headers = CHUNKED
        if chance.random() < 0.2:
            self.headers = exchanges.SEALED
        self.has_head = False
        self.has_ended = False

    @property
    def is_open(self):
        connection = self.connection
        is_dropped = connection.aborted or connection.discarded
        return not self.has_ended and not is_dropped

    def step(self):
        """Send the next part, or break off."""
        listener = self.connection.listener
        if self.chance.random() < 0.08:
            self.has_ended = True
            listener.response_failed(self.chance.choice(BREAKS), "test")
        elif not self.has_head:
            self.has_head = True
            listener.response_head(self.status, list(self.headers))
        elif self.left:
            size = self.chance.choice([1, 5, 12, 30, len(self.left)])
            data, self.left = self.left[:size], self.left[size:]
            listener.response_data(data)
        else:
            self.has_ended = True
            listener.response_end()


def _play(world, chance, body_of):
    """Let time pass and runs go on until the caller has its answer."""
    runs = {}
    world.begin()
    for _ in range(STEPS):
        for one in world.sent:
            if one not in runs and one.listener is not None:
                runs[one] = Run(chance, one, body_of(one))
        going_on = [run for run in runs.values() if run.is_open]
        if world.sink.state != "open" or not going_on:
            return
        draw = chance.random()
        if draw < 0.08:
            world.clock.advance(chance.choice(TIMES_S))
        elif draw < 0.085:
            world.exchange.abort()
        else:
            chance.choice(going_on).step()


def _is_right(sink, expected):
    """Return whether the caller got what it may believe, and no more."""
    if sink.status in (400, 500):
        return sink.state != "whole" or sink.body == FAILURE
    if sink.status != 200:
        return not sink.body
    if sink.state == "whole":
        return sink.body == expected
    return expected.startswith(sink.body)


# Guards against two answers in one, and against parts that look whole,
# however the attempts of a request come, go and overtake each other.
@pytest.mark.parametrize("resumable", [False, True])
def test_the_caller_of_a_stream_gets_the_events_of_one(resumable):
    wrong = []
    for seed in range(STREAM_SEEDS):
        chance = random.Random(seed)
        has = chance.choice([None, 0, 2, EVENTS]) if resumable else None
        fields = [] if has is None else [(b"last-event-id", b"%d" % has)]
        world = exchanges.World(
            exchanges.STREAM,
            fields,
            max_attempts=chance.choice([1, 2, 3]),
            resumable=resumable,
        )
        _play(
            world,
            chance,
            lambda one: _events_after(
                int(one.headers.get(b"last-event-id", b"0"))
            ),
        )
        if not _is_right(world.sink, _events_after(has or 0)):
            wrong.append((seed, world.sink.state, world.sink.body))
    assert not wrong


@pytest.mark.parametrize("body", [b"short", BODY])
def test_the_caller_of_a_body_gets_that_of_one_attempt(body):
    wrong = []
    for seed in range(BODY_SEEDS):
        chance = random.Random(seed)
        world = exchanges.World(max_attempts=chance.choice([1, 2, 3]))
        _play(world, chance, lambda one: body)
        if not _is_right(world.sink, body):
            wrong.append((seed, world.sink.state, world.sink.body[-50:]))
    assert not wrong
