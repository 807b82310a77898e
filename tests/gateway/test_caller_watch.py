"""When a caller's connection is ended, and why."""

import struct

import pytest
from twisted.internet import task

from fireflypulley.core.gateway import caller_ends
from fireflypulley.gateway import caller_watch

BOUNDS = caller_ends.CallerBounds(stall_s=10.0)


class Caller:
    """The other side of a connection, and its socket here."""

    def __init__(self, clock, tells_state=True):
        self._clock = clock
        self._tells_state = tells_state
        self.taken = 0
        self.is_gone = False
        self._acked_s = 0.0
        self.ends = []
        self.watch = caller_watch.CallerWatch(
            clock, self, BOUNDS, self.ends.append
        )

    def getHandle(self):
        return self

    def getsockopt(self, *_):
        if not self._tells_state:
            raise OSError("no such option")
        if not self.is_gone:
            self._acked_s = self._clock.seconds()
        age_ms = round((self._clock.seconds() - self._acked_s) * 1000)
        fields = [0] * 36
        fields[3] = 3 if self.is_gone else 0
        fields[20] = age_ms
        fields[34] = self.taken
        return struct.pack("=8B24I4Q", *fields)

    def pass_time(self, seconds):
        for _ in range(round(seconds * 10)):
            self._clock.advance(0.1)


@pytest.fixture
def caller():
    return Caller(task.Clock())


def test_a_caller_that_takes_some_in_time_is_kept(caller):
    caller.watch.note_written(1000)
    for _ in range(20):
        caller.pass_time(8.0)
        caller.taken += 1
    assert caller.ends == []
    assert caller.watch.unread_bytes >= 980


def test_a_caller_that_takes_nothing_for_long_is_too_slow(caller):
    caller.watch.note_written(1000)
    caller.pass_time(9.0)
    assert caller.ends == []
    caller.pass_time(2.0)
    assert caller.ends == [caller_ends.CallerEnd.TOO_SLOW]
    assert caller.watch.unread_bytes == 1000


def test_a_caller_that_is_gone_is_found_within_seconds(caller):
    caller.watch.note_written(1000)
    caller.pass_time(1.0)
    caller.is_gone = True
    caller.pass_time(4.0)
    assert caller.ends == [caller_ends.CallerEnd.DEAD]


def test_the_time_without_anything_to_read_does_not_count(caller):
    caller.watch.note_written(10)
    caller.taken = 10
    caller.pass_time(60.0)
    caller.watch.note_written(10)
    caller.pass_time(9.0)
    assert caller.ends == []
    caller.pass_time(2.0)
    assert caller.ends == [caller_ends.CallerEnd.TOO_SLOW]


# Guards against a node that fails where the kernel tells no state.
def test_without_the_state_a_pause_that_lasts_is_too_slow():
    caller = Caller(task.Clock(), tells_state=False)
    caller.watch.note_written(1000)
    caller.pass_time(60.0)
    assert caller.ends == []
    caller.watch.note_written(1000)
    caller.watch.note_paused(True)
    caller.pass_time(9.0)
    assert caller.ends == []
    caller.pass_time(2.0)
    assert caller.ends == [caller_ends.CallerEnd.TOO_SLOW]
