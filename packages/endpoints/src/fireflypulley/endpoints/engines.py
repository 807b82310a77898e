"""Attempts on model engines: OpenAI-style requests, SSE answers."""

import json

from twisted.web import http_headers
from twisted.web import iweb

from fireflypulley.core import requests
from fireflypulley.endpoints import base
from fireflypulley.endpoints import frames
from fireflypulley.endpoints import http_attempt

IDLE_TIMEOUT_S = 10.0


class EngineAttempt(http_attempt.HttpAttempt):
    """A request to an engine that answers with a stream of tokens."""

    _reader: frames.FrameReader | None = None
    _status = 0
    _content_type = ""
    _unstreamed_body = b""

    def headers(self) -> http_headers.Headers:
        headers = super().headers()
        headers.setRawHeaders("X-Priority", [str(self._request.priority)])
        return headers

    def body(self) -> bytes:
        fields = json.loads(self._request.payload.body)
        fields["stream"] = True
        request = self._request
        if request.resume is not None:
            fields["resume"] = {
                "text": request.resume.text,
                "tokens": request.resume.tokens,
            }
        return json.dumps(fields, separators=(",", ":")).encode()

    def response_started(self, response: iweb.IResponse) -> None:
        self._status = response.code
        types = response.headers.getRawHeaders("Content-Type", [""])
        self._content_type = types[0]
        if response.code == 200:
            self._reader = frames.FrameReader(self._request.attempt_id)

    def data_received(self, data: bytes) -> None:
        self.record_activity()
        if self._listener is None:
            return
        if self._reader is None:
            self._unstreamed_body += data[: http_attempt.MAX_ANSWER_BYTES]
            return
        events = self._reader.feed(data)
        if events:
            self._listener.frames(events)
        if self._reader.state is frames.State.COMPLETE:
            self.end(requests.Outcome.COMPLETE)
        elif self._reader.state is frames.State.INVALID:
            self.end(requests.Outcome.INVALID)

    def body_ended(self, is_complete: bool) -> None:
        if self._reader is not None or not is_complete:
            self.end(requests.Outcome.CUT)
            return
        outcome = http_attempt.outcome_of_status(self._status)
        answer = None
        if outcome is requests.Outcome.COMPLETE:
            answer = base.Answer(
                self._status, self._content_type, self._unstreamed_body
            )
        self.end(outcome, answer)
