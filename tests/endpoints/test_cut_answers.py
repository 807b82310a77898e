"""Answers of endpoints to the daemon that end before they are whole."""

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from fireflypulley.core import payload
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.endpoints import base
from fireflypulley.endpoints import clients

HEAD = b"HTTP/1.1 200 OK\r\n"
EVENT = b'data: {"id": "a1"}\n\n'
DONE = b"data: [DONE]\n\n"
ENDS = [error.ConnectionDone(), error.ConnectionLost()]
ADDRESS = "127.0.0.1:1"
REPORT = b"""{"running": 3, "waiting": 0, "answered_total": 0,
"started_s": 1.0}"""
CUT_BODIES = {
    "length": b"Content-Length: 3\r\n\r\nok",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    "no length": b"\r\nok",
}


class _Endpoint:
    """The other side of the connections of a client."""

    def __init__(self, endpoint_clients):
        self._connection = None
        endpoint_clients._agent._endpointFactory = self
        endpoint_clients._unpooled_agent._endpointFactory = self

    def endpointForURI(self, uri):
        return self

    def connect(self, factory):
        self._connection = factory.buildProtocol(None)
        self._connection.makeConnection(testing.StringTransport())
        return defer.succeed(self._connection)

    def answer(self, data, end):
        self._connection.dataReceived(HEAD + data)
        self._connection.connectionLost(failure.Failure(end))


class _Listener(base.AttemptListener):
    """Keeps how an attempt ended."""

    outcome = None

    def sent(self):
        pass

    def frames(self, frames):
        pass

    def ended(self, outcome, answer):
        self.outcome = outcome


def _outcome(kind, is_retryable, data, end, body=b"{}"):
    """Return the outcome of an attempt with this answer."""
    starter = clients.Clients(testing.MemoryReactorClock())
    endpoint = _Endpoint(starter)
    listener = _Listener()
    call = payload.Payload("POST", "/", "", body)
    request = base.AttemptRequest("a1", ADDRESS, call, "")
    starter.start(kind, request, listener, is_retryable)
    endpoint.answer(data, end)
    return listener.outcome


# Guards against a part of a call's answer that passes for the whole.  One
# without a length isn't believed: nothing in it shows that it is whole.
@pytest.mark.parametrize("is_retryable", [True, False])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("data", CUT_BODIES.values(), ids=list(CUT_BODIES))
def test_a_call_whose_answer_has_no_end_is_cut(data, end, is_retryable):
    kind = topology.ServiceKind.PLAIN
    outcome = _outcome(kind, is_retryable, data, end)
    assert outcome is requests.Outcome.CUT


# Guards against a stream of tokens that passes for the whole: only its last
# event shows that it is.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("is_framed", [True, False])
@pytest.mark.parametrize("last", [b"", DONE[:-1]])
def test_a_stream_of_tokens_without_its_last_event_is_cut(
    last, is_framed, end
):
    data = b"\r\n" + EVENT + last
    if is_framed:
        data = b"Content-Length: %d\r\n" % len(EVENT + last) + data
    outcome = _outcome(topology.ServiceKind.MODEL, True, data, end)
    assert outcome is requests.Outcome.CUT


@pytest.mark.parametrize("end", ENDS)
def test_a_stream_of_tokens_with_its_last_event_is_whole(end):
    data = b"\r\n" + EVENT + DONE
    outcome = _outcome(topology.ServiceKind.MODEL, True, data, end)
    assert outcome is requests.Outcome.COMPLETE


def _load(data, end):
    """Return the load report in an answer."""
    starter = clients.Clients(testing.MemoryReactorClock())
    endpoint = _Endpoint(starter)
    results = []
    defer.ensureDeferred(starter.load(ADDRESS)).addBoth(results.append)
    endpoint.answer(data, end)
    (report,) = results
    return report


# Guards against a load report of which a part is believed.
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: %d\r\n\r\n" % (len(REPORT) + 1),
        b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(REPORT),
        b"\r\n",
    ],
    ids=["length", "chunks", "no length"],
)
def test_a_load_report_without_its_end_is_not_used(head, end):
    assert _load(head + REPORT, end) is None


def test_a_load_report_with_its_end_is_used():
    head = b"Content-Length: %d\r\n\r\n" % len(REPORT)
    assert _load(head + REPORT, ENDS[0]).running == 3


class _BusyTransport(testing.StringTransport):
    """Has not written what it was given, and so asks for no more."""

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        producer.pauseProducing()


# Guards against half of an answer that passes for the whole, since its
# endpoint gave up while the request was being written.
@pytest.mark.parametrize("is_retryable", [True, False])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("data", CUT_BODIES.values(), ids=list(CUT_BODIES))
def test_a_call_that_is_answered_while_it_is_written_is_cut(
    monkeypatch, data, end, is_retryable
):
    monkeypatch.setattr(testing, "StringTransport", _BusyTransport)
    kind = topology.ServiceKind.PLAIN
    outcome = _outcome(kind, is_retryable, data, end, b"x" * 1_000_000)
    assert outcome is requests.Outcome.CUT
