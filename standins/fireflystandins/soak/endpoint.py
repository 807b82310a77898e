"""An endpoint that streams slowly, falls silent and leaves.

The body of a request is a JSON object: ``events``, ``event_bytes``,
``event_ms`` and ``framed``; an answer that is not framed comes in parts and
ends with its connection.  Each run is written to standard output, a JSON
object a line: ``run`` when it begins, ``end`` with what was written.
``POST /silence`` sends nothing for ``for_s``; ``POST /leave`` removes the
entry, serves on for ``serve_s`` and exits, in order or by resets; ``POST
/drop`` closes all connections in order at once, as the system does for a
process that is killed, and refuses new ones for ``for_s``.
"""

import collections.abc
import json
import math
import os
import time

from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import threads

from fireflystandins import replica
from fireflystandins.soak import answers
from fireflystandins import web

SILENCE_CHECK_S = 0.05
PARTS = 6
PART_INTERVAL_S = 0.03


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
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        self.note(left=self.identity.replica_id)
        threads.deferToThread(
            self._put, {"remove": [self._row_key()]}
        ).addErrback(lambda _: None)
        reactor.callLater(serve_s, self._exit, how)

    def drop(self, for_s: float) -> None:
        """Close all connections in order, and listen again later."""
        if self._port is None or self._has_left:
            return
        self._port.stopListening()
        self._port = None
        self._heartbeat_loop.stop()
        for connection in list(self._connections):
            connection.end_run("dropped")
            connection.transport.loseConnection()
        reactor.callLater(for_s, self._listen_again)

    def _listen_again(self) -> None:
        if not self._has_left:
            self.start()

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
        elif target == "/drop":
            for_s = json.loads(self._body)["for_s"]
            self._write(200, {}, b"{}")
            self._replica.drop(for_s)
        else:
            super()._serve()

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:
        super().connectionLost(reason)
        self.end_run("lost")

    def end_run(self, how: str) -> None:
        """Write how the run ended, if one is under way; nothing follows."""
        if self._next is not None and self._next.active():
            self._next.cancel()
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
        if not fault and not self._is_framed():
            self._is_chunked = False
            self._write_head(identity_fields)
            body = answers.expected_body(fields["attempt-id"])
            self._send_part(body, math.ceil(len(body) / PARTS))
            return
        super()._respond(fault, identity_fields, fields)
        self.end_run("failed" if fault else "whole")

    def _is_framed(self) -> bool:
        is_framed: bool = json.loads(self._body)["framed"]
        return is_framed

    def _send_part(self, body: bytes, size: int) -> None:
        if not body:
            self.end_run("whole")
            self._end_stream()
            return
        self._write_chunk(body[:size])
        self._next = reactor.callLater(
            PART_INTERVAL_S, self._send_part, body[size:], size
        )

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
            self.end_run("whole")
            self._end_stream()
            return
        filler = order["id"].encode() + b" " + b"x" * order["event_bytes"]
        self._write_chunk(b"id: %d\ndata: %s\n\n" % (event_id, filler))
        if self._run is not None:
            self._run = (self._run[0], event_id)
        self._next = reactor.callLater(
            order["event_ms"] / 1000, self._send_event, event_id + 1, order
        )
