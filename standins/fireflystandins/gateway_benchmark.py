"""Measures the latency added by a gateway node and by a forwarder."""

import contextlib
import http.client
import itertools
import pathlib
import time

from fireflystandins.bench import figures
from fireflystandins import daemon_benchmark
from fireflystandins import gateways
from fireflystandins import local

CALLS = 400
MAX_ADDED_MEDIAN_MS = 3.0
MAX_ADDED_P99_MS = 15.0
_numbers = itertools.count(1)


class Caller:
    """Calls on one keep-alive connection; raises unless they succeed."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = http.client.HTTPConnection(address, timeout=10)

    def call(self) -> float:
        """Return how long a call took, in seconds."""
        fields = {
            "Host": gateways.HOST,
            "Attempt-Id": f"bench-{next(_numbers)}",
            "Deadline-Ms": "5000",
            "Key": "key-court",
        }
        began_s = time.perf_counter()
        self._connection.request("POST", "/file/1", b"a filing", fields)
        reply = self._connection.getresponse()
        reply.read()
        took_s = time.perf_counter() - began_s
        if reply.status != 200:
            raise local.ConditionNotMet(
                f"{self._address}: unexpected status {reply.status}"
            )
        return took_s

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def _latencies(address: str) -> list[float]:
    """Return the latencies of calls on one keep-alive connection."""
    with contextlib.closing(Caller(address)) as caller:
        return [caller.call() for _ in range(CALLS)]


def _figures(
    name: str, direct: list[float], through: list[float], is_bound: bool
) -> list[figures.Figure]:
    measured = []
    for part, percent, bound_ms in (
        ("median", 0.5, MAX_ADDED_MEDIAN_MS),
        ("p99", 0.99, MAX_ADDED_P99_MS),
    ):
        direct_s = figures.percentile(direct, percent)
        through_s = figures.percentile(through, percent)
        added_ms = (through_s - direct_s) * 1e3
        bound = f"<={bound_ms:g}" if is_bound else ""
        measured.append(
            figures.Figure(f"{name}.added.{part}", added_ms, "ms", bound)
        )
        measured.append(
            figures.Figure(
                f"{name}.ratio.{part}", through_s / direct_s, "ratio"
            )
        )
    return measured


def measure(folder: pathlib.Path) -> list[figures.Figure]:
    """Return the figures for a node and for a plain forwarder."""
    with gateways.running(folder) as system:
        system.start_store()
        replica = system.start_replica("registry-1", "registry")
        node = system.start_node("node-1")
        forwarder = system.start_forwarder(replica.address)
        system.wait_ready()
        direct = _latencies(replica.address)
        bare = _latencies(forwarder.address)
        before_s = daemon_benchmark.cpu_s(node.popen.pid)
        through = _latencies(node.callers)
        used_s = daemon_benchmark.cpu_s(node.popen.pid) - before_s
        resident = daemon_benchmark.resident_bytes(node.popen.pid)
    return [
        *_figures("gateway", direct, through, True),
        *_figures("forwarder", direct, bare, False),
        figures.Figure("gateway.cpu", used_s / CALLS * 1e3, "ms/request"),
        figures.Figure("gateway.resident", resident / 2**20, "MiB"),
    ]
