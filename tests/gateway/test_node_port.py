"""A port that another process has is opened once it is free."""

import socket

import pytest
from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import task

from fireflypulley.gateway import decision_log
from fireflypulley.gateway import node_port
from fireflypulley.gateway import settings


class Reactor(task.Clock):
    """A clock whose port another process may have."""

    def __init__(self):
        super().__init__()
        self.is_taken = False
        self.problem = None
        self.opened = []

    def listenTCP(self, port, factory, backlog=50, interface=""):
        if self.problem is not None:
            raise self.problem
        if self.is_taken:
            raise error.CannotListenError(interface, port, OSError("in use"))
        self.opened.append((interface, port))
        return object()


@pytest.fixture
def reactor():
    return Reactor()


@pytest.fixture
def lines(monkeypatch):
    """The lines about ports that were logged."""
    found = []
    monkeypatch.setattr(
        decision_log, "note", lambda kind, **fields: found.append(fields)
    )
    return found


def _port(reactor):
    return node_port.NodePort(
        reactor, "nodes", settings.Address("127.0.0.1", 7), protocol.Factory()
    )


def test_a_free_port_is_opened_at_once(reactor, lines):
    port = _port(reactor)
    port.open()
    assert reactor.opened == [("127.0.0.1", 7)]
    assert port.is_open
    assert lines == []


def test_the_log_says_once_that_a_port_is_taken_and_once_that_it_is_had(
    reactor, lines
):
    reactor.is_taken = True
    port = _port(reactor)
    port.open()
    reactor.pump([node_port.RETRY_INTERVAL_S] * 10)
    assert (port.is_open, port.is_taken) == (False, True)
    assert [line["state"] for line in lines] == ["taken"]
    assert "in use" in lines[0]["problem"]
    reactor.is_taken = False
    reactor.pump([node_port.RETRY_INTERVAL_S] * 2)
    assert (port.is_open, port.is_taken) == (True, False)
    assert [line["state"] for line in lines] == ["taken", "listening"]


def test_a_port_that_is_given_up_is_not_opened(reactor, lines):
    reactor.is_taken = True
    port = _port(reactor)
    port.open()
    assert port.take() is None
    reactor.is_taken = False
    reactor.pump([node_port.RETRY_INTERVAL_S] * 2)
    assert reactor.opened == []
    assert reactor.getDelayedCalls() == []


def test_a_port_that_is_open_is_given_up_once(reactor, lines):
    port = _port(reactor)
    port.open()
    assert port.take() is not None
    assert port.take() is None
    assert not port.is_open


class Adopting(Reactor):
    """A reactor that takes over sockets that listen already."""

    def adoptStreamPort(self, fileDescriptor, addressFamily, factory):
        self.opened.append((fileDescriptor, addressFamily))
        return object()


def test_a_socket_that_listens_already_is_taken_over():
    reactor = Adopting()
    opened = socket.socket()
    number = opened.fileno()
    port = _port(reactor)
    port.adopt(opened)
    assert reactor.opened == [(number, socket.AF_INET)]
    assert opened.fileno() == -1
    assert port.is_open


# Guards against a port that is never opened, as another process began to
# listen just after this one had bound the address.
def test_a_port_that_is_taken_while_it_is_opened_is_tried_again(
    reactor, lines
):
    reactor.problem = OSError("in use")
    port = _port(reactor)
    port.open()
    reactor.pump([node_port.RETRY_INTERVAL_S] * 3)
    assert port.is_taken
    assert [line["state"] for line in lines] == ["taken"]
    reactor.problem = None
    reactor.pump([node_port.RETRY_INTERVAL_S])
    assert port.is_open
