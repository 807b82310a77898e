"""Connections to peers that may let their window be closed for long."""

import dataclasses
import socket
import threading
import time

import pytest
from twisted.internet import epollreactor
from twisted.internet import protocol
from twisted.internet import task

from fireflypulley.transport import peer_watch
from fireflypulley.transport import tcp_state

SENT_BYTES = 16 << 20
PAUSE_S = 4.0
"""More than any user timeout that this package sets."""
ALIVE = tcp_state.TcpState(0, 0, 0, 0.0, 0)


class _Sender(protocol.Protocol):
    """Sends more than the kernel takes."""

    def __init__(self, reactor):
        self._reactor = reactor

    def connectionMade(self):
        peer_watch.PeerWatch(self._reactor, self.transport)
        self.transport.write(bytes(SENT_BYTES))
        self.transport.loseConnection()


# Guards against a peer that is cut because its window was closed for long
# (issue 44).
def test_a_peer_that_pauses_gets_all():
    reactor = epollreactor.EPollReactor()
    factory = protocol.Factory()
    factory.buildProtocol = lambda address: _Sender(reactor)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    thread = threading.Thread(target=reactor.run, args=(False,), daemon=True)
    thread.start()
    received = 0
    try:
        address = ("127.0.0.1", port.getHost().port)
        with socket.create_connection(address, 10.0) as peer:
            time.sleep(PAUSE_S)
            while data := peer.recv(1 << 20):
                received += len(data)
    finally:
        reactor.callFromThread(reactor.stop)
        thread.join()
    assert received == SENT_BYTES


class _Handle:
    """A socket that takes all options."""

    def setsockopt(self, *option):
        pass


class _Transport:
    """A connection whose state the test sets."""

    connected = True
    is_aborted = False

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return _Handle()

    def abortConnection(self):
        self.is_aborted = True
        self.connected = False


def _watch(monkeypatch, states):
    """Watch a connection through states; return it and the clock."""
    clock, transport = task.Clock(), _Transport()
    following = iter(states)
    monkeypatch.setattr(
        tcp_state, "read", lambda transport: next(following, None)
    )
    peer_watch.PeerWatch(clock, transport)
    for _ in states:
        clock.advance(peer_watch.CHECK_INTERVAL_S)
    return clock, transport


@pytest.mark.parametrize("probes", [2, 6])
def test_a_peer_that_is_gone_ends_its_connection(monkeypatch, probes):
    gone = [
        dataclasses.replace(ALIVE, probes=probes, ack_age_s=0.5 * number)
        for number in range(1, 10)
    ]
    clock, transport = _watch(monkeypatch, gone)
    assert transport.is_aborted
    assert not clock.getDelayedCalls()


def test_a_peer_that_answers_is_kept_and_watched(monkeypatch):
    clock, transport = _watch(monkeypatch, [ALIVE] * 20)
    assert not transport.is_aborted
    assert clock.getDelayedCalls()


def test_a_connection_that_has_ended_is_no_longer_watched(monkeypatch):
    clock, transport = _watch(monkeypatch, [ALIVE] * 2)
    transport.connected = False
    clock.advance(peer_watch.CHECK_INTERVAL_S)
    assert not clock.getDelayedCalls()
