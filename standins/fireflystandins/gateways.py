"""Starts gateway nodes on loopback with stand-ins for the platform.

Each process is stopped by its id.
"""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import typing

from fireflystandins import local
from fireflystandins import rowstore

NODE_PROGRAM = pathlib.Path(__file__).parents[2] / "platform" / "node.py"
HOST = "court.example"
KEYS = {"key-court": "court", "key-clinic": "clinic"}
STOP_TIMEOUT_S = 12.0
Json = typing.Any


def route(name: str, kind: str, service: str, **fields: Json) -> Json:
    """Return a route in the platform's JSON form."""
    defaults = {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "timeout-ms": 4000,
        "target-latency-ms": 500,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
    }
    return defaults | {
        key.replace("_", "-"): value for key, value in fields.items()
    }


def configuration(version: int = 1, **changes: Json) -> Json:
    """Return a configuration of four routes to two services."""
    return {
        "version": version,
        "routes": [
            route("stream", "streaming", "speech"),
            route(
                "resumed",
                "streaming",
                "speech",
                stream_resume=True,
                max_attempts=2,
            ),
            route("file", "non_idempotent", "registry"),
            route("fetch", "idempotent", "registry", max_attempts=2),
        ],
        "services": [
            {"name": "speech", "max-connections": 64},
            {"name": "registry", "max-connections": 64},
        ],
        "limits": {},
        "tenants": [
            {"name": name, "api-keys": [key]} for key, name in KEYS.items()
        ],
    } | changes


def caller_headers(
    request_id: str, key: str, timeout_ms: int
) -> dict[str, str]:
    """Return the headers of a caller's request."""
    return {
        "Host": HOST,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(timeout_ms),
        "Key": key,
    }


@dataclasses.dataclass
class Node(local.Process):
    """A gateway node with its addresses."""

    callers: str = ""
    readiness: str = ""
    metrics: str = ""


class GatewaySystem:
    """A store, replicas and gateway nodes with files in one folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes: list[local.Process] = []
        self.replicas: dict[str, local.Process] = {}
        self.nodes: list[Node] = []
        self.store = ""

    def _spawn(
        self,
        name: str,
        command: list[str],
        variables: dict[str, str] | None = None,
    ) -> local.Process:
        log = self.folder / f"{name}.log"
        with log.open("ab") as file:
            popen = subprocess.Popen(
                command,
                stdout=file,
                stderr=file,
                cwd=self.folder,
                env=os.environ | (variables or {}),
            )
        process = local.Process(name, "", popen, log)
        self.processes.append(process)
        return process

    def _standin(self, kind: str, name: str, *options: str) -> local.Process:
        address = f"127.0.0.1:{local.free_port()}"
        command = [sys.executable, "-m", "fireflystandins", kind, address]
        process = self._spawn(name, [*command, *options])
        process.address = address
        return process

    def start_store(self, config: Json | None = None) -> None:
        """Start the store and write a configuration to it."""
        self.store = self._standin("rows", "store").address
        local.wait_for("store", lambda: self.duty_calls() is not None)
        self.put("op", "config", config or configuration())

    def duty_calls(self) -> Json:
        """Return the calls that the duty holders have made."""
        _, body, _ = local.http("GET", f"http://{self.store}/seen")
        return json.loads(body)

    def put(self, table: str, key: str, value: Json) -> None:
        """Write a row as the operator; a value of None removes it."""
        row_key = {"table": table, "part": "", "key": key}
        if value is None:
            body: Json = {"remove": [row_key]}
        else:
            encoded = rowstore.encode_value(json.dumps(value).encode())
            body = {"write": [row_key | {"value": encoded}]}
        local.http("POST", f"http://{self.store}/put", body)

    def set_faults(self, address: str, **faults: Json) -> None:
        """Set or clear faults of a stand-in."""
        local.http("POST", f"http://{address}/faults", faults)

    def start_replica(
        self,
        replica_id: str,
        service: str,
        zone: str = "a",
        version: str = "v1",
        kind: str = "replica",
        slots: int = 8,
    ) -> local.Process:
        """Start a replica that registers itself."""
        process = self._standin(
            kind,
            replica_id,
            *("--replica-id", replica_id, "--service", service),
            *("--zone", zone, "--version", version, "--store", self.store),
            *("--slots", str(slots)),
        )
        self.replicas[replica_id] = process
        address = process.address
        local.wait_for(replica_id, lambda: self.runs(address) is not None)
        return process

    def start_forwarder(self, target: str) -> local.Process:
        """Start a plain TCP forwarder to an address."""
        process = self._standin("forwarder", "forwarder", "--target", target)
        local.wait_for(
            "forwarder", lambda: self.runs(process.address) is not None
        )
        return process

    def runs(self, address: str) -> list[Json]:
        """Return the requests that a replica has run."""
        _, body, _ = local.http("GET", f"http://{address}/runs")
        runs: list[Json] = json.loads(body)
        return runs

    def all_runs(self) -> list[Json]:
        """Return the requests that the running replicas have run."""
        return [
            run
            for process in self.replicas.values()
            if process.alive
            for run in self.runs(process.address)
        ]

    def start_node(
        self,
        name: str,
        zone: str = "a",
        store: str = "",
        limits: dict[str, int] | None = None,
        **bounds: Json,
    ) -> Node:
        """Start a node with its own settings file.

        ``store`` is the address at which it reaches the store, if another;
        ``limits`` are those of its machine, if any are told.
        """
        store = store or self.store
        ports = [local.free_port() for _ in range(2)]
        nodes_port = _free_pair()
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "node-name": name,
                    "ip": "127.0.0.1",
                    "zone": zone,
                    "listen": {
                        "frontend": f"127.0.0.1:{ports[0]}",
                        "readiness": f"127.0.0.1:{ports[1]}",
                    },
                    "port-range": [nodes_port, nodes_port + 1],
                    "bounds": {
                        "grace-s": 8,
                        "report-window-s": 2,
                        "usage-delay-s": 6,
                    }
                    | bounds,
                    "limits": limits or {},
                    "platform": {"address": store},
                    "cloud-api": {
                        "address": store,
                        "duties": ["metering", "autoscale"],
                    },
                }
            )
        )
        process = self._spawn_node(name)
        node = Node(
            name,
            "",
            process.popen,
            process.log,
            f"127.0.0.1:{ports[0]}",
            f"127.0.0.1:{ports[1]}",
            f"127.0.0.1:{nodes_port + 1}",
        )
        self.processes[-1] = node
        self.nodes.append(node)
        return node

    def _spawn_node(self, name: str) -> local.Process:
        path = self.folder / f"{name}.json"
        return self._spawn(
            name,
            [sys.executable, str(NODE_PROGRAM)],
            {"FIREFLYPULLEY_BOOT": str(path)},
        )

    def restart_node(self, node: Node) -> None:
        """Start an ended node again at the same addresses."""
        process = self._spawn_node(node.name)
        self.processes.pop()
        node.popen = process.popen

    def is_ready(self, node: Node) -> bool:
        """Return whether a node reports that it is ready."""
        url = f"http://{node.readiness}/readyz"
        return local.http("GET", url, timeout_s=1.0)[0] == 200

    def wait_ready(self, *nodes: Node) -> None:
        """Wait until nodes are ready and know all replicas."""
        for node in nodes or self.nodes:
            local.wait_for(node.name, lambda node=node: self.is_ready(node))
            for replica_id in self.replicas:
                line = f'"endpoint":"{replica_id}","state":"in-use"'
                local.wait_for(
                    f"{replica_id} at {node.name}",
                    lambda node=node, line=line: line in node.log.read_text(),
                )

    def stop(self) -> None:
        """Kill all processes, by their ids."""
        for process in self.processes:
            if process.alive:
                process.signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes:
            process.popen.wait()


def _free_pair() -> int:
    """Return a free port whose successor is free too."""
    port = local.free_port()
    while True:
        following = local.free_port()
        if following == port + 1:
            return port
        port = following


@contextlib.contextmanager
def running(
    folder: pathlib.Path,
) -> collections.abc.Generator[GatewaySystem, None, None]:
    """Yield a system whose processes are killed at the end."""
    system = GatewaySystem(folder)
    try:
        yield system
    finally:
        system.stop()
