"""Demonstrates the gateway with stand-ins for the users' platform."""

import http.client
import itertools
import pathlib
import signal
import sys
import tempfile
import time

from fireflystandins import gateways
from fireflystandins import local

TOKENS = b"60"
_numbers = itertools.count(1)


def report(text: str) -> None:
    """Print a line about the progress."""
    print(f"demo: {text}", flush=True)


def start(system: gateways.GatewaySystem) -> None:
    """Start a store, four replicas and three nodes."""
    system.start_store()
    for number, zone in ((1, "a"), (2, "b")):
        system.start_replica(f"speech-{number}", "speech", zone)
        system.start_replica(f"registry-{number}", "registry", zone)
    for number, zone in enumerate("abc", start=1):
        system.start_node(f"node-{number}", zone)
    system.wait_ready()


def call(node: gateways.Node, path: str, body: bytes) -> tuple[int, bytes]:
    """Send a request; return the status and body of its response."""
    connection = http.client.HTTPConnection(node.callers, timeout=10)
    connection.request(
        "POST",
        path,
        body,
        {
            "Host": gateways.HOST,
            "Attempt-Id": f"demo-{next(_numbers)}",
            "Deadline-Ms": "5000",
            "Key": "key-court",
        },
    )
    reply = connection.getresponse()
    content = reply.read()
    connection.close()
    return reply.status, content


def run(system: gateways.GatewaySystem) -> bool:
    """Run the steps; return whether all succeeded."""
    first, second = system.nodes[0], system.nodes[1]
    status, body = call(first, "/file/1", b"a filing")
    report(f"a filing gets status {status}: {body.decode()}")
    passed = status == 200
    system.set_faults(system.replicas["speech-1"].address, mode="cut", times=1)
    system.set_faults(system.replicas["speech-2"].address, mode="cut", times=1)
    system.set_faults(system.replicas["speech-2"].address, mode="", times=0)
    status, body = call(first, "/resumed/1", TOKENS)
    events = body.count(b"data: ")
    report(f"a stream is complete after its endpoint failed: {events} events")
    passed = passed and events == int(TOKENS)
    system.put("op", "config", gateways.configuration(2, routes=[]))
    changed_s = time.monotonic()
    local.wait_for("change", lambda: call(second, "/file/1", b"")[0] == 404)
    took_s = time.monotonic() - changed_s
    report(f"a change is in effect at another node after {took_s:.2f} s")
    first.signal(signal.SIGTERM)
    first.popen.wait(gateways.STOP_TIMEOUT_S)
    report(f"a stopped node exits with {first.popen.returncode}")
    return passed and first.popen.returncode == 0


def main() -> int:
    """Run the demo; return the exit code."""
    with tempfile.TemporaryDirectory() as folder:
        with gateways.running(pathlib.Path(folder)) as system:
            report("starting a store, four replicas and three nodes")
            start(system)
            passed = run(system)
    report("done" if passed else "failed: see the lines above")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
