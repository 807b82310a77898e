"""Connections that are paused, reset and read again, over real sockets."""

import contextlib

import pytest
from twisted.internet import error

from fireflypulley.transport import reading

from . import batches


@pytest.fixture
def sockets():
    with contextlib.closing(batches.Sockets()) as running:
        yield running


def _reset_while_paused(sockets, resume):
    """Return a connection that was reset and then resumed in one batch."""
    paused = batches.Recorder()
    there = sockets.connect(paused)
    batches.fill(paused.transport)
    sockets.settle()
    paused.transport.pauseProducing()
    sockets.reset_while_paused(there, lambda: resume(paused))
    return paused


# Shows why: twisted takes the hang-up of a connection that is read again in
# the middle of a batch for a close in order, and drops what wasn't read.
def test_twisted_takes_a_reset_for_a_close_in_order(sockets):
    paused = _reset_while_paused(
        sockets, lambda user: user.transport.resumeProducing()
    )
    assert (paused.lost, paused.received) == (error.ConnectionDone, b"")


# Guards against a reset that is told as a close in order, so that a part of
# an answer without a length passes for the whole (issue 49).
def test_a_reset_is_not_a_close_in_order_if_reading_resumes_later(sockets):
    paused = _reset_while_paused(
        sockets,
        lambda user: reading.LaterReading(
            user.transport, sockets.reactor.callLater
        ).resumeProducing(),
    )
    sockets.turn()
    assert paused.lost is error.ConnectionLost


class Transport:
    """Records whether it reads."""

    def __init__(self):
        self.calls = []

    def pauseProducing(self):
        self.calls.append("pause")

    def resumeProducing(self):
        self.calls.append("resume")

    def stopProducing(self):
        self.calls.append("stop")


def _later_reading(sockets):
    transport = Transport()
    later = reading.LaterReading(transport, sockets.reactor.callLater)
    return transport, later


def test_reading_resumes_in_the_next_turn(sockets):
    transport, later = _later_reading(sockets)
    later.resumeProducing()
    later.resumeProducing()
    assert not transport.calls
    sockets.turn()
    assert transport.calls == ["resume"]
    later.resumeProducing()
    sockets.turn()
    assert transport.calls == ["resume", "resume"]


def test_a_pause_cancels_the_resumption(sockets):
    transport, later = _later_reading(sockets)
    later.resumeProducing()
    later.pauseProducing()
    sockets.turn()
    assert transport.calls == ["pause"]


def test_nothing_is_read_after_the_loss(sockets):
    transport, later = _later_reading(sockets)
    later.resumeProducing()
    later.close()
    later.resumeProducing()
    later.pauseProducing()
    sockets.turn()
    assert not transport.calls
    assert not sockets.reactor.getDelayedCalls()


def test_a_producer_that_is_stopped_reads_no_more(sockets):
    transport, later = _later_reading(sockets)
    later.resumeProducing()
    later.stopProducing()
    sockets.turn()
    assert transport.calls == ["stop"]
