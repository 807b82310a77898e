"""A stand-in for a model engine: OpenAI-style streams over SSE.

Tokens depend only on the prompt and the position, so a resumed response
can be compared with an uninterrupted one.  A cold engine can serve
``cold_capacity`` requests and doubles that after each round of responses;
it crashes under more.
``POST /faults`` sets any field of ``Faults``.
"""

import dataclasses
import hashlib
import json
import os
import time

from twisted.internet import reactor
from twisted.internet import task

from fireflystandins import web

DEFAULT_TOKENS = 40
ANSWERS_PER_DOUBLING = 2


@dataclasses.dataclass
class Faults:
    """The active faults."""

    fail_all: bool = False
    extra_first_token_s: float = 0.0
    garbage: bool = False
    wrong_id: bool = False
    stall: bool = False
    crash_on: str = ""
    die_after_tokens: int = 0


@dataclasses.dataclass
class Settings:
    """The speed and capacity of the engine."""

    first_token_s: float = 0.02
    token_s: float = 0.01
    capacity: int = 16
    cold_capacity: int = 1
    cold: bool = False
    exact_cold: bool = True
    padding_bytes: int = 0
    """How much longer each token is."""


def token(prompt: str, index: int) -> str:
    """Return the token at a position of the response to a prompt."""
    digest = hashlib.sha256(f"{prompt}:{index}".encode()).hexdigest()
    return f"w{digest[:4]} "


def prompt_text(body: web.Json) -> str:
    """Return the text from which the tokens are derived."""
    if "messages" in body:
        return "\n".join(str(m.get("content")) for m in body["messages"])
    return str(body.get("prompt", ""))


class Stream:
    """A response that is being generated."""

    def __init__(
        self, engine: "Engine", request: web.JsonRequest, body: web.Json
    ) -> None:
        self._engine = engine
        self._raw = request.raw
        self._id = request.header("X-Request-Id") or "none"
        self._prompt = prompt_text(body)
        self._index = int(body.get("resume", {}).get("tokens", 0))
        self._total = int(body.get("max_tokens") or DEFAULT_TOKENS)
        self._loop = task.LoopingCall(self._send_token)
        self._ended = False
        self._raw.notifyFinish().addErrback(lambda _: self._end())

    def start(self) -> None:
        """Start sending tokens after the time to the first token."""
        faults = self._engine.faults
        if faults.stall:
            return
        delay_s = self._engine.settings.first_token_s
        reactor.callLater(
            delay_s + faults.extra_first_token_s, self._send_tokens
        )

    def _send_tokens(self) -> None:
        if self._ended:
            return
        self._raw.setHeader("Content-Type", "text/event-stream")
        self._loop.start(self._engine.settings.token_s)

    def _send_token(self) -> None:
        if self._ended:
            return
        if self._index >= self._total:
            self._finish()
            return
        text = token(self._prompt, self._index)
        text += "x" * self._engine.settings.padding_bytes
        self._index += 1
        self._engine.tokens += 1
        self._write({"delta": {"content": text}, "index": 0})
        token_limit = self._engine.faults.die_after_tokens
        if token_limit and self._engine.tokens >= token_limit:
            os._exit(1)

    def _write(self, choice: web.Json) -> None:
        if self._engine.faults.garbage:
            self._raw.write(b"data: {not json\n\n")
            return
        event_id = "other" if self._engine.faults.wrong_id else self._id
        event = {"id": event_id, "choices": [choice]}
        text = json.dumps(event, separators=(",", ":"))
        self._raw.write(f"data: {text}\n\n".encode())

    def _finish(self) -> None:
        self._write({"delta": {}, "index": 0, "finish_reason": "stop"})
        self._raw.write(b"data: [DONE]\n\n")
        self._engine.answered += 1
        self._end()
        self._raw.finish()

    def _end(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._engine.streams.discard(self)
        if self._loop.running:
            self._loop.stop()


class Engine:
    """The engine: its settings, faults and open streams."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.faults = Faults()
        self.streams: set[Stream] = set()
        self.answered = 0
        self.tokens = 0
        self.peak = 0
        self.started_s = time.time()

    @property
    def current_capacity(self) -> int:
        """Return how many requests the engine can serve now."""
        if not self.settings.cold:
            return self.settings.capacity * 4
        current_capacity = self.settings.cold_capacity
        left = self.answered
        while left >= ANSWERS_PER_DOUBLING * current_capacity:
            left -= ANSWERS_PER_DOUBLING * current_capacity
            current_capacity *= 2
        return min(current_capacity, self.settings.capacity)

    def handle(self, request: web.JsonRequest) -> None:
        """Handle a request."""
        path = "/".join(request.parts)
        if path == "load":
            self._report(request)
        elif path == "faults":
            for name, value in request.body().items():
                setattr(self.faults, name, value)
            request.respond(200, dataclasses.asdict(self.faults))
        elif path in ("v1/chat/completions", "v1/completions"):
            self._complete(request)
        else:
            request.respond(404, {})

    def _report(self, request: web.JsonRequest) -> None:
        request.respond(
            200,
            {
                "running": len(self.streams),
                "waiting": 0,
                "answered_total": self.answered,
                "started_s": self.started_s,
                "tokens_total": self.tokens,
                "peak": self.peak,
            },
        )

    def _complete(self, request: web.JsonRequest) -> None:
        body = request.body()
        crash_on = self.faults.crash_on
        if crash_on and crash_on in prompt_text(body):
            os._exit(1)
        if self.faults.fail_all:
            request.respond(500, {"error": "bad version"})
            return
        stream = Stream(self, request, body)
        self.streams.add(stream)
        self.peak = max(self.peak, len(self.streams))
        if len(self.streams) > self.current_capacity:
            print(
                "crashed: more requests than its current capacity", flush=True
            )
            os._exit(1)
        stream.start()
