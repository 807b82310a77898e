"""A node that carries tunnels is stopped in the middle of their answers."""

import asyncio
import json
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness  # noqa: E402

CASE = pathlib.Path(__file__).resolve().parent
EVENTS = 55
EVENT_S = 0.12
STREAMS = 8
NOTICE_S = 0.8
"""Time until the node has noticed that it is partitioned."""
BEFORE_STOP_S = 0.8
BOUNDS = {
    "contact-ms": 3000,
    "drain-ms": 2000,
    "grace-s": 8,
    "retry-budget-ratio": 0.2,
    "retry-window-s": 10,
    "budget-slack": 58,
    "quota-overshoot": 0.1,
    "quota-tolerance": 140000,
    "report-window-s": 5,
    "usage-delay-s": 10,
}


class Replica:
    """A sound replica whose streams end with their connection."""

    def __init__(self, name: str, record: harness.Record) -> None:
        self.name = name
        self._record = record
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, harness.HOST, 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"{harness.HOST}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        request = await harness.read_request(reader)
        if request is None:
            writer.close()
            return
        request_id = request.headers.get("attempt-id", "")
        if request.headers.get("expect-instance", self.name) != self.name:
            writer.write(harness.head(421, {"Content-Length": "0"}))
            writer.close()
            return
        self._record.note(f"{self.name}: runs {request_id}")
        fields = {
            "Attempt-Id": request_id,
            "Response-Seal": f"seal.{self.name}.{request_id}",
            "Content-Type": "text/event-stream",
        }
        sent = await self._stream(reader, writer, fields)
        writer.close()
        self._record.note(f"{self.name}: {request_id} sent {sent} events")

    async def _stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fields: dict[str, str],
    ) -> int:
        """Send all events, unless the caller closes; return their number."""
        writer.write(harness.head(200, fields))
        for number in range(1, EVENTS + 1):
            if reader.at_eof() or writer.is_closing():
                return number - 1
            writer.write(b"id: %d\ndata: piece-%d\n\n" % (number, number))
            try:
                await writer.drain()
            except ConnectionError:
                return number - 1
            await asyncio.sleep(EVENT_S)
        return EVENTS


def configuration() -> harness.Json:
    """Return a configuration with one route of streams."""
    return {
        "version": 7,
        "routes": [
            {
                "name": "transcribe",
                "host": "court.example",
                "prefix": "/transcribe/",
                "type": "streaming",
                "timeout-ms": 12000,
                "target-latency-ms": 1200,
                "target-gap-ms": 500,
                "priority": 1,
                "service": "steno",
                "max-attempts": 1,
            }
        ],
        "services": [
            {"name": "steno", "max-connections": 370, "health-path": "/h"}
        ],
        "tenants": [{"name": "court", "api-keys": ["key-court"]}],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


async def stream(
    system: harness.System, node: harness.Node, request_id: str
) -> harness.Answer:
    """Send a request to a node; return what the client got."""
    fields = {
        "Host": "court.example",
        "Attempt-Id": request_id,
        "Deadline-Ms": "12000",
        "Key": "key-court",
    }
    system.record.note(f"client: sends {request_id} to {node.name}")
    answer = await harness.ask(
        node.callers_port, "/transcribe/1", fields, b"hearing", 13.0
    )
    system.record.note(
        f"client: {request_id} at {node.name}: status {answer.status},"
        f" {answer.body.count(b'data: ')} of {EVENTS} events,"
        f" {'complete' if answer.is_whole else 'broken off'}"
    )
    return answer


def is_wrong(answer: harness.Answer) -> bool:
    """Return whether a success looks complete and isn't."""
    is_success = 200 <= answer.status < 300 and answer.is_whole
    return is_success and answer.body.count(b"data: ") != EVENTS


async def script(system: harness.System) -> int:
    """Play the case; return the exit code."""
    store, record = system.store, system.record
    near = await system.add_node("edge-here-a-1", "here-a", BOUNDS)
    peer = await system.add_node("edge-here-a-2", "here-a", BOUNDS)
    await system.add_node("edge-here-b-1", "here-b", BOUNDS)
    store.put("op", "config", configuration())
    replicas = [Replica(f"i-{n}", record) for n in range(3)]
    for number, replica in enumerate(replicas):
        await replica.start()
        entry = {
            "service": "steno",
            "address": replica.address,
            "zone": ("here-a", "here-b", "here-b")[number],
            "version": "1",
            "slots": 64,
            "state": "ready",
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1790000000000 + number,
        }
        store.put("servers", replica.name, entry)
        for node in system.nodes:
            await system.add_path(node, replica.name, replica.address)
    if not await system.start_nodes(len(replicas)):
        record.note("the nodes did not start")
        return harness.NOT_RUN
    first = await stream(system, near, "before")
    if is_wrong(first) or first.status != 200:
        record.note("a request before the disruption was not served")
        return harness.NOT_RUN
    if harness.has_trouble():
        record.note(f"{near.name} is partitioned from all replicas")
        for replica in replicas:
            system.paths[near.name, replica.name].cut()
    # The node notices by the connections that these requests ask for.
    pending = [
        asyncio.ensure_future(stream(system, near, f"early-{n}"))
        for n in range(3)
    ]
    await asyncio.sleep(NOTICE_S)
    pending += [
        asyncio.ensure_future(stream(system, near, f"later-{n}"))
        for n in range(STREAMS)
    ]
    await asyncio.sleep(BEFORE_STOP_S)
    if harness.has_trouble():
        record.note(f"{peer.name} gets SIGTERM")
        peer.signal(signal.SIGTERM)
        record.note(f"{peer.name} has ended with {await peer.wait()}")
        await peer.start()
    answers = await asyncio.gather(*pending)
    if harness.has_trouble():
        for replica in replicas:
            await system.paths[near.name, replica.name].open()
        record.note("the partition has healed")
    ways = {line.get("through", "") for line in near.lines("request")}
    record.note(f"{near.name} sent requests through {json.dumps(list(ways))}")
    wrong = sum(map(is_wrong, answers))
    served = sum(answer.status == 200 for answer in answers)
    record.note(f"{served} successes, {wrong} of them wrong")
    if not served:
        return harness.NOT_RUN
    return harness.BROKEN if wrong else harness.HELD


if __name__ == "__main__":
    harness.run(script, CASE)
