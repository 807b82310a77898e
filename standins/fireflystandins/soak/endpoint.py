"""An endpoint that streams slowly, falls silent and leaves.

The body of a request is a JSON object: ``events``, ``event_bytes``,
``event_ms`` and ``framed``.  Each run is written to standard output, a JSON
object a line: ``run`` when it begins, ``end`` with what was written.
``POST /silence`` sends nothing for ``for_s``; ``POST /leave`` removes the
entry, serves on for ``serve_s`` and exits, in order or by resets.
"""

import collections.abc
import json
import os
import time

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import threads

from fireflystandins import replica
from fireflystandins import web

SILENCE_CHECK_S = 0.05


class SoakReplica(replica.Replica):
    """An endpoint of the soak."""

    def __init__(self, identity: replica.Identity) -> None:
        super().__init__(identity)
        self._has_left = False

    def build_protocol(self) -> replica.ReplicaProtocol:
        return SoakProtocol(self)

    def note(self, **fields: web.Json) -> None:
        """Write a line of evidence."""
        print(json.dumps(fields | {"at_s": time.monotonic()}), flush=True)

    def leave(self, serve_s: float, how: str) -> None:
        """Remove the entry now, and exit after ``serve_s``."""
        self._has_left = True
        self._heartbeat_loop.stop()
        self.note(left=self.identity.replica_id)
        threads.deferToThread(
            self._put, {"remove": [self._row_key()]}
        ).addErrback(lambda _: None)
        reactor.callLater(serve_s, self._exit, how)

    def _exit(self, how: str) -> None:
        if how == "reset":
            for connection in list(self._connections):
                connection.transport.abortConnection()
        self.note(exited=how)
        reactor.callLater(0, os._exit, 0)

    def _register(self) -> None:
        if not self._has_left:
            super()._register()


class SoakProtocol(replica.ReplicaProtocol):
    """A connection to an endpoint of the soak."""

    _replica: SoakReplica

    def __init__(self, owner: SoakReplica) -> None:
        super().__init__(owner)
        self._run: tuple[str, int] | None = None
        self._next: interfaces.IDelayedCall | None = None

    def _serve(self) -> None:
        assert self._request is not None
        target = self._request.target.decode()
        if target == "/leave":
            order = json.loads(self._body)
            self._replica.leave(order["serve_s"], order["how"])
            self._write(200, {}, b"{}")
        else:
            super()._serve()

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:
        super().connectionLost(reason)
        if self._next is not None and self._next.active():
            self._next.cancel()
        self._end_run("lost")

    def _end_run(self, how: str) -> None:
        run, self._run = self._run, None
        if run is not None:
            self._replica.note(end=run[0], how=how, events=run[1])

    def _record_run(self, target: str, fields: dict[str, str]) -> None:
        super()._record_run(target, fields)
        request_id = fields.get("attempt-id", "")
        self._run = (request_id, 0)
        last = int(fields.get("last-event-id", "0"))
        self._replica.note(run=request_id, target=target, last=last)

    def _respond(
        self,
        fault: str,
        identity_fields: dict[str, str],
        fields: dict[str, str],
    ) -> None:
        if self._wait_out(self._respond, fault, identity_fields, fields):
            return
        super()._respond(fault, identity_fields, fields)
        self._end_run("failed" if fault else "whole")

    def _wait_out(
        self, call: collections.abc.Callable[..., None], *parts: object
    ) -> bool:
        """Call later if the endpoint is silent; return whether it is."""
        is_silent = time.monotonic() < self._replica.silent_until_s
        if is_silent:
            self._next = reactor.callLater(SILENCE_CHECK_S, call, *parts)
        return is_silent

    def _start_stream(
        self,
        fault: str,
        identity_fields: dict[str, str],
        fields: dict[str, str],
    ) -> None:
        order = json.loads(self._body)
        order["id"] = fields.get("attempt-id", "")
        self._is_chunked = order["framed"]
        self._write_head(identity_fields)
        first = int(fields.get("last-event-id", "0")) + 1
        self._send_event(first, order)

    def _send_event(self, event_id: int, order: web.Json) -> None:
        if self._wait_out(self._send_event, event_id, order):
            return
        if event_id > order["events"]:
            self._end_run("whole")
            self._end_stream()
            return
        filler = order["id"].encode() + b" " + b"x" * order["event_bytes"]
        self._write_chunk(b"id: %d\ndata: %s\n\n" % (event_id, filler))
        if self._run is not None:
            self._run = (self._run[0], event_id)
        self._next = reactor.callLater(
            order["event_ms"] / 1000, self._send_event, event_id + 1, order
        )
