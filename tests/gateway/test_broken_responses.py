"""Responses whose data does not fit their head, and errors in callbacks."""

import pytest
from twisted.internet import task
from twisted import logger

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import caller_connection
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import exchange
from fireflypulley.gateway import inbound
from fireflypulley.gateway import twisted_log

from . import exchanges
from . import test_inbound

REQUEST = (
    b"POST /a/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: q1\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)
EVENTS = b"id: 1\ndata: a\n\n"


class ExchangeReceiver(test_inbound.Receiver):
    """Hands the request of a real connection to an exchange."""

    def __init__(self, world):
        super().__init__()
        self.world = world

    def receive(self, request, sink):
        dependencies = self.world.exchange._dependencies
        handler = exchange.Exchange(dependencies, request, sink)
        handler.start()
        return handler


@pytest.fixture
def lines(monkeypatch):
    """The lines that were logged."""
    found = []

    def note(kind, **fields):
        found.append({"kind": kind, **fields})

    monkeypatch.setattr(decision_log, "note", note)
    return found


def _begin(kind, **fields):
    """Send a caller's request; return its transport and the world."""
    world = exchanges.World(kind, **fields)
    factory = caller_connection.CallerFactory(
        world.clock, ExchangeReceiver(world)
    )
    connection = factory.buildProtocol(None)
    transport = test_inbound.Transport()
    connection.makeConnection(transport)
    connection.dataReceived(REQUEST)
    return world, transport


def _framed(length):
    return [*exchanges.SEALED, (b"content-length", b"%d" % length)]


def _results(lines):
    return [
        (line["id"], line["result"])
        for line in lines
        if line["kind"] == "request"
    ]


# Guards against a caller that waits for ever, and a request that ends without
# a line: the second run of a stream was shorter than the first one's length.
def test_a_stream_that_is_resumed_too_short_is_cut_and_logged(lines):
    world, transport = _begin(exchanges.STREAM, resumable=True)
    first = world.sent[-1]
    first.listener.response_head(200, _framed(100))
    first.listener.response_data(EVENTS)
    first.listener.response_failed(calls.Outcome.CUT, "lost")
    second = world.sent[-1]
    assert second is not first
    second.listener.response_head(200, _framed(20))
    second.listener.response_data(b"id: 2\ndata: b\n\n")
    with pytest.raises(inbound.BrokenResponse):
        second.listener.response_end()
    assert transport.aborted
    assert world.finished()
    assert len(_results(lines)) == 1
    assert _results(lines)[0][0] == "q1"


# Guards against the same where the second run is longer.
def test_a_stream_that_is_resumed_too_long_is_cut_and_logged(lines):
    world, transport = _begin(exchanges.STREAM, resumable=True)
    first = world.sent[-1]
    first.listener.response_head(200, _framed(20))
    first.listener.response_data(EVENTS)
    first.listener.response_failed(calls.Outcome.CUT, "lost")
    second = world.sent[-1]
    second.listener.response_head(200, _framed(40))
    with pytest.raises(inbound.BrokenResponse):
        second.listener.response_data(b"id: 2\ndata: longer\n\n")
    assert transport.aborted
    assert second.aborted
    assert world.finished()
    assert len(_results(lines)) == 1


@pytest.mark.parametrize("body", [b"o", b"okay"])
def test_data_that_does_not_fit_the_length_closes_the_connection(body):
    receiver = test_inbound.Receiver(answer=None)
    _, connection, transport = test_inbound._connect(receiver)
    connection.dataReceived(test_inbound.GET)
    (sink,), (handler,) = receiver.sinks, receiver.handlers
    sink.head(200, [(b"content-length", b"2")])
    with pytest.raises(inbound.BrokenResponse):
        sink.data(body)
        sink.end()
    assert transport.aborted
    assert handler.left


def _publisher():
    publisher = logger.LogPublisher()
    twisted_log.forward(publisher)
    return publisher, logger.Logger("some.module", observer=publisher)


# Guards against errors in callbacks of protocols that no line tells of.
def test_an_error_that_only_twisted_logs_is_a_line(lines):
    _, log = _publisher()
    try:
        raise KeyError("odd")
    except KeyError:
        log.failure("Unhandled Error")
    (line,) = lines
    assert line["kind"] == "error"
    assert line["source"] == "some.module"
    assert "Unhandled Error" in line["problem"]
    assert "KeyError: 'odd'" in line["problem"]


def test_what_twisted_logs_in_passing_is_no_line(lines):
    _, log = _publisher()
    log.info("Starting factory")
    log.debug("detail")
    log.warn("odd {what}", what="thing")
    assert [line["problem"] for line in lines] == ["odd thing"]


# Guards against an error in a timer that no line tells of.
def test_an_error_in_a_call_of_the_reactor_is_a_line(lines):
    publisher = logger.globalLogPublisher
    publisher.addObserver(twisted_log._observe)
    try:
        looping = task.LoopingCall(lambda: 1 / 0)
        looping.clock = task.Clock()
        looping.start(1.0).addErrback(
            lambda reason: logger.Logger("timer").failure("lost", reason)
        )
    finally:
        publisher.removeObserver(twisted_log._observe)
    assert "ZeroDivisionError" in lines[0]["problem"]
