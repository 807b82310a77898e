"""Invalid requests are refused before they reach the node."""

import json

import hypothesis
from hypothesis import strategies
from twisted.internet import address
from twisted.internet import task
from twisted.internet import testing

from fireflypulley.callers import events
from fireflypulley.callers import gateway
from fireflypulley.callers import site
from fireflypulley.core import ledger_rows
from fireflypulley.transport import memory
from fireflypulley.transport import open_callers

BOUND_BYTES = 64 << 20


class Recorder(gateway.Gateway):
    """Records the calls that are submitted."""

    def __init__(self):
        self.calls = []

    def submit(self, call, sink):
        self.calls.append((call, sink))

    def caller_left(self, sink):
        pass

    submit_job = submit

    def job_status(self, call, job_id, sink):
        self.calls.append((call, sink))

    def job_text(self, call, job_id, offset, sink):
        self.calls.append((call, sink))

    def cancel_job(self, call, job_id, sink):
        self.calls.append((call, sink))

    def ready(self):
        return True

    def metrics(self):
        return b""


def send(data: bytes) -> tuple[bytes, Recorder]:
    """Return the site's response to bytes, and the recorder."""
    recorder = Recorder()
    budget = memory.MemoryBudget(task.Clock(), BOUND_BYTES)
    callers = open_callers.OpenCallers(budget, 1)
    factory = site.create(recorder, callers)
    factory.startFactory()
    protocol = factory.buildProtocol(address.IPv4Address("TCP", "h", 1))
    transport = testing.StringTransport()
    transport.abortConnection = transport.loseConnection
    protocol.makeConnection(transport)
    protocol.dataReceived(data)
    answer = transport.value()
    factory.stopFactory()
    return answer, recorder


def post(path: str, body: bytes, *headers: str) -> bytes:
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: h",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


TOKEN = "Authorization: Bearer t"
CHAT = "/v1/chat/completions"


def problem(answer: bytes) -> dict:
    return json.loads(answer.partition(b"\r\n\r\n")[2])


def test_valid_request_is_submitted():
    body = b'{"model": "m", "messages": [], "stream": true}'
    key, last = "Idempotency-Key: k", "Last-Event-ID: 7"
    _, recorder = send(post(CHAT, body, TOKEN, key, last))
    call, _ = recorder.calls[0]
    assert (call.model, call.idempotency_key) == ("m", "k")
    assert call.last_event_id == 7


# Guards against a document that lacks its start and passes for the whole: it
# was joined from the events after the caller's Last-Event-ID only.
def test_a_document_is_made_of_all_events():
    body = b'{"model": "m", "messages": []}'
    key, last = "Idempotency-Key: k", "Last-Event-ID: 7"
    _, recorder = send(post(CHAT, body, TOKEN, key, last))
    call, _ = recorder.calls[0]
    assert call.last_event_id == gateway.NO_EVENT


# Guards against a document that is appended to a stream's events: the attempt
# that should have sent the rest was answered with a document.
def test_a_stream_that_has_begun_gets_no_document():
    body = b'{"model": "m", "messages": [], "stream": true}'
    _, recorder = send(post(CHAT, body, TOKEN))
    _, sink = recorder.calls[0]
    transport = sink._request.channel.transport
    sink.events(b"id: 0\ndata: {}\n\n")
    sink.answer(
        ledger_rows.stored_answer(400, "application/json", b'{"too": "long"}')
    )
    received = transport.value().partition(b"\r\n\r\n")[2]
    assert b"data: [DONE]" not in received
    assert b'{"too": "long"}' not in received
    assert b"event: error\n" in received
    assert b'"run": "failed"' in received
    assert not sink.open


def test_bad_requests_are_refused_as_not_run():
    valid = b'{"model": "m"}'
    for data, status, reason in (
        (post(CHAT, valid), 401, "no-credentials"),
        (post(CHAT, b"{", TOKEN), 400, "bad-request"),
        (post(CHAT, b'{"model": 3}', TOKEN), 400, "bad-request"),
        (post(CHAT, b"[]", TOKEN), 400, "bad-request"),
        (post(CHAT, valid, TOKEN, "Last-Event-ID: x"), 400, "bad-request"),
        (post(CHAT, valid, TOKEN, "Idempotency-Key: a b"), 400, "bad-request"),
        (post("/v2", valid, TOKEN), 404, "no-route"),
    ):
        answer, recorder = send(data)
        assert answer.startswith(b"HTTP/1.1 %d " % status), answer
        fields = problem(answer)
        assert (fields["reason"], fields["run"]) == (reason, "not-run")
        assert recorder.calls == []


def test_oversized_body_is_refused():
    size = site.MAX_BODY_BYTES + 1
    answer, recorder = send(post(CHAT, b"x" * size, TOKEN))
    assert answer.startswith(b"HTTP/1.1 413 ")
    assert recorder.calls == []


@hypothesis.given(strategies.binary(max_size=300))
def test_arbitrary_bytes_submit_no_call(data):
    _, recorder = send(data)
    assert recorder.calls == []


@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_body_is_submitted_or_refused(body):
    answer, recorder = send(post(CHAT, body, TOKEN))
    assert recorder.calls or answer.startswith(b"HTTP/1.1 400 ")


@hypothesis.given(
    strategies.lists(strategies.text(max_size=5), min_size=1, max_size=30),
    strategies.integers(-1, 40),
)
def test_reconnecting_caller_gets_only_missing_events(texts, last):
    frames = [
        b'data: {"choices":[{"delta":{"content":%s}}]}'
        % json.dumps(text).encode()
        for text in texts
    ]
    transcript = events.add_ids(frames, 0)
    missing = events.missing_events(transcript, last)
    assert events.text_of(missing) == "".join(texts[last + 1 :])
