"""Small stand-ins for the scripts of the second review.

A store, replicas and callers in the process of the script, and nodes as
processes of their own.  They follow the users' pages; all listen on
loopback, on free ports.  Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "review.example"
KEY = "key-of-the-review"
TENANT = "tenant-a"
MEMORY_MB = 300
Headers = list[tuple[str, str]]


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        now_s = time.monotonic() - self._began_s
        self._file.write(f"{now_s:8.3f} s  {text}\n")
        self._file.flush()


_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, and was not returned before.

    It lies below those that the system gives to outgoing connections, one
    of which could take it meanwhile.
    """
    while True:
        port = random.randrange(12000, 30000)
        if port in _used_ports:
            continue
        with socket.socket() as one:
            with contextlib.suppress(OSError):
                one.bind(("127.0.0.1", port))
                _used_ports.add(port)
                return port


def free_pair() -> int:
    """Return a free port whose successor is free too."""
    while True:
        port = free_port()
        with socket.socket() as one:
            with contextlib.suppress(OSError):
                one.bind(("127.0.0.1", port + 1))
                _used_ports.add(port + 1)
                return port


# HTTP


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Return the first line and the fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader: asyncio.StreamReader, fields: dict) -> bytes:
    """Return the body of a message."""
    if "chunked" in fields.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                return body
    return await reader.readexactly(int(fields.get("content-length", 0)))


def response(status: int, body: bytes, fields: Headers) -> bytes:
    """Return a message with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """Accepts connections, and handles one request of each at a time."""

    def __init__(self) -> None:
        self.port = free_port()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, fields)
                await self.handle(method, target, fields, body, writer)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The script ends.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    async def handle(
        self,
        method: str,
        target: str,
        fields: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


# The platform's store and its duty calls


class Store(Server):
    """Rows with versions, and the calls of the duties."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.version = 0
        self.era = 1
        self.rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.usage: list[tuple[str, int, dict, str, int]] = []
        self._changed = asyncio.Event()
        self._began_s = time.monotonic()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or a replica; None removes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        self.version += 1
        self._write(table, key, text)
        self._notify()

    def _write(self, table: str, key: str, text: str | None) -> None:
        self.rows[table, key] = (self.version, text)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _json(self, table: str, key: str) -> dict:
        version, text = self.rows[table, key]
        row = {"table": table, "part": "", "key": key, "row-version": version}
        return row | ({"deleted": True} if text is None else {"value": text})

    def _table(self, table: str) -> list[tuple[str, str]]:
        return sorted(key for key in self.rows if key[0] == table)

    async def handle(self, method, target, fields, body, writer) -> None:
        path, _, query = target.partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        if path == "/rows-tx":
            code, answer = self._transact(json.loads(body))
        elif path == "/rows-get":
            code, answer = self._read(values)
        elif path == "/rows-feed":
            code, answer = await self._feed(values)
        elif path in ("/usage", "/scaling"):
            code, answer = self._duty(path, fields, json.loads(body)), {}
        else:
            code, answer = 404, {}
        now_ms = int((time.monotonic() - self._began_s) * 1000)
        answer = {
            "row-version": self.version,
            "current-ms": now_ms,
        } | answer
        named = [
            ("Content-Type", "application/json"),
            ("Store-Era", str(self.era)),
        ]
        writer.write(response(code, json.dumps(answer).encode(), named))

    def _transact(self, call: dict) -> tuple[int, dict]:
        expected = call.get("expected-revision", [])
        for one in expected:
            row = self.rows.get((one["table"], one["key"]), (0, None))
            if (row[0] if row[1] is not None else 0) != one["row-version"]:
                keys = [(row["table"], row["key"]) for row in expected]
                present = [
                    self._json(*key)
                    for key in keys
                    if self.rows.get(key, (0, None))[1] is not None
                ]
                return 412, {"rows": present}
        self.version += 1
        for one in call.get("write", []):
            self._write(one["table"], one["key"], one["value"])
        for one in call.get("remove", []):
            self._write(one["table"], one["key"], None)
        self._notify()
        return 200, {}

    def _read(self, values: dict) -> tuple[int, dict]:
        keys = [
            key
            for key in self._table(values["table"])
            if self.rows[key][1] is not None
            and key[1] >= values.get("from", "")
        ]
        limit = min(500, int(values.get("limit", 500)))
        rows = [self._json(*key) for key in keys[:limit]]
        return 200, {"rows": rows, "has-more": len(keys) > limit}

    async def _feed(self, values: dict) -> tuple[int, dict]:
        after, table = int(values["after"]), values["table"]
        until_s = time.monotonic() + int(values.get("wait-ms", 0)) / 1000
        while True:
            keys = [
                key for key in self._table(table) if self.rows[key][0] > after
            ]
            left_s = until_s - time.monotonic()
            if keys or left_s <= 0:
                keys.sort(key=lambda key: self.rows[key][0])
                return 200, {"rows": [self._json(*key) for key in keys]}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _duty(self, path: str, fields: dict, call: dict) -> int:
        if path == "/usage":
            holder = fields["duty-holder"]
            token = int(fields["fencing-token"])
            window, counts = call["window-id"], call["counts"]
            self.usage.append((holder, window, counts, "", token))
            self.record.note(
                f"usage of window {window} by {holder}, token {token}: "
                f"{json.dumps(counts, sort_keys=True)}"
            )
        return 200


# Replicas


class Replica(Server):
    """Answers after some time, with as many bytes as it is told."""

    def __init__(
        self,
        record: Record,
        store: Store,
        replica_id: str,
        service: str,
        slots: int = 64,
    ) -> None:
        super().__init__()
        self.record = record
        self.store = store
        self.replica_id = replica_id
        self.service = service
        self.slots = slots
        self.work_s = 0.05
        self.answer_bytes = 800
        self.runs: dict[str, str] = {}
        self.born = int(time.time() * 1000)
        self._sequence = 0
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        await super().start()
        self._beats = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold-remaining-ms": 0,
                "sequence": self._sequence,
                "born": self.born,
            }
            self.store.put("servers", self.replica_id, entry)
            await asyncio.sleep(1.2)

    async def handle(self, method, target, fields, body, writer) -> None:
        if target == "/healthz":
            named = [("Instance-Id", self.replica_id)]
            writer.write(response(200, b"", named))
            return
        request_id = fields.get("attempt-id", "")
        expected = fields.get("expect-instance", self.replica_id)
        named = [("Attempt-Id", request_id)]
        if expected != self.replica_id:
            writer.write(response(421, b"", named))
            return
        self.runs[request_id] = target
        self.record.note(
            f"{self.replica_id} runs {request_id} ({len(body)} bytes)"
        )
        await asyncio.sleep(self.work_s_of(fields))
        named.append(("Response-Seal", f"seal.{self.replica_id}"))
        writer.write(response(200, self.answer_of(fields), named))

    def work_s_of(self, fields: dict) -> float:
        """Return how long a request takes."""
        return self.work_s

    def answer_of(self, fields: dict) -> bytes:
        """Return the body of an answer."""
        return b"a" * self.answer_bytes


# Nodes


class Node:
    """A node as a process of its own, started as the deploy file says."""

    def __init__(
        self, record: Record, folder: pathlib.Path, name: str, store: Store
    ) -> None:
        self.record = record
        self.folder = folder
        self.name = name
        self.callers, self.readiness = free_port(), free_port()
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.popen: subprocess.Popen | None = None
        ports = free_pair()
        self.path.write_text(json.dumps(self._settings(ports, store)))

    def _settings(self, ports: int, store: Store) -> dict:
        return {
            "node-name": self.name,
            "role": "node",
            "machine-class": "edge",
            "serves": ["edge"],
            "ip": "127.0.0.1",
            "zone": "zone-a",
            "region": "region",
            "zones": {"zone-a": "region"},
            "listen": {
                "frontend": f"127.0.0.1:{self.callers}",
                "readiness": f"127.0.0.1:{self.readiness}",
            },
            "port-range": [ports, ports + 1],
            "bootstrap": True,
            "limits": {
                "cpu-quota": 0.537,
                "speed-factor": 2,
                "memory-mb": MEMORY_MB,
                "max-fds": 4100,
                "link-mbps": 1000.0,
                "disk-mb": 0,
            },
            "heartbeat-ms": 1200,
            "bounds": {
                "contact-ms": 3000,
                "drain-ms": 2000,
                "grace-s": 8,
                "loss-slack-ms": 200,
                "config-apply-ms": 2000,
                "retry-budget-ratio": 0.2,
                "retry-window-s": 10,
                "budget-slack": 52,
                "quota-window-s": 8,
                "quota-overshoot": 0.1,
                "quota-tolerance": 140000,
                "report-window-s": 5,
                "usage-delay-s": 10,
            },
            "platform": {"address": store.address, "form": "table"},
            "cloud-api": {
                "address": store.address,
                "duties": ["metering", "autoscale"],
                "duty-per-s": 50.0,
            },
        }

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "platform/node.py"],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "FIREFLYPULLEY_BOOT": str(self.path),
                },
            )
        self.record.note(f"node {self.name} is started")

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def memory_mb(self) -> float:
        """Return the resident memory of the process, 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.popen.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def kill(self) -> None:
        """Kill the process by its id."""
        if self.is_running:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        if self.popen is not None:
            self.popen.wait()

    async def is_ready(self) -> bool:
        """Return whether the readiness address answers 200."""
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", self.readiness
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
            return " 200 " in first + " "
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_ready(self) -> None:
        """Wait until the node says that it is ready."""
        for _ in range(300):
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        self.record.note(self.log.read_text()[-4000:])
        raise RuntimeError(f"{self.name} is not ready")


# Callers


class Caller:
    """One kept connection to a node."""

    def __init__(self, record: Record, node: Node, name: str) -> None:
        self.record = record
        self.node = node
        self.name = name
        self.sent = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.node.callers, limit=1 << 20
        )

    def next_id(self) -> str:
        """Return the id of the next request."""
        self.sent += 1
        return f"{self.name}-{self.sent}"

    def send(
        self,
        request_id: str,
        target: str,
        method: str = "POST",
        body: bytes = b"",
        deadline_ms: int = 10000,
        more: str = "",
    ) -> None:
        """Write a request."""
        self.writer.write(
            f"{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Attempt-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"Key: {KEY}\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    async def answer(self) -> tuple[int, dict, bytes]:
        """Return the status, the fields and the body of an answer."""
        first, fields = await read_head(self.reader)
        body = await read_body(self.reader, fields)
        return int(first.split()[1]), fields, body

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 12000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "anonymous": False,
    } | more


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with the limits of the small deployments."""
    return {
        "version": 1,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": TENANT, "api-keys": [KEY]}],
    }
