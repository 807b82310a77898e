"""Responses of endpoints: complete, cut, unsolicited, without a length."""

import pytest
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import calls
from fireflypulley.gateway import outbound
from fireflypulley.gateway import pools

from . import test_inbound

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\n"
WHOLE = HEAD + b"Content-Length: 2\r\n\r\nok"


class Listener(outbound.ResponseListener):
    """Records the response."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.ended = False
        self.failed = None

    def response_head(self, status, headers):
        self.status = status

    def response_data(self, data):
        self.body += data

    def response_end(self, end=None):
        self.ended = True
        self.end = end

    def response_failed(self, outcome, detail):
        self.failed = outcome


class Endpoint:
    """One connection to an endpoint that the test simulates."""

    def __init__(self):
        self.clock = task.Clock()
        self.activity_count = 0
        self.pool = pools.EndpointPool(
            self.clock, "10.0.0.1:80", self._count_activity
        )
        self.connection = outbound.EndpointConnection(self.pool)
        self.transport = test_inbound.Transport()
        self.connection.makeConnection(self.transport)
        self.pool._open.add(self.connection)

    def _count_activity(self):
        self.activity_count += 1

    def ask(self, body=b""):
        """Send a request; return the listener."""
        listener = Listener()
        self.connection.send(
            b"POST", b"/a/x", [(b"host", b"h")], body, listener
        )
        self._flush()
        return listener

    def _flush(self):
        self.transport.producer.resumeProducing()

    def answer(self, data):
        """Send data as the endpoint."""
        self.connection.dataReceived(data)

    def close(self, reason=None):
        """Close the connection as the endpoint."""
        reason = reason or error.ConnectionDone()
        self.connection.connectionLost(failure.Failure(reason))


@pytest.fixture
def endpoint():
    """Return an endpoint with a connection."""
    return Endpoint()


def test_a_request_is_written_with_its_length(endpoint):
    endpoint.ask(b"hello")
    assert endpoint.transport.value() == (
        b"POST /a/x HTTP/1.1\r\nHost: h\r\ncontent-length: 5\r\n\r\nhello"
    ).replace(b"Host", b"host")


def test_a_complete_response_keeps_the_connection(endpoint):
    first = endpoint.ask()
    endpoint.answer(WHOLE)
    assert (first.status, first.body, first.ended) == (200, b"ok", True)
    assert not endpoint.transport.aborted
    second = endpoint.ask()
    endpoint.answer(WHOLE)
    assert second.ended
    assert endpoint.activity_count == 2


def test_an_answer_in_any_pieces(endpoint):
    listener = endpoint.ask()
    for index in range(len(WHOLE)):
        endpoint.answer(WHOLE[index : index + 1])
    assert listener.ended
    assert listener.body == b"ok"


def test_interim_responses_are_ignored(endpoint):
    listener = endpoint.ask()
    endpoint.answer(b"HTTP/1.1 102 Processing\r\n\r\n" + WHOLE)
    assert listener.status == 200


def test_an_unsolicited_response_at_once_closes_the_connection(endpoint):
    listener = endpoint.ask()
    endpoint.answer(WHOLE + WHOLE)
    assert listener.ended
    assert listener.body == b"ok"
    assert endpoint.transport.aborted
    assert endpoint.pool.unsolicited == 1


def test_an_unsolicited_response_later_closes_the_connection(endpoint):
    endpoint.ask()
    endpoint.answer(WHOLE)
    endpoint.answer(WHOLE)
    assert endpoint.transport.aborted
    assert endpoint.pool.unsolicited == 1


def test_a_response_closed_within_its_body_is_cut(endpoint):
    listener = endpoint.ask()
    endpoint.answer(HEAD + b"Content-Length: 5\r\n\r\nok")
    endpoint.close()
    assert listener.failed is calls.Outcome.CUT
    assert not listener.ended


def test_chunks_without_their_end_are_cut(endpoint):
    listener = endpoint.ask()
    endpoint.answer(HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
    endpoint.close()
    assert listener.failed is calls.Outcome.CUT


def test_a_response_without_a_length_that_is_reset_is_cut(endpoint):
    listener = endpoint.ask()
    endpoint.answer(HEAD + b"\r\nok")
    endpoint.close(error.ConnectionLost())
    assert listener.failed is calls.Outcome.CUT
    assert not listener.ended


def test_a_close_before_any_answer_is_cut(endpoint):
    listener = endpoint.ask()
    endpoint.close()
    assert listener.failed is calls.Outcome.CUT


@pytest.mark.parametrize(
    "data",
    [
        b"HELLO\r\n\r\n",
        b"\x00\x01\x02\x03\r\n\r\n",
        HEAD + b"Content-Length: x\r\n\r\n",
        HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nok",
        HEAD + b"X: " + b"x" * 70_000,
    ],
)
def test_invalid_responses_are_garbage(endpoint, data):
    listener = endpoint.ask()
    endpoint.answer(data)
    assert listener.failed is calls.Outcome.GARBAGE
    assert endpoint.transport.aborted


# Guards against callers who get an answer whose status is none (RFC 9110,
# 15: 100 to 599).
@pytest.mark.parametrize(
    "status", [b"600", b"999", b"000", b"099", b"abc", b"2000"]
)
def test_an_answer_without_a_status_is_garbage(endpoint, status):
    listener = endpoint.ask()
    endpoint.answer(WHOLE.replace(b"200", status))
    assert listener.status is None
    assert listener.failed is calls.Outcome.GARBAGE
    assert endpoint.transport.aborted


def test_the_last_status_is_one(endpoint):
    listener = endpoint.ask()
    endpoint.answer(WHOLE.replace(b"200", b"599"))
    assert (listener.status, listener.ended) == (599, True)


# Guards against a refusal of an earlier request that is taken for one to
# this request: its copy is cut off where the next head begins.
@pytest.mark.parametrize("cut_at", range(1, 4))
def test_a_head_that_is_joined_to_another_is_garbage(endpoint, cut_at):
    endpoint.ask()
    endpoint.answer(WHOLE)
    listener = endpoint.ask()
    copy = b"HTTP/1.1 503 Full\r\nNot-Executed: yes"
    endpoint.answer(copy[:-cut_at] + WHOLE)
    assert listener.status is None
    assert listener.failed is calls.Outcome.GARBAGE
    assert endpoint.transport.aborted


def test_an_early_answer_to_a_long_body_ends_the_connection():
    """The rest of the body must not be parsed as the next request."""
    endpoint = Endpoint()
    listener = Listener()
    endpoint.connection.send(
        b"POST", b"/", [(b"host", b"h")], b"x" * 50_000, listener
    )
    endpoint.answer(WHOLE)
    assert listener.ended
    assert endpoint.transport.aborted


def test_a_connection_that_says_close_is_not_kept(endpoint):
    listener = endpoint.ask()
    endpoint.answer(HEAD + b"Connection: close\r\nContent-Length: 2\r\n\r\nok")
    assert listener.ended
    assert endpoint.transport.aborted


def test_an_idle_connection_is_closed_before_the_endpoint_does_so(endpoint):
    endpoint.ask()
    endpoint.answer(
        HEAD + b"Keep-Alive: timeout=3\r\nContent-Length: 2\r\n\r\nok"
    )
    endpoint.clock.advance(1.9)
    assert not endpoint.connection.is_stale(endpoint.clock.seconds())
    endpoint.clock.advance(0.2)
    endpoint.pool.drop_stale()
    assert endpoint.transport.aborted


def test_the_rest_of_a_discarded_response_is_dropped(endpoint):
    listener = endpoint.ask()
    endpoint.answer(HEAD + b"Content-Length: 4\r\n\r\nab")
    endpoint.connection.discard_response()
    endpoint.answer(b"cd")
    assert listener.body == b"ab"
    assert not listener.ended
    assert not endpoint.transport.aborted
    assert endpoint.ask() is not None
    endpoint.answer(WHOLE)


def test_an_aborted_connection_notifies_no_listener(endpoint):
    listener = endpoint.ask()
    endpoint.connection.abort()
    endpoint.answer(WHOLE)
    endpoint.close()
    assert listener.status is None
    assert listener.failed is None


def test_a_connection_remembers_the_requests_that_it_carried(endpoint):
    connection = endpoint.connection
    assert connection.is_first_request
    for number in (1, 2):
        connection.send(
            b"GET", b"/", [(b"host", b"h")], b"", Listener(), f"q{number}"
        )
        assert connection.is_first_request is (number == 1)
        endpoint._flush()
        endpoint.answer(WHOLE)
    assert connection.has_carried("q1") and connection.has_carried("q2")
    assert not connection.has_carried("q3")


class PausingListener(Listener):
    """Takes no data after the first part, as a slow caller."""

    def __init__(self, connection):
        super().__init__()
        self._connection = connection

    def response_data(self, data):
        super().response_data(data)
        self._connection.pause()


# Guards against a kept connection that nobody reads: the answer to the next
# request on it would be waited for in vain.
def test_a_connection_kept_while_its_caller_is_slow_is_read_again(endpoint):
    listener = PausingListener(endpoint.connection)
    endpoint.connection.send(
        b"POST", b"/a/x", [(b"host", b"h")], b"", listener
    )
    endpoint._flush()
    endpoint.answer(WHOLE)
    assert listener.ended
    assert endpoint.connection.is_usable
    endpoint.clock.advance(0)
    assert endpoint.transport.producerState == "producing"


def test_a_response_is_discarded_although_its_caller_was_slow(endpoint):
    endpoint.ask()
    endpoint.connection.pause()
    endpoint.connection.discard_response()
    endpoint.clock.advance(0)
    assert endpoint.transport.producerState == "producing"


@pytest.mark.parametrize(
    ("fields", "body", "framing"),
    [
        (b"Content-Length: 2\r\n", b"ok", answer_ends.Framing.LENGTH),
        (
            b"Transfer-Encoding: chunked\r\n",
            b"2\r\nok\r\n0\r\n\r\n",
            answer_ends.Framing.CHUNKS,
        ),
    ],
)
def test_how_the_end_of_an_answer_was_told(endpoint, fields, body, framing):
    endpoint.ask()
    endpoint.answer(WHOLE)
    listener = endpoint.ask()
    endpoint.answer(HEAD + fields + b"\r\n" + body)
    assert listener.end == answer_ends.AnswerEnd(framing, 2, 2, 0)
