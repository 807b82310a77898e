"""Callers that keep their connections until the node's process is gone."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import random
import re
import socket
import time

from fireflystandins import gateways
from fireflystandins.soak import answers
from fireflystandins.soak import plan

DEADLINE_MS = 8000
ANSWER_TIMEOUT_S = 11.0
RECONNECT_S = 0.2
SMALL_BUFFER_BYTES = 4096
LEAVES_AFTER_EVENTS = 5
RESUMED_ROUTE = "resumed"
_BROKEN_OFF = frozenset({"reset", "closed", "left"})
_EVENT_ID = re.compile(rb"id: (\d+)\ndata: [^\n]*\n\n")


@dataclasses.dataclass
class Answer:
    """What a caller saw of one request; times are monotonic seconds.

    ``how`` is whole, reset, closed (in order, too early), late (no end
    within the caller's patience), left (by the caller) or invalid.
    ``sent_s`` is 0 if the request was not written.  ``follows`` is the
    request whose answer it goes on with after the event ``last``, as the
    caller came back for the ``turn``-th time.
    """

    request_id: str
    node: str
    route: str
    style: str
    sent_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    how: str = ""
    seal: str = ""
    names: str = ""
    body: bytes = b""
    follows: str = ""
    last: int = 0
    turn: int = 0


class Caller:
    """One caller: a connection, on which it sends one request after another.

    An early caller writes its next request before the answer has ended.
    One whose stream broke off comes back for the rest, at any node.
    """

    def __init__(
        self,
        number: int,
        places: collections.abc.Sequence[tuple[str, str]],
        load: plan.Load,
        chance: random.Random,
        record: list[Answer],
    ) -> None:
        self._name = f"c{number}"
        self._places = places
        """The nodes and their addresses, its own one first."""
        self._node, self._address = places[0]
        self._broken: Answer | None = None
        self._load = load
        self._chance = chance
        self._record = record
        self._style = chance.choice(load.styles)
        self._count = 0
        self.stopping = False

    async def run(self) -> None:
        """Connect again and again until told to stop."""
        while not self.stopping:
            self._node, self._address = self._places[0]
            if self._broken is not None:
                place = self._chance.choice(self._places)
                self._node, self._address = place
            try:
                reader, writer = await self._connect()
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.close()
                with contextlib.suppress(OSError):
                    await writer.wait_closed()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        sock = socket.socket()
        sock.setblocking(False)
        limit = 1 << 16
        if self._style == "slow":
            limit = SMALL_BUFFER_BYTES
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
        host, _, port = self._address.rpartition(":")
        try:
            await asyncio.get_running_loop().sock_connect(
                sock, (host, int(port))
            )
        except OSError:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=limit)

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        waiting: list[Answer] = []
        while not self.stopping or waiting:
            if not waiting:
                waiting.append(self._send(writer))
            if self._style == "early" and not self.stopping:
                waiting.append(self._send(writer))
            answer = waiting.pop(0)
            goes_on = await self._read(answer, reader)
            if not goes_on:
                for unread in waiting:
                    self._end(unread, "crossed")
                return
            pause_s = self._chance.expovariate(1 / self._load.pause_s)
            if self._style != "early":
                await asyncio.sleep(pause_s)

    def _send(self, writer: asyncio.StreamWriter) -> Answer:
        load, chance = self._load, self._chance
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        broken, self._broken = self._broken, None
        route = RESUMED_ROUTE if broken else chance.choice(load.routes)
        answer = Answer(request_id, self._node, route, self._style)
        if broken is not None:
            answer.follows, answer.turn = broken.request_id, broken.turn + 1
            answer.last = find_last(broken)
        self._record.append(answer)
        order = {
            "events": load.events,
            "event_bytes": load.event_bytes,
            "event_ms": load.event_ms,
            "framed": chance.random() >= load.unframed_share,
        }
        body = json.dumps(order).encode()
        fields = gateways.caller_headers(
            request_id, "key-court", DEADLINE_MS
        ) | {"Content-Length": str(len(body))}
        if answer.last:
            fields["Last-Event-Id"] = str(answer.last)
        lines = [f"POST /{route}/x HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([*lines, "", ""]).encode()
        writer.write(head + body)
        answer.sent_s = time.monotonic()
        return answer

    async def _read(
        self, answer: Answer, reader: asyncio.StreamReader
    ) -> bool:
        """Read an answer; return whether the connection can go on."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                closes = await self._read_parts(answer, reader)
        except TimeoutError:
            self._end(answer, "late")
        except ConnectionError:
            self._end(answer, "reset")
        except (asyncio.IncompleteReadError, answers.EndedEarly):
            self._end(answer, "closed")
        except (ValueError, asyncio.LimitOverrunError):
            self._end(answer, "invalid")
        else:
            self._end(answer, answer.how or "whole")
            return answer.how == "whole" and not closes
        return False

    async def _read_parts(
        self, answer: Answer, reader: asyncio.StreamReader
    ) -> bool:
        head = await answers.read_head(reader)
        answer.status = head.status
        answer.seal = head.fields.get("response-seal", "")
        answer.names = head.fields.get("attempt-id", "")
        async for part in answers.read_body(reader, head):
            answer.body += part
            if self._style == "slow":
                await asyncio.sleep(self._load.slow_pause_s)
            has_enough = answer.body.count(b"\n\n") >= LEAVES_AFTER_EVENTS
            if self._style == "leaving" and has_enough:
                answer.how = "left"
                return True
        return head.fields.get("connection", "") == "close"

    def _end(self, answer: Answer, how: str) -> None:
        answer.how = how
        answer.ended_s = time.monotonic()
        is_broken = how in _BROKEN_OFF and answer.status == 200
        if is_broken and answer.route == RESUMED_ROUTE:
            if answer.turn < self._load.returns:
                self._broken = answer


def find_last(answer: Answer) -> int:
    """Return the last event that a caller has, from an answer or before."""
    found = _EVENT_ID.findall(answer.body)
    return int(found[-1]) if found else answer.last
