"""Responses whose data does not fit their head, and errors in callbacks."""

import pytest
from twisted.internet import task
from twisted import logger

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import caller_factory
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
    factory = caller_factory.CallerFactory(
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


# Guards against a resumed stream that is cut, or that its caller waits for,
# as its second run is longer or shorter than the first one said.
@pytest.mark.parametrize("length", [20, 100])
def test_a_resumed_stream_is_not_bound_to_the_first_length(lines, length):
    world, transport = _begin(exchanges.STREAM, resumable=True)
    first = world.sent[-1]
    first.listener.response_head(200, _framed(length))
    first.listener.response_data(EVENTS)
    first.listener.response_failed(calls.Outcome.CUT, "lost")
    second = world.sent[-1]
    assert second is not first
    second.listener.response_head(200, _framed(40))
    second.listener.response_data(b"id: 2\ndata: longer\n\n")
    second.listener.response_end()
    assert not transport.aborted
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert b"content-length" not in head.lower()
    assert body.endswith(b"0\r\n\r\n")
    assert EVENTS in body and b"id: 2\ndata: longer\n\n" in body
    world.clock.advance(1.0)
    assert _results(lines) == [("q1", "answered")]


# Guards against a caller that waits for ever, and a request that ends without
# a line, as an answer does not fit its head.
@pytest.mark.parametrize("body", [b"o", b"too long"])
def test_an_answer_that_does_not_fit_its_head_is_cut_and_logged(lines, body):
    world, transport = _begin(document.RouteKind.IDEMPOTENT)
    sent = world.sent[-1]
    sent.listener.response_head(200, _framed(4))
    sent.listener.response_data(body)
    with pytest.raises(inbound.BrokenResponse):
        sent.listener.response_end()
    assert transport.aborted
    assert world.finished()
    assert _results(lines) == [("q1", "cut")]


# Guards against a caller who gets the length that an endpoint names beside
# the chunks that count: it would take a part for the whole.
def test_an_answer_with_a_length_and_chunks_is_sent_in_chunks():
    world, transport = _begin(document.RouteKind.IDEMPOTENT)
    sent = world.sent[-1]
    fields = [*_framed(2), (b"transfer-encoding", b"chunked")]
    sent.listener.response_head(200, fields)
    sent.listener.response_data(b"longer")
    sent.listener.response_end()
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert b"content-length" not in head.lower()
    assert body == b"6\r\nlonger\r\n0\r\n\r\n"
    assert not transport.aborted


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
