"""Measures the latency added by a gateway node and by a forwarder."""

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


def _latencies(address: str) -> list[float]:
    """Return the latencies of calls on one keep-alive connection."""
    connection = http.client.HTTPConnection(address, timeout=10)
    times_s = []
    for _ in range(CALLS):
        fields = {
            "Host": gateways.HOST,
            "Attempt-Id": f"bench-{next(_numbers)}",
            "Deadline-Ms": "5000",
            "Key": "key-court",
        }
        began_s = time.perf_counter()
        connection.request("POST", "/file/1", b"a filing", fields)
        reply = connection.getresponse()
        reply.read()
        times_s.append(time.perf_counter() - began_s)
        if reply.status != 200:
            raise local.ConditionNotMet(
                f"{address}: unexpected status {reply.status}"
            )
    connection.close()
    return times_s


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
