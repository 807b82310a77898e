"""A stand-in for the users' replicas that can violate the protocol.

It writes raw bytes so that responses can be truncated, duplicated, sent
with another attempt's id or left without a length.  ``POST /faults`` sets
``mode`` and ``times``; ``POST /limit`` sets the ``value`` that answers
name as their limit, null for none; ``POST /fields`` sets further fields
that all answers bear; ``POST /silence`` lets all answers stand still for
``for_s`` and then go on; ``POST /deadly`` sets the prompt
``part`` on which the replica crashes when it begins to answer.  ``GET
/runs`` lists the requests that were run, and ``GET /arrivals`` the times at
which requests arrived, on the monotonic clock that all processes of a
machine share.
"""

import dataclasses
import json
import time
import urllib.request

import h11
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import task
from twisted.internet import threads

from fireflystandins import early_answers
from fireflystandins import rowstore
from fireflystandins import status_lines
from fireflystandins import web

EVENT_S = 0.02
PROCESSING_TIME_S = 0.01
HEARTBEAT_S = 1.0
DOWN_S = 0.8
"""How long a crashed replica does not listen."""
CUT_COPY_BYTES = len("HTTP/")
"""Of a second answer that is cut off inside its head."""
STREAM_PREFIXES = ("/stream/", "/resumed/")
RESUME_OFFSETS = {"goes-on-behind": -2, "goes-on-ahead": 2}
"""By how many events a run goes on too early or too late, by fault."""
GOES_ON_ANEW = "goes-on-anew"
"""The fault of a run that goes on with the first event of all."""
LAST_CHUNK = b"0\r\n\r\n"
_Fields = dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """The identity of the replica and the store it registers at."""

    replica_id: str
    service: str
    zone: str
    version: str
    address: str
    store: str
    slots: int = 8
    advertised: str = ""
    """The address in its entry, if another."""


@dataclasses.dataclass(slots=True)
class Faults:
    """The fault ``mode`` of the next ``times`` responses."""

    mode: str = ""
    times: int = 0

    def next_mode(self) -> str:
        """Return the fault mode of the next response."""
        if self.times <= 0:
            return ""
        self.times -= 1
        return self.mode


class Replica:
    """State shared by all connections of a replica."""

    def __init__(self, identity: Identity) -> None:
        self.identity = identity
        self.faults = Faults()
        self.runs: list[web.Json] = []
        self.arrivals_s: list[float] = []
        self.limit: str | None = None
        self.extra_fields: _Fields = {}
        self.silent_until_s = 0.0
        self.deadly_part = ""
        self.crashes_s: list[float] = []
        self.state = "ready"
        self._connections: set[ReplicaProtocol] = set()
        self._port: interfaces.IListeningPort | None = None
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_loop = task.LoopingCall(self._send_heartbeat)

    def start(self) -> None:
        """Listen, register and then send heartbeats."""
        host, port = self.identity.address.rsplit(":", 1)
        self._port = reactor.listenTCP(
            int(port), _Factory(self), interface=host
        )
        self._started_ms = int(time.time() * 1000)
        self._sequence = 0
        self._heartbeat_loop.start(HEARTBEAT_S)

    def opened(self, connection: "ReplicaProtocol") -> None:
        """Record a new connection."""
        self._connections.add(connection)

    def closed(self, connection: "ReplicaProtocol") -> None:
        """Forget a connection."""
        self._connections.discard(connection)

    def build_protocol(self) -> "ReplicaProtocol":
        """Return the protocol of a new connection."""
        return ReplicaProtocol(self)

    def crash(self) -> None:
        """Cut all connections and start anew after a while."""
        if self._port is None:
            return
        self.crashes_s.append(time.monotonic())
        self._port.stopListening()
        self._port = None
        self._heartbeat_loop.stop()
        for connection in list(self._connections):
            connection.transport.abortConnection()
        reactor.callLater(DOWN_S, self.start)

    def _send_heartbeat(self) -> None:
        self._sequence += 1
        threads.deferToThread(self._register).addErrback(lambda _: None)

    def _register(self) -> None:
        identity = self.identity
        entry = {
            "service": identity.service,
            "address": identity.advertised or identity.address,
            "zone": identity.zone,
            "version": identity.version,
            "slots": identity.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self._sequence,
            "born": self._started_ms,
        }
        value = rowstore.encode_value(json.dumps(entry).encode())
        self._put({"write": [self._row_key() | {"value": value}]})

    def _row_key(self) -> web.Json:
        key = self.identity.replica_id
        return {"table": "servers", "part": "", "key": key}

    def _put(self, body: web.Json) -> None:
        call = urllib.request.Request(
            f"http://{self.identity.store}/put",
            json.dumps(body).encode(),
            {"Content-Type": "application/json"},
        )
        urllib.request.urlopen(call, timeout=1.0).close()


class ReplicaProtocol(protocol.Protocol):
    """A connection to the replica."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica
        self._wire = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = b""
        self._stream: task.LoopingCall | None = None
        self._is_chunked = True
        self._last_answer = b""
        self._has_answered = False

    def connectionMade(self) -> None:
        self._replica.opened(self)

    def dataReceived(self, data: bytes) -> None:
        try:
            self._wire.receive_data(data)
            self._read()
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def _read(self) -> None:
        while True:
            event = self._wire.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED):
                return
            if isinstance(event, h11.Request):
                self._request, self._body = event, b""
                self._answer_early()
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._serve()
            else:
                return

    def connectionLost(self, reason: object = protocol.connectionDone) -> None:
        self._replica.closed(self)
        if self._stream is not None and self._stream.running:
            self._stream.stop()

    def _answer_early(self) -> None:
        """Answer before the request's body, if the fault mode says so."""
        target, fields = self._head_of_request()
        mode = self._replica.faults.mode
        request_id = fields.get("attempt-id")
        if request_id is None or not mode.startswith(early_answers.PREFIX):
            return
        if not self._replica.faults.next_mode():
            return
        self._record_run(target, fields)
        self._has_answered = True
        early_answers.answer(
            self.transport,
            mode,
            self._identity_fields(fields),
            b"answer to " + request_id.encode(),
            lambda fields, length: head(200, fields, length),
        )

    def _head_of_request(self) -> tuple[str, _Fields]:
        assert self._request is not None
        fields = {
            name.decode(): value.decode()
            for name, value in self._request.headers
        }
        return self._request.target.decode(), fields

    def _identity_fields(self, fields: _Fields) -> _Fields:
        return {
            "Attempt-Id": fields.get("attempt-id", ""),
            "Response-Seal": f"seal-{self._replica.identity.replica_id}",
        } | self._own_fields()

    def _serve(self) -> None:
        if self._has_answered:
            self._has_answered = False
            self._read_next_request()
            return
        target, fields = self._head_of_request()
        if target == "/faults":
            body = json.loads(self._body)
            self._replica.faults = Faults(body["mode"], body.get("times", 1))
            self._write(200, {}, b"{}")
        elif target == "/state":
            self._replica.state = json.loads(self._body)["state"]
            self._write(200, {}, b"{}")
        elif target == "/limit":
            self._replica.limit = json.loads(self._body)["value"]
            self._write(200, {}, b"{}")
        elif target == "/fields":
            self._replica.extra_fields = json.loads(self._body)
            self._write(200, {}, b"{}")
        elif target == "/silence":
            for_s = float(json.loads(self._body)["for_s"])
            self._replica.silent_until_s = time.monotonic() + for_s
            self._write(200, {}, b"{}")
        elif target == "/deadly":
            self._replica.deadly_part = json.loads(self._body)["part"]
            self._write(200, {}, b"{}")
        elif target == "/crashes":
            crashes = json.dumps(self._replica.crashes_s).encode()
            self._write(200, {}, crashes)
        elif target == "/arrivals":
            arrivals = json.dumps(self._replica.arrivals_s).encode()
            self._write(200, {}, arrivals)
        elif target == "/runs":
            self._write(200, {}, json.dumps(self._replica.runs).encode())
        else:
            self._handle_call(target, fields)

    def _handle_call(self, target: str, fields: _Fields) -> None:
        identity = self._replica.identity
        expected = fields.get("expect-instance", identity.replica_id)
        if expected != identity.replica_id:
            self._write(421, {"Instance-Id": identity.replica_id}, b"")
            return
        self._replica.arrivals_s.append(time.monotonic())
        fault = self._replica.faults.next_mode()
        if fault == "shed":
            refusal = {
                "Not-Executed": "1",
                "Attempt-Id": fields.get("attempt-id", ""),
            }
            self._write(503, refusal | self._own_fields(), b"")
            return
        self._record_run(target, fields)
        if fault == "reset":
            self.transport.abortConnection()
        elif self._holds_deadly_part(fields):
            reactor.callLater(PROCESSING_TIME_S, self._replica.crash)
        elif fault != "mute":
            identity_fields = self._identity_fields(fields)
            respond = self._respond
            if target.startswith(STREAM_PREFIXES):
                respond = self._start_stream
            delay_s = self._replica.silent_until_s - time.monotonic()
            reactor.callLater(
                max(PROCESSING_TIME_S, delay_s),
                respond,
                fault,
                identity_fields,
                fields,
            )

    def _holds_deadly_part(self, fields: _Fields) -> bool:
        part = self._replica.deadly_part
        prefix = fields.get("prompt-prefix", "").split(",")
        return bool(part) and any(
            entry.partition(":")[0] == part for entry in prefix
        )

    def _own_fields(self) -> _Fields:
        """Return what the replica says of itself in all answers."""
        limit = self._replica.limit
        fields = {} if limit is None else {"Server-Limit": limit}
        return fields | self._replica.extra_fields

    def _record_run(self, target: str, fields: _Fields) -> None:
        assert self._request is not None
        self._replica.runs.append(
            {
                "id": fields.get("attempt-id", ""),
                "method": self._request.method.decode(),
                "target": target,
                "body": self._body.decode("latin-1"),
                "tenant": fields.get("tenant"),
                "key": fields.get("key"),
                "deadline-ms": fields.get("deadline-ms"),
                "prefix": fields.get("prompt-prefix", ""),
                "began_s": time.monotonic(),
            }
        )

    def _respond(
        self, fault: str, identity_fields: _Fields, fields: _Fields
    ) -> None:
        body = b"answer to " + fields.get("attempt-id", "").encode()
        if fault.startswith(status_lines.PREFIXES):
            status_lines.answer(self.transport, fault, identity_fields, body)
            self._read_next_request()
        elif fault == "errors":
            self._write(500, identity_fields, b"failed")
        elif fault == "crossed":
            self._write(200, identity_fields | {"Attempt-Id": "other"}, body)
        elif fault == "cut":
            self.transport.write(
                head(200, identity_fields, len(body)) + body[:4]
            )
            self.transport.loseConnection()
        elif fault == "unframed":
            self.transport.write(head(200, identity_fields, None) + body)
            self.transport.loseConnection()
        elif fault == "unframed-parts":
            self._respond_in_parts(identity_fields, _in_pieces(body))
        elif fault == "interrupted":
            pieces = [body[:4], self._last_answer, body[4:]]
            self._respond_in_parts(identity_fields, pieces)
        elif fault == "interrupted-in-head":
            copy = self._last_answer[:CUT_COPY_BYTES]
            pieces = [body[:4], copy, body[4:]]
            self._respond_in_parts(identity_fields, pieces)
        elif fault == "ended-in-head":
            copy = self._last_answer[:CUT_COPY_BYTES]
            self._respond_in_parts(identity_fields, [body, copy])
        elif fault == "garbage":
            self.transport.write(b"\x00\x01\x02 no answer\r\n\r\n")
        elif fault == "extra":
            self._write(200, identity_fields, body, read_next=False)
            self._write(200, identity_fields, body)
        else:
            self._write(200, identity_fields, body)

    def _respond_in_parts(
        self, identity_fields: _Fields, pieces: list[bytes]
    ) -> None:
        """Send a body without a length, a piece at a time, and close."""
        self.transport.write(head(200, identity_fields, None))
        for number, piece in enumerate(pieces):
            delay_s = number * EVENT_S
            reactor.callLater(delay_s, self.transport.write, piece)
        delay_s = len(pieces) * EVENT_S
        reactor.callLater(delay_s, self.transport.loseConnection)

    def _start_stream(
        self, fault: str, identity_fields: _Fields, fields: _Fields
    ) -> None:
        """Send the number of events given in the request's body."""
        total = int(self._body or b"5")
        last_event_id = int(fields.get("last-event-id", "0"))
        self._is_chunked = not fault.startswith("unframed")
        self._write_head(identity_fields)
        cut_after = total // 2 if fault.endswith("cut") else None
        first_event_id = last_event_id + 1 + RESUME_OFFSETS.get(fault, 0)
        if fault == GOES_ON_ANEW:
            first_event_id = 1
        event_ids = iter(range(first_event_id, total + 1))

        def send_next_event() -> None:
            if time.monotonic() < self._replica.silent_until_s:
                return
            event_id = next(event_ids, None)
            if event_id is None:
                self._stop_stream()
                self._end_stream()
                return
            event = b"id: %d\ndata: token-%d\n\n" % (event_id, event_id)
            if event_id == cut_after:
                self._write_chunk(event[: len(event) // 2])
                self._stop_stream()
                if self._is_chunked:
                    self.transport.abortConnection()
                else:
                    self.transport.loseConnection()
                return
            self._write_chunk(event)

        self._stream = task.LoopingCall(send_next_event)
        self._stream.start(EVENT_S)

    def _stop_stream(self) -> None:
        if self._stream is not None:
            self._stream.stop()

    def _end_stream(self) -> None:
        if not self._is_chunked:
            self.transport.loseConnection()
            return
        self.transport.write(LAST_CHUNK)
        self._read_next_request()

    def _write_head(self, identity_fields: _Fields) -> None:
        fields = identity_fields | {"Content-Type": "text/event-stream"}
        if self._is_chunked:
            fields["Transfer-Encoding"] = "chunked"
        self._last_answer = head(200, fields, None)
        self.transport.write(self._last_answer)

    def _write_chunk(self, data: bytes) -> None:
        if self._is_chunked:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        self._last_answer += data
        self.transport.write(data)

    def _write(
        self, status: int, fields: _Fields, body: bytes, read_next: bool = True
    ) -> None:
        self._last_answer = head(status, fields, len(body)) + body
        self.transport.write(self._last_answer)
        if read_next:
            self._read_next_request()

    def _read_next_request(self) -> None:
        """Read the next request.

        The response was written as raw bytes, which h11 cannot track,
        so the h11 connection is replaced.
        """
        rest = bytes(self._wire.trailing_data[0])
        self._wire = h11.Connection(h11.SERVER)
        if rest:
            self.dataReceived(rest)


def _in_pieces(body: bytes) -> list[bytes]:
    """Return a body in six pieces or a few more."""
    size = max(1, len(body) // 6)
    return [body[start : start + size] for start in range(0, len(body), size)]


def head(status: int, fields: _Fields, length: int | None) -> bytes:
    """Return the bytes of an answer's head."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode()


class _Factory(protocol.Factory):
    noisy = False

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    def buildProtocol(self, addr: object) -> ReplicaProtocol:
        return self._replica.build_protocol()


def serve(identity: Identity, kind: type[Replica] = Replica) -> None:
    """Listen, register and run until stopped."""
    replica = kind(identity)
    reactor.callWhenRunning(replica.start)
    print(f"listening on {identity.address}", flush=True)
    reactor.run()
