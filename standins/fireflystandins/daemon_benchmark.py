"""Measures the data path of one real daemon on loopback."""

import json
import os
import pathlib
import selectors
import socket
import time
import urllib.parse

from fireflystandins.bench import figures
from fireflystandins import local

CALLS = 300
STREAMS = 200
TOKENS = 120
TOKEN_S = 0.05
NODE_TOKENS_PER_S = 17_700
NODE_REQUESTS_PER_S = 77
TEMPLATE = """[template]
name = bench
[service shorthand]
kind = model
version = v1
[route ask]
service = shorthand
path = /v1/chat/completions
"""
WORKSPACE = f"""[workspace]
name = bench
template = bench
token_sha256 = {local.token_sha256()}
"""


def cpu_s(pid: int) -> float:
    """Return the CPU time used by a process."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)
    values = fields[1].split()
    return (int(values[11]) + int(values[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE")


def peak_bytes(pid: int) -> int:
    """Return the most resident memory that a process has had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = (one for one in status.splitlines() if "VmHWM" in one)
    return int(line.split()[1]) << 10


def start(system: local.LocalSystem) -> None:
    """Start a daemon and an engine with capacity for all streams."""
    system.start_platform()
    system.start_endpoint(
        local.EndpointSpec(
            "shorthand-1",
            "engine",
            "shorthand",
            "v1",
            "a",
            ("--token-s", str(TOKEN_S), "--first-token-s", "0.001"),
            capacity=1024,
            cold_capacity=1024,
        )
    )
    daemon = system.start_daemon("node1", "a")
    system.wait_ports()
    system.apply(TEMPLATE, WORKSPACE)
    system.wait_ready()
    local.wait_for(
        "the first response",
        lambda: request(daemon.callers, 1)[0] == 200,
    )


def body(tokens: int, stream: bool = False) -> dict:
    """Return the body of a request."""
    return {
        "model": "shorthand",
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "bench"}],
    }


def request(url: str, tokens: int) -> tuple[int, bytes, dict[str, str]]:
    """Send a request and return the response."""
    headers = {"Authorization": f"Bearer {local.CALLER_TOKEN}"}
    path = "/v1/chat/completions"
    return local.http("POST", url + path, body(tokens), headers)


def latencies(url: str) -> list[float]:
    """Return the latencies of sequential calls."""
    times_s = []
    for _ in range(CALLS):
        began_s = time.perf_counter()
        request(url, 1)
        times_s.append(time.perf_counter() - began_s)
    return times_s


def added_latency(system: local.LocalSystem) -> list[figures.Figure]:
    """Return the latency that the daemon adds to calls to the engine."""
    engine = system.endpoints["shorthand-1"].address
    daemon = system.daemons[0]
    direct = latencies(f"http://{engine}")
    before_s = cpu_s(daemon.popen.pid)
    through = latencies(daemon.callers)
    used_s = cpu_s(daemon.popen.pid) - before_s
    measured = []
    for name, part in (("median", 0.5), ("p99", 0.99)):
        direct_s = figures.percentile(direct, part)
        through_s = figures.percentile(through, part)
        measured += [
            figures.Figure(
                f"path.added.{name}", (through_s - direct_s) * 1e3, "ms"
            ),
            figures.Figure(
                f"path.ratio.{name}", through_s / direct_s, "ratio"
            ),
        ]
    per_call_s = used_s / CALLS
    share = per_call_s * NODE_REQUESTS_PER_S
    return [
        *measured,
        figures.Figure("path.cpu_per_request", per_call_s * 1e6, "us"),
        figures.Figure("path.cpu_at_77_requests", share, "cores"),
    ]


def _open_stream(url: str) -> socket.socket:
    address = urllib.parse.urlsplit(url)
    content = json.dumps(body(TOKENS, stream=True)).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\n"
        f"Host: {address.netloc}\r\n"
        f"Authorization: Bearer {local.CALLER_TOKEN}\r\n"
        f"Content-Length: {len(content)}\r\n"
        "Connection: close\r\n\r\n"
    )
    connection = socket.create_connection((address.hostname, address.port))
    connection.sendall(head.encode() + content)
    connection.setblocking(False)
    return connection


def _read_all(streams: list[socket.socket]) -> tuple[int, int]:
    """Read all streams; return the counts of events and of complete ones."""
    selector = selectors.DefaultSelector()
    tails = {stream: b"" for stream in streams}
    for stream in streams:
        selector.register(stream, selectors.EVENT_READ)
    events = completed = 0
    while selector.get_map():
        for key, _ in selector.select(timeout=30):
            stream = key.fileobj
            data = stream.recv(1 << 18)
            events += data.count(b"data: {")
            tails[stream] = (tails[stream] + data)[-64:]
            if not data:
                completed += b"[DONE]" in tails[stream]
                selector.unregister(stream)
                stream.close()
    return events, completed


def streaming(system: local.LocalSystem) -> list[figures.Figure]:
    """Measure concurrent streams through the daemon."""
    daemon = system.daemons[0]
    pid = daemon.popen.pid
    idle_bytes = resident_bytes(pid)
    before_s, began_s = cpu_s(pid), time.perf_counter()
    streams = [_open_stream(daemon.callers) for _ in range(STREAMS)]
    events, completed = _read_all(streams)
    took_s = time.perf_counter() - began_s
    used_s = cpu_s(pid) - before_s
    grown = resident_bytes(pid) - idle_bytes
    per_event_s = used_s / events
    return [
        figures.Figure(
            "path.streams_whole", completed, "streams", f">={STREAMS}"
        ),
        figures.Figure("path.tokens_per_s", events / took_s, "tokens/s"),
        figures.Figure("path.cpu_per_token", per_event_s * 1e6, "us"),
        figures.Figure(
            "path.cores_at_17700_tokens",
            per_event_s * NODE_TOKENS_PER_S,
            "cores",
        ),
        figures.Figure(
            "path.memory_per_stream", grown / STREAMS / 1024, "KiB"
        ),
    ]


def control_cost(system: local.LocalSystem, duration_s: float = 10.0) -> list:
    """Measure the CPU and memory use of an idle daemon."""
    pid = system.daemons[0].popen.pid
    before_s = cpu_s(pid)
    time.sleep(duration_s)
    share = (cpu_s(pid) - before_s) / duration_s
    return [
        figures.Figure("path.idle_cpu", share, "cores", "<=0.045"),
        figures.Figure(
            "path.idle_memory", resident_bytes(pid) / 2**20, "MiB", "<=128"
        ),
    ]


def measure(folder: pathlib.Path) -> list[figures.Figure]:
    """Return all figures of the benchmark."""
    with local.running(folder) as system:
        start(system)
        return [
            *control_cost(system),
            *added_latency(system),
            *streaming(system),
        ]
