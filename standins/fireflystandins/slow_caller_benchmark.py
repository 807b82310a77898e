"""Measures fast callers beside 1,000 slow ones at a node of the usual size.

Two nodes have the same endpoints; the slow callers are at one of them.  The
fast calls go in turn to the first node, to the second and to the endpoint.
"""

import collections.abc
import contextlib
import dataclasses
import pathlib
import subprocess
import sys
import time

from fireflystandins.bench import figures
from fireflystandins import daemon_benchmark
from fireflystandins import gateway_benchmark
from fireflystandins import gateways
from fireflystandins import local
from fireflystandins import slow_crowd

SLOW_CALLERS = 1000
ANSWERS_BYTES = {"300kB": 300_000, "2MB": 2_000_000}
"""Answers that the kernel's buffers take almost whole, and longer ones."""
FAST_CALLS = 400
SLOTS = 2000
SETTLE_S = 3.0
MAX_MEMORY_MB = 120
MAX_ADDED_RATIO = 1.1
_CROWD = "fireflystandins.slow_crowd"


@dataclasses.dataclass(frozen=True, slots=True)
class Queues:
    """What the kernel holds for one side of some connections, in bytes."""

    unsent_bytes: int
    unread_bytes: int


def queues_of(
    table: str,
    local_port: int | None = None,
    remote_port: int | None = None,
) -> Queues:
    """Return the sums for the connections of ports in ``/proc/net/tcp``."""
    unsent_bytes = unread_bytes = 0
    for line in table.splitlines()[1:]:
        fields = line.split()
        if local_port not in (None, _port(fields[1])):
            continue
        if remote_port not in (None, _port(fields[2])):
            continue
        if fields[3] != "01":
            continue
        unsent, unread = fields[4].split(":")
        unsent_bytes += int(unsent, 16)
        unread_bytes += int(unread, 16)
    return Queues(unsent_bytes, unread_bytes)


def _port(address: str) -> int:
    return int(address.rsplit(":", 1)[1], 16)


def _configuration() -> gateways.Json:
    return gateways.configuration(
        routes=[
            gateways.route(
                "stream",
                "streaming",
                "speech",
                timeout_ms=slow_crowd.TIMEOUT_MS,
                target_latency_ms=slow_crowd.TIMEOUT_MS,
            ),
            gateways.route("file", "non_idempotent", "registry"),
        ],
        services=[
            {"name": "speech", "max-connections": SLOTS},
            {"name": "registry", "max-connections": 64},
        ],
    )


class _Crowd:
    """The process of the slow callers."""

    def __init__(self, popen: "subprocess.Popen[str]") -> None:
        self._popen = popen

    def wait(self) -> str:
        """Return the next line that it prints."""
        assert self._popen.stdout is not None
        return self._popen.stdout.readline().strip()

    def end(self) -> int:
        """Return how many connections the node had ended."""
        assert self._popen.stdin is not None
        self._popen.stdin.close()
        return int(self.wait())


@contextlib.contextmanager
def _reading_slowly(
    address: str, answer_bytes: int
) -> collections.abc.Generator[_Crowd, None, None]:
    """Yield the crowd of an address, which is killed at the end."""
    size = str(SLOW_CALLERS), str(answer_bytes)
    with subprocess.Popen(
        [sys.executable, "-m", _CROWD, address, *size],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    ) as popen:
        try:
            crowd = _Crowd(popen)
            if crowd.wait() != "reading":
                raise local.ConditionNotMet("the slow callers have no answers")
            yield crowd
        finally:
            popen.kill()


def _latencies(addresses: dict[str, str]) -> dict[str, list[float]]:
    """Return the latencies of calls that go to each address in turn."""
    callers = {
        name: gateway_benchmark.Caller(address)
        for name, address in addresses.items()
    }
    times_s: dict[str, list[float]] = {name: [] for name in addresses}
    for _ in range(FAST_CALLS):
        for name, caller in callers.items():
            times_s[name].append(caller.call())
    for caller in callers.values():
        caller.close()
    return times_s


def added_figures(
    name: str, times_s: dict[str, list[float]], bound: str = ""
) -> list[figures.Figure]:
    """Return what the nodes add, the first one beside the second."""
    measured = []
    for part, percent in (("median", 0.5), ("p99", 0.99)):
        at_s = {
            name: figures.percentile(times, percent)
            for name, times in times_s.items()
        }
        beside_s, alone_s = (
            at_s[name] - at_s["direct"] for name in ("beside", "alone")
        )
        measured += [
            figures.Figure(f"{name}.beside.{part}", beside_s * 1e3, "ms"),
            figures.Figure(f"{name}.alone.{part}", alone_s * 1e3, "ms"),
            figures.Figure(
                f"{name}.ratio.{part}",
                beside_s / alone_s,
                "ratio",
                bound if part == "median" else "",
            ),
        ]
    return measured


def _kernel_figures(
    prefix: str, node: gateways.Node, endpoint: str
) -> list[figures.Figure]:
    """Return what the kernel holds for a node's connections."""
    table = pathlib.Path("/proc/net/tcp").read_text()
    callers = queues_of(table, local_port=int(node.callers.rsplit(":")[1]))
    answers = queues_of(table, remote_port=int(endpoint.rsplit(":")[1]))
    return [
        figures.Figure(f"{prefix}.kernel.{name}", size_bytes / 2**20, "MiB")
        for name, size_bytes in (
            ("to_callers", callers.unsent_bytes),
            ("from_endpoint", answers.unread_bytes),
        )
    ]


def measure(folder: pathlib.Path) -> list[figures.Figure]:
    """Return the figures for fast callers with and without slow ones."""
    return [
        figure
        for name, answer_bytes in ANSWERS_BYTES.items()
        for figure in _measure(folder / name, f"slow.{name}", answer_bytes)
    ]


def _measure(
    folder: pathlib.Path, prefix: str, answer_bytes: int
) -> list[figures.Figure]:
    with gateways.running(folder) as system:
        system.start_store(_configuration())
        replica = system.start_replica("registry-1", "registry")
        long = system.start_replica(
            "speech-1", "speech", kind="long-endpoint", slots=SLOTS
        )
        beside, alone = (system.start_node(f"node-{n}") for n in (1, 2))
        system.wait_ready()
        addresses = {
            "beside": beside.callers,
            "alone": alone.callers,
            "direct": replica.address,
        }
        pid = beside.popen.pid
        before = _latencies(addresses)
        at_rest_bytes = daemon_benchmark.resident_bytes(pid)
        with _reading_slowly(beside.callers, answer_bytes) as crowd:
            time.sleep(SETTLE_S)
            began_s, used_s = time.monotonic(), daemon_benchmark.cpu_s(pid)
            times_s = _latencies(addresses)
            used_s = daemon_benchmark.cpu_s(pid) - used_s
            lasted_s = time.monotonic() - began_s
            kernel = _kernel_figures(prefix, beside, long.address)
            peak_mb = daemon_benchmark.peak_bytes(pid) / 1e6
            ended = crowd.end()
    bound = f"<={MAX_MEMORY_MB}"
    return [
        figures.Figure(f"{prefix}.at_rest", at_rest_bytes / 1e6, "MB"),
        figures.Figure(f"{prefix}.memory", peak_mb, "MB", bound),
        *kernel,
        *added_figures(f"{prefix}.without", before),
        *added_figures(f"{prefix}.added", times_s, f"<={MAX_ADDED_RATIO}"),
        figures.Figure(f"{prefix}.cpu", used_s / lasted_s, "cores"),
        figures.Figure(f"{prefix}.ended", ended, "answers"),
    ]
