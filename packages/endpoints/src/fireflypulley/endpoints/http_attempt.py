"""The common part of attempts on engines and plain services."""

import collections.abc
import typing

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.python import failure
from twisted.web import client
from twisted.web import http_headers
from twisted.web import iweb
from zope import interface

from fireflypulley.core import requests
from fireflypulley.core import statuses
from fireflypulley.endpoints import base

CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 4 << 20
READ_BYTES = 16 << 10
"""At once of an answer; a node reads hundreds of them in one turn."""
_BUSY = frozenset({429, 503})


@interface.implementer(iweb.IBodyProducer)
class RequestBody:
    """A request body that calls back when writing starts."""

    def __init__(
        self, body: bytes, on_started: collections.abc.Callable[[], None]
    ) -> None:
        self.length = len(body)
        self._body = body
        self._on_started = on_started

    def startProducing(
        self, consumer: interfaces.IConsumer
    ) -> defer.Deferred[None]:
        self._on_started()
        consumer.write(self._body)
        return defer.succeed(None)

    def stopProducing(self) -> None:
        """Do nothing; the whole body is written at once."""

    def pauseProducing(self) -> None:
        """Do nothing; the whole body is written at once."""

    def resumeProducing(self) -> None:
        """Do nothing; the whole body is written at once."""


class ResponseBody(protocol.Protocol):
    """Passes the bytes of a response to its attempt."""

    def __init__(self, attempt: "HttpAttempt") -> None:
        self._attempt = attempt

    def dataReceived(self, data: bytes) -> None:
        self._attempt.data_received(data)

    def connectionLost(
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        is_complete = reason.check(client.ResponseDone) is not None
        self._attempt.body_ended(is_complete)

    def connectionMade(self) -> None:
        self._below.bufferSize = READ_BYTES

    @property
    def _below(self) -> typing.Any:
        """Return the transport of the connection."""
        return getattr(self.transport, "_producer", self.transport)

    def abort(self) -> None:
        """Close the connection to the endpoint."""
        transport = self._below
        if hasattr(transport, "abortConnection"):
            transport.abortConnection()
        elif transport is not None:
            transport.loseConnection()


class HttpAttempt(base.Attempt):
    """An HTTP request to an endpoint; subclasses read the response."""

    def __init__(
        self,
        agent: client.Agent,
        reactor: interfaces.IReactorTime,
        request: base.AttemptRequest,
        listener: base.AttemptListener,
        idle_timeout_s: float,
    ) -> None:
        self._agent = agent
        self._reactor = reactor
        self._request = request
        self._listener: base.AttemptListener | None = listener
        self._idle_timeout_s = idle_timeout_s
        self._last_activity_s = reactor.seconds()
        self._was_sent = False
        self._pending_response: defer.Deferred[iweb.IResponse] | None = None
        self._body: ResponseBody | None = None

    def start(self) -> None:
        """Send the request."""
        request = self._request
        headers = self.headers()
        self._pending_response = self._agent.request(
            request.payload.method.encode(),
            f"http://{request.address}{request.payload.path}".encode(),
            headers,
            RequestBody(self.body(), self._mark_sent),
        )
        self._pending_response.addCallbacks(
            self._on_response, self._on_failure
        )

    def headers(self) -> http_headers.Headers:
        """Return the headers of the request."""
        request = self._request
        headers = http_headers.Headers()
        headers.setRawHeaders("X-Request-Id", [request.attempt_id])
        if request.payload.content_type:
            headers.setRawHeaders(
                "Content-Type", [request.payload.content_type]
            )
        if request.idempotency_key:
            headers.setRawHeaders("Idempotency-Key", [request.idempotency_key])
        if request.fencing is not None:
            headers.setRawHeaders("Fencing-Token", [str(request.fencing)])
        return headers

    def body(self) -> bytes:
        """Return the body of the request."""
        return self._request.payload.body

    def _mark_sent(self) -> None:
        self._was_sent = True
        if self._listener is not None:
            self._listener.sent()

    def _on_response(self, response: iweb.IResponse) -> None:
        self._last_activity_s = self._reactor.seconds()
        self._body = ResponseBody(self)
        self.response_started(response)
        is_answer = statuses.is_final(response.code)
        if not is_answer:
            self.end(requests.Outcome.INVALID)
        response.deliverBody(self._body)
        if not is_answer:
            self._body.abort()

    def response_started(self, response: iweb.IResponse) -> None:
        """Handle the status and headers of the response."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Handle received bytes of the response body."""
        raise NotImplementedError

    def body_ended(self, is_complete: bool) -> None:
        """Handle the end of the response.

        ``is_complete`` is false if the connection was lost before it.
        """
        raise NotImplementedError

    def _on_failure(self, reason: failure.Failure) -> None:
        if self._was_sent:
            self.end(requests.Outcome.CUT)
        else:
            self.end(requests.Outcome.UNREACHABLE)

    def record_activity(self) -> None:
        """Restart the idle timeout."""
        self._last_activity_s = self._reactor.seconds()

    def end(
        self,
        outcome: requests.Outcome,
        answer: base.Answer | None = None,
    ) -> None:
        """Notify the listener of the end; later calls do nothing."""
        listener = self._listener
        if listener is None:
            return
        self._listener = None
        if outcome is not requests.Outcome.COMPLETE:
            self._abort()
        listener.ended(outcome, answer)

    def _abort(self) -> None:
        if self._body is not None:
            self._body.abort()
        elif self._pending_response is not None:
            self._pending_response.addErrback(lambda _: None)
            self._pending_response.cancel()

    def cancel(self) -> None:
        self._listener = None
        self._abort()

    def check_idle(self, now_s: float) -> None:
        if now_s - self._last_activity_s > self._idle_timeout_s:
            self.end(requests.Outcome.TIMEOUT)


def outcome_of_status(status: int) -> requests.Outcome:
    """Return the outcome of an attempt with this response status."""
    if status in _BUSY:
        return requests.Outcome.BUSY
    if status >= 500:
        return requests.Outcome.SERVER_ERROR
    return requests.Outcome.COMPLETE
