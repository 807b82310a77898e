"""A stand-in for a plain service that counts its executions.

``GET /executions`` returns how often each idempotency key ran.  A call
whose query has ``bytes`` is answered with as many.
"""

import collections
import dataclasses
import os
import time

from twisted.internet import reactor

from fireflystandins import web


@dataclasses.dataclass
class Faults:
    """The active faults."""

    fail_all: bool = False
    extra_s: float = 0.0
    cut_after_run: int = 0
    die_after_run: bool = False


class Service:
    """Responds to each call with its execution count."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.executions: collections.Counter[str] = collections.Counter()
        self.running = 0
        self.answered = 0
        self.started_s = time.time()

    def handle(self, request: web.JsonRequest) -> None:
        """Handle a request."""
        path = "/".join(request.parts)
        if path == "load":
            request.respond(
                200,
                {
                    "running": self.running,
                    "waiting": 0,
                    "answered_total": self.answered,
                    "started_s": self.started_s,
                },
            )
        elif path == "faults":
            for name, value in request.body().items():
                setattr(self.faults, name, value)
            request.respond(200, dataclasses.asdict(self.faults))
        elif path == "executions":
            request.respond(200, dict(self.executions))
        else:
            self._run(request)

    def _run(self, request: web.JsonRequest) -> None:
        key = request.header("Idempotency-Key") or "none"
        self.executions[key] += 1
        self.running += 1
        if self.faults.die_after_run:
            os._exit(1)
        if self.faults.cut_after_run:
            self.faults.cut_after_run -= 1
            self.running -= 1
            request.abort()
            return
        delay_s = self.faults.extra_s
        reactor.callLater(delay_s, self._respond, request, key)

    def _respond(self, request: web.JsonRequest, key: str) -> None:
        self.running -= 1
        self.answered += 1
        if self.faults.fail_all:
            request.respond(500, {"error": "bad version"})
            return
        size_bytes = int(request.argument("bytes", "0"))
        if size_bytes:
            request.respond_bytes(200, b"x" * size_bytes, "")
            return
        path = "/" + "/".join(request.parts)
        request.respond(
            200,
            {"path": path, "key": key, "run": self.executions[key]},
        )
