"""Writes answers to twisted.web requests."""

from twisted.web import http

from fireflypulley.callers import events
from fireflypulley.callers import gateway
from fireflypulley.callers import problem_json
from fireflypulley.core import ledger_rows
from fireflypulley.core import problems


class HttpSink(gateway.Sink):
    """Sends complete answers; joins a model's events at the end."""

    def __init__(self, request: http.Request) -> None:
        self._request = request
        self._open = True

    @property
    def open(self) -> bool:
        return self._open

    def close(self) -> None:
        """Stop writing after the caller has disconnected."""
        self._open = False

    def give_up(self) -> None:
        """Close the connection, which tells that the caller has left."""
        if self._open:
            self._request.transport.abortConnection()

    def events(self, data: bytes) -> None:
        pass

    def finish(self, transcript: bytes) -> None:
        body = events.completion(transcript)
        self._send(200, "application/json", body)

    def answer(self, answer: ledger_rows.StoredAnswer) -> None:
        self._send(answer.status, answer.content_type, answer.body)

    def refuse(self, refusal: problems.Refusal) -> None:
        if not self._open:
            return
        retry_after = problem_json.retry_after(refusal)
        if retry_after is not None:
            self._request.setHeader("Retry-After", retry_after)
        if refusal.status == 401:
            self._request.setHeader("WWW-Authenticate", "Bearer")
        body = problem_json.encode(refusal)
        self._send(refusal.status, problem_json.CONTENT_TYPE, body)

    def _send(self, status: int, content_type: str, body: bytes) -> None:
        if not self._open:
            return
        self._open = False
        self._request.setResponseCode(status)
        if content_type:
            self._request.setHeader("Content-Type", content_type)
        self._request.setHeader("Content-Length", str(len(body)))
        self._request.write(body)
        self._request.finish()


class StreamSink(HttpSink):
    """Streams a model's events as they arrive."""

    _started = False

    def _start(self) -> None:
        if self._started:
            return
        self._started = True
        self._request.setHeader("Content-Type", "text/event-stream")
        self._request.setHeader("Cache-Control", "no-store")

    def events(self, data: bytes) -> None:
        if not self._open:
            return
        self._start()
        self._request.write(data)

    def finish(self, transcript: bytes) -> None:
        if not self._open:
            return
        self._start()
        self._open = False
        self._request.write(events.DONE)
        self._request.finish()

    def answer(self, answer: ledger_rows.StoredAnswer) -> None:
        if not self._started:
            super().answer(answer)
            return
        self.refuse(
            problems.Refusal(
                problems.Reason.RETRIES_EXHAUSTED,
                problems.Run.FAILED,
                f"the engine answered {answer.status} instead of the rest",
            )
        )

    def refuse(self, refusal: problems.Refusal) -> None:
        if not self._started:
            super().refuse(refusal)
            return
        if not self._open:
            return
        self._open = False
        body = problem_json.encode(refusal)
        self._request.write(b"event: error\ndata: " + body + b"\n\n")
        self._request.finish()
