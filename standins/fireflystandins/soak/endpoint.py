"""An endpoint that streams slowly, falls silent and leaves.

The body of a request is a JSON object: ``events``, ``event_bytes``,
``event_ms`` and ``framed``; an answer that is not framed comes in parts and
ends with its connection.  Each run is written to standard output, a JSON
object a line: ``run`` when it begins, ``end`` with what was written.
``POST /silence`` sends nothing for ``for_s``; ``POST /leave`` removes the
entry, serves on for ``serve_s`` and exits, in order or by resets; ``POST
/drop`` closes all connections at once, in order as the system does for a
process that is killed or, if ``how`` says so, by resets, and refuses new ones
for ``for_s``; ``POST /flaw`` lets a share of the streams have the flaw ``how``
for ``for_s``.  An event is written in two pieces.
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
from fireflystandins.soak import streams
from fireflystandins import web

SILENCE_CHECK_S = 0.05
PARTS = 6
PART_INTERVAL_S = 0.03


class SoakReplica(replica.Replica):
    """An endpoint of the soak."""

    def __init__(self, identity: replica.Identity) -> None:
        super().__init__(identity)
        self._has_left = False
        self._run_count = 0
        self.flaws = streams.Flaws()

    def name_run(self) -> str:
        """Return the name of a new run."""
        self._run_count += 1
        return f"{self.identity.replica_id}.{self._run_count}"

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

    def drop(self, for_s: float, how: str, asker: "SoakProtocol") -> None:
        """End all connections, by resets but the asker's, and listen later."""
        if self._port is None or self._has_left:
            return
        self._port.stopListening()
        self._port = None
        self._heartbeat_loop.stop()
        for connection in list(self._connections):
            connection.end_run("dropped")
            connection.close(how == "reset" and connection is not asker)
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
        self._name = ""
        self._ended_answer = b""
        self._next: interfaces.IDelayedCall | None = None

    def _serve(self) -> None:
        assert self._request is not None
        target = self._request.target.decode()
        if target == "/leave":
            order = json.loads(self._body)
            self._replica.leave(order["serve_s"], order["how"])
            self._write(200, {}, b"{}")
        elif target == "/drop":
            order = json.loads(self._body)
            self._write(200, {}, b"{}")
            self._replica.drop(order["for_s"], order.get("how", ""), self)
        elif target == "/flaw":
            order = json.loads(self._body)
            self._replica.flaws.add(
                order["how"], order["for_s"], order["seed"]
            )
            self._write(200, {}, b"{}")
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

    def close(self, by_reset: bool) -> None:
        """End the connection in order or by a reset."""
        if by_reset:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()

    def _record_run(self, target: str, fields: dict[str, str]) -> None:
        super()._record_run(target, fields)
        request_id = fields.get("attempt-id", "")
        self._run = (request_id, 0)
        self._name = self._replica.name_run()
        last = int(fields.get("last-event-id", "0"))
        self._replica.note(
            run=request_id, target=target, last=last, name=self._name
        )

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
        last = int(fields.get("last-event-id", "0"))
        flaws = self._replica.flaws
        flaw = flaws.draw(last > 0)
        stream = streams.Stream(
            fields.get("attempt-id", ""),
            self._name,
            streams.first_event(last, flaw),
            order["events"],
            order["event_bytes"],
            order["event_ms"] / 1000,
            flaw,
        )
        if flaw is not None:
            self._prepare_flaw(stream, flaw)
        self._is_chunked = order["framed"]
        self._write_head(identity_fields)
        if last < stream.total < stream.number and self._is_chunked:
            self.end_run("empty")
        self._send_event(stream)

    def _prepare_flaw(
        self, stream: streams.Stream, flaw: streams.Flaw
    ) -> None:
        chance = self._replica.flaws.chance
        self._replica.note(flaw=flaw.value, name=stream.run)
        left = stream.total - stream.number + 1
        if flaw in streams.CUTS and left > 0:
            stream.cut_at = chance.randint(stream.number, stream.total)
        if flaw in streams.COPIES:
            late_s = chance.uniform(0, 1.5 * left * stream.gap_s)
            reactor.callLater(late_s, self._write_copy, flaw)

    def _write_copy(self, flaw: streams.Flaw) -> None:
        """Write the last answer that has ended once more."""
        copy = self._ended_answer
        if not copy or not self.transport.connected:
            return
        if flaw is streams.Flaw.CUT_COPY:
            chance = self._replica.flaws.chance
            copy = copy[: chance.randrange(1, len(copy))]
        self._replica.note(copied=len(copy))
        self.transport.write(copy)

    def _send_event(self, stream: streams.Stream) -> None:
        if self._wait_out(self._send_event, stream):
            return
        chance = self._replica.flaws.chance
        if stream.number > stream.total:
            self._finish(stream)
            return
        event = stream.next_event()
        if stream.number == stream.cut_at:
            kept = chance.randrange(0 if self._is_chunked else 1, len(event))
            if kept:
                self._write_chunk(event[:kept])
            self.end_run("cut")
            self.close(stream.flaw is streams.Flaw.RESET)
            return
        size = chance.randrange(1, len(event))
        self._write_chunk(event[:size])
        self._next = reactor.callLater(
            stream.gap_s / 2, self._send_rest, stream, event[size:]
        )

    def _send_rest(self, stream: streams.Stream, rest: bytes) -> None:
        if self._wait_out(self._send_rest, stream, rest):
            return
        self._write_chunk(rest)
        if self._run is not None:
            self._run = (self._run[0], stream.number)
        stream.number += 1
        self._next = reactor.callLater(
            stream.gap_s / 2, self._send_event, stream
        )

    def _finish(self, stream: streams.Stream) -> None:
        if stream.flaw is streams.Flaw.BEHIND_LAST:
            self.end_run("cut")
            self.close(self._replica.flaws.chance.random() < 0.5)
            return
        self.end_run("whole")
        if self._is_chunked:
            self._ended_answer = self._last_answer + replica.LAST_CHUNK
        self._end_stream()
