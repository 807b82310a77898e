"""Stand-ins of the platform and of replicas, and nodes as processes.

Everything but the nodes runs on one event loop of this process and uses the
standard library only.  All addresses are on loopback.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import typing
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
STORE_ANSWER_S = 0.004
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""The exit codes of a script."""
Json = typing.Any


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file that lists what was sent, answered and run."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write a line with the time since the start."""
        passed_s = time.monotonic() - self._began_s
        self._file.write(f"{passed_s:8.3f} {text}\n")
        self._file.flush()


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def free_range() -> list[int]:
    """Return the first and last of sixteen ports of which two are free."""
    while True:
        first = free_port()
        with socket.socket() as probe:
            try:
                probe.bind((HOST, first + 1))
            except OSError:
                continue
            return [first, first + 15]


class Message(typing.NamedTuple):
    """A request or an answer; names of header fields are lower-case."""

    start: str
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Return the first line and the header fields of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.rstrip("\r\n").split("\r\n")
    fields = [line.partition(":") for line in lines]
    return start, {name.lower(): value.strip() for name, _, value in fields}


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return the next request, None at the end of the connection."""
    try:
        start, headers = await read_head(reader)
        length = int(headers.get("content-length", "0"))
        return Message(start, headers, await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def head(status: int, fields: dict[str, str]) -> bytes:
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    handle = writer.get_extra_info("socket")
    if handle is not None:
        linger = (1).to_bytes(4, sys.byteorder) + bytes(4)
        with contextlib.suppress(OSError):
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


# The platform


class Row(typing.NamedTuple):
    """A row; its ``value`` is None if it was removed."""

    table: str
    key: str
    version: int
    value: bytes | None


class Store:
    """The platform's metadata store and cloud calls.

    Each node has its own port, so that the store can hand out each node's
    own path to a replica, and turn away single nodes.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._history: list[tuple[float, Row]] = []
        self.version = 0
        self.era = 1
        self.is_down = False
        self.turned_away: set[str] = set()
        self.paths: dict[tuple[str, str], str] = {}
        self.usage: list[Json] = []
        self.orders: list[Json] = []
        self.on_order: typing.Callable[[Json], None] = lambda _: None
        self._changed = asyncio.Event()

    async def listen(self, node: str) -> str:
        """Serve a node; return the address for it."""
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(node, reader, writer), HOST, 0
        )
        return f"{HOST}:{server.sockets[0].getsockname()[1]}"

    @property
    def _rows(self) -> dict[tuple[str, str], Row]:
        return {(row.table, row.key): row for _, row in self._history}

    def put(self, table: str, key: str, value: Json) -> None:
        """Write a row as the operator or a replica; None removes it."""
        packed = None if value is None else json.dumps(value).encode()
        self._write([(table, key, packed)])

    def _write(self, writes: list[tuple[str, str, bytes | None]]) -> None:
        self.version += 1
        now_s = time.monotonic()
        for table, key, value in writes:
            self._history.append((now_s, Row(table, key, self.version, value)))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def restore(self, age_s: float) -> None:
        """Return to the copy of some time ago, and begin an era."""
        until_s = time.monotonic() - age_s
        lost = [entry for entry in self._history if entry[0] > until_s]
        self._history = [e for e in self._history if e[0] <= until_s]
        self.version = max(row.version for _, row in self._history)
        self.era += 1
        # What operators and replicas wrote is written again.
        for _, row in lost:
            if row.table in ("op", "servers"):
                self._write([(row.table, row.key, row.value)])

    async def _serve(
        self,
        node: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while request := await read_request(reader):
            if self.is_down or node in self.turned_away:
                break
            await asyncio.sleep(STORE_ANSWER_S)
            status, body = await self._handle(node, request)
            if self.is_down or node in self.turned_away:
                break
            content = json.dumps(body).encode()
            fields = {
                "Content-Type": "application/json",
                "Content-Length": str(len(content)),
                "Store-Era": str(self.era),
            }
            try:
                writer.write(head(status, fields) + content)
                await writer.drain()
            except ConnectionError:
                break
        reset(writer)

    async def _handle(self, node: str, request: Message) -> tuple[int, Json]:
        method, target, _ = request.start.split(" ")
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-get":
            return self._get(node, fields["table"])
        if path == "/rows-feed":
            return await self._feed(node, fields)
        if path == "/rows-tx":
            return self._transact(node, json.loads(request.body))
        if path in ("/usage", "/scaling"):
            return self._duty(node, path, request)
        return 404, {}

    def _pack(self, node: str, row: Row) -> Json:
        fields = {
            "table": row.table,
            "part": "",
            "key": row.key,
            "row-version": row.version,
        }
        if row.value is None:
            return fields | {"deleted": True}
        value = row.value
        if row.table == "servers":
            entry = json.loads(value)
            own = self.paths.get((node, row.key))
            if own is not None:
                entry["address"] = own
            value = json.dumps(entry).encode()
        return fields | {"value": base64.b64encode(value).decode()}

    def _answer(self, **fields: Json) -> tuple[int, Json]:
        now_ms = int(time.monotonic() * 1000)
        versions = {"row-version": self.version, "current-ms": now_ms}
        return 200, fields | versions

    def _get(self, node: str, table: str) -> tuple[int, Json]:
        rows = [
            self._pack(node, row)
            for row in sorted(self._rows.values(), key=lambda row: row.key)
            if row.table == table and row.value is not None
        ]
        return self._answer(rows=rows, **{"has-more": False})

    async def _feed(self, node: str, fields: dict) -> tuple[int, Json]:
        after, era = int(fields["after"]), self.era
        if after > self.version:
            return 410, {}
        until_s = time.monotonic() + int(fields["wait-ms"]) / 1000
        while True:
            rows = [
                self._pack(node, row)
                for row in sorted(self._rows.values(), key=lambda r: r.version)
                if row.table == fields["table"] and row.version > after
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0 or self.era != era:
                return self._answer(rows=rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, node: str, body: Json) -> tuple[int, Json]:
        current = self._rows
        expected = body.get("expected-revision", [])
        found = [current.get((one["table"], one["key"])) for one in expected]
        for one, row in zip(expected, found, strict=True):
            version = row.version if row and row.value is not None else 0
            if version != one["row-version"]:
                rows = [
                    self._pack(node, row)
                    for row in found
                    if row and row.value is not None
                ]
                return 412, self._answer(rows=rows)[1]
        self._write(
            [
                (one["table"], one["key"], base64.b64decode(one["value"]))
                for one in body.get("write", [])
            ]
            + [(one["table"], one["key"], None) for one in body["remove"]]
        )
        return self._answer()

    def _duty(
        self, node: str, path: str, request: Message
    ) -> tuple[int, Json]:
        call = {
            "from": node,
            "holder": request.headers["duty-holder"],
            "token": int(request.headers["fencing-token"]),
        } | json.loads(request.body)
        self._record.note(f"platform: {path} {json.dumps(call)}")
        if path == "/usage":
            self.usage.append(call)
        else:
            self.orders.append(call)
            self.on_order(call)
        return 200, {}


# Replicas


class Path:
    """One node's way to a replica: a proxy that can be cut."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = free_port()

    @property
    def address(self) -> str:
        """Return where the node connects to."""
        return f"{HOST}:{self.port}"

    async def open(self) -> None:
        """Let connections pass."""
        self._server = await asyncio.start_server(
            self._forward, HOST, self.port
        )

    def cut(self) -> None:
        """Refuse new connections, and reset those that are open."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            reset(writer)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target.split(":")
        try:
            there = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, there[1])
        self._writers.update(pair)
        await asyncio.gather(
            self._copy(reader, there[1]), self._copy(there[0], writer)
        )
        self._writers.difference_update(pair)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy bytes; a close stays a close, and a reset a reset."""
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError):
            reset(writer)


# Nodes


class Node:
    """A node of the deploy file as a process of its own."""

    def __init__(self, name: str, zone: str, folder: pathlib.Path) -> None:
        self.name = name
        self.zone = zone
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.callers_port = free_port()
        self._ports = free_port(), free_range()

    def write_settings(self, store: str, cloud: str, bounds: Json) -> None:
        """Write the settings file, as the platform does."""
        readiness, node_range = self._ports
        settings = {
            "node-name": self.name,
            "role": "node",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": HOST,
            "zone": self.zone,
            "region": "here",
            "zones": {"here-a": "here", "here-b": "here"},
            "listen": {
                "frontend": f"{HOST}:{self.callers_port}",
                "readiness": f"{HOST}:{readiness}",
            },
            "port-range": node_range,
            "bootstrap": True,
            "limits": {"cpu-quota": 0.537, "speed-factor": 2},
            "data-dir": None,
            "discovery": "platform",
            "heartbeat-ms": 1200,
            "bounds": bounds,
            "platform": {"address": store, "form": "table"},
            "cloud-api": {
                "address": cloud,
                "rate-per-s": 50.0,
                "duties": ["metering", "autoscale"],
                "duty-per-s": 50.0,
            },
        }
        self._settings.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["FIREFLYPULLEY_BOOT"] = str(self._settings)
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "platform/node.py",
                cwd=ROOT,
                env=variables,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process has ended; return its code."""
        assert self._process is not None
        return await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node says that it is ready."""
        try:
            reader, writer = await asyncio.open_connection(
                HOST, self._ports[0]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            start, _ = await asyncio.wait_for(read_head(reader), 1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()
        return " 200 " in start

    def lines(self, kind: str) -> list[Json]:
        """Return the log lines of a kind."""
        found = []
        for line in self.log.read_text().splitlines():
            if line.startswith("{") and f'"message_type":"{kind}"' in line:
                found.append(json.loads(line))
        return found


class Answer(typing.NamedTuple):
    """What a client got; ``is_whole`` if the answer looks complete."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


async def ask(
    port: int,
    path: str,
    fields: dict[str, str],
    body: bytes,
    timeout_s: float,
    method: str = "POST",
    on_head: typing.Callable[[int, dict[str, str]], None] | None = None,
) -> Answer:
    """Send a request on a new connection; return what came back."""
    status, headers, content = 0, {}, bytearray()
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
    except OSError:
        return Answer(0, {}, b"", False)
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    try:
        writer.write("\r\n".join(lines).encode() + body)
        async with asyncio.timeout(timeout_s):
            start, headers = await read_head(reader)
            status = int(start.split(" ")[1])
            if on_head is not None:
                on_head(status, headers)
            await _read_body(reader, headers, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answer(status, headers, bytes(content), False)
    finally:
        writer.close()
    return Answer(status, headers, bytes(content), True)


async def _read_body(
    reader: asyncio.StreamReader, headers: dict, content: bytearray
) -> None:
    if "content-length" in headers:
        content += await reader.readexactly(int(headers["content-length"]))
        return
    while size := int(await reader.readuntil(b"\r\n"), 16):
        content += (await reader.readexactly(size + 2))[:-2]
    await reader.readuntil(b"\r\n")


async def wait_until(
    condition: typing.Callable[[], typing.Awaitable[bool]], timeout_s: float
) -> bool:
    """Wait for a condition; return whether it came true in time."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


class System:
    """The store, the replicas' paths and the nodes of a script."""

    def __init__(self, case: pathlib.Path, folder: pathlib.Path) -> None:
        self.record = Record(case)
        self.store = Store(self.record)
        self.folder = folder
        self.nodes: list[Node] = []
        self.paths: dict[tuple[str, str], Path] = {}

    async def add_node(self, name: str, zone: str, bounds: Json) -> Node:
        """Prepare a node with its own way to the store."""
        node = Node(name, zone, self.folder)
        address = await self.store.listen(name)
        cloud = await self.store.listen(f"{name}/cloud")
        node.write_settings(address, cloud, bounds)
        self.nodes.append(node)
        return node

    async def add_path(self, node: Node, replica: str, target: str) -> Path:
        """Give a node its own way to a replica."""
        path = Path(target)
        await path.open()
        self.paths[node.name, replica] = path
        self.store.paths[node.name, replica] = path.address
        return path

    async def start_nodes(self, replicas: int) -> bool:
        """Start all nodes; return whether they know all replicas."""
        for node in self.nodes:
            await node.start()

        async def is_up() -> bool:
            for node in self.nodes:
                in_use = {
                    line["endpoint"]
                    for line in node.lines("endpoint")
                    if line["state"] == "in-use"
                }
                if len(in_use) < replicas or not await node.is_ready():
                    return False
                if len(node.lines("peer")) < len(self.nodes) - 1:
                    return False
            return True

        return await wait_until(is_up, 30.0)

    async def stop(self) -> None:
        """End all nodes, each by its id."""
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.signal(signal.SIGKILL)
        for node in self.nodes:
            with contextlib.suppress(AssertionError):
                await node.wait()


Script = typing.Callable[[System], typing.Awaitable[int]]


def run(
    script: Script, case: pathlib.Path, limit_s: float = 100.0
) -> typing.NoReturn:
    """Run a script, and exit with its code."""

    async def main(folder: str) -> int:
        system = System(case, pathlib.Path(folder))
        try:
            async with asyncio.timeout(limit_s):
                code = await script(system)
        except TimeoutError:
            system.record.note("the script took too long")
            code = NOT_RUN
        except Exception as problem:
            system.record.note(f"the script failed: {problem!r}")
            code = NOT_RUN
        finally:
            await system.stop()
        system.record.note(f"exit code {code}")
        return code

    with tempfile.TemporaryDirectory() as folder:
        code = asyncio.run(main(folder))
    # Connections that are still open need not be closed one by one.
    os._exit(code)
