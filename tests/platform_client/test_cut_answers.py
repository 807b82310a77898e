"""Answers of the store and the cloud that end before they are whole."""

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from fireflypulley.platform import base
from fireflypulley.platform import http_client

BODY = b'{"row-version": 1}'
LENGTH = b"Content-Length: %d\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class _Service:
    """The other side of the connections of a client."""

    def __init__(self, client):
        self._connection = None
        client._agent._endpointFactory = self

    def endpointForURI(self, uri):
        return self

    def connect(self, factory):
        self._connection = factory.buildProtocol(None)
        self._connection.makeConnection(testing.StringTransport())
        return defer.succeed(self._connection)

    def answer(self, data, end, status):
        """Send an answer, and end the connection if there is an ``end``."""
        self._connection.dataReceived(b"HTTP/1.1 %s X\r\n" % status + data)
        if end is not None:
            self._connection.connectionLost(failure.Failure(end))


def _call(data, end, status=b"200"):
    """Return what a call with this answer returns or raises."""
    reactor = testing.MemoryReactorClock()
    client = http_client.HttpClient(reactor, "http://127.0.0.1:1")
    service = _Service(client)
    results = []
    call = defer.ensureDeferred(client.request("GET", "/rows-get"))
    call.addBoth(results.append)
    service.answer(data, end, status)
    (result,) = results
    return result


@pytest.mark.parametrize(
    "data",
    [LENGTH % len(BODY) + BODY, CHUNKED + b"12\r\n" + BODY + b"\r\n0\r\n\r\n"],
)
def test_an_answer_with_its_end_is_whole(data):
    assert _call(data, None).body == BODY


# Guards against a part of the store's answer that passes for the whole, and
# against a transaction whose end is never told because of one without a
# length: the call failed with an error that no caller expects.
@pytest.mark.parametrize(
    "end", [error.ConnectionDone(), error.ConnectionLost()]
)
@pytest.mark.parametrize(
    "data",
    [
        LENGTH % (len(BODY) + 1) + BODY,
        CHUNKED + b"12\r\n" + BODY + b"\r\n",
        b"\r\n" + BODY,
        b"\r\n",
    ],
    ids=["length", "chunks", "no length", "no length and no body"],
)
def test_an_answer_without_its_end_is_unavailable(data, end):
    assert _call(data, end).check(base.Unavailable)


# Guards against an answer of the store that passes for a success although
# its status is none (RFC 9110, 15).
@pytest.mark.parametrize("status", [b"000", b"-1", b"99", b"600", b"2000"])
def test_an_answer_without_a_status_is_not_used(status):
    result = _call(LENGTH % len(BODY) + BODY, None, status)
    assert result.check(base.Unavailable)
