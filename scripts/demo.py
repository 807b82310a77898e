"""Demonstrates the system on loopback with real processes."""

import json
import pathlib
import signal
import sys
import tempfile
import threading
import time

from fireflystandins import engine
from fireflystandins import local

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
PROMPT = "hearing of the fourth of December"
TOKENS = 120
COUNTERS = ("accepted", "answered", "retried", "attempts", "refused")


def report(text: str) -> None:
    """Print a line about the progress."""
    print(f"demo: {text}", flush=True)


def start(system: local.LocalSystem) -> None:
    """Start the stand-ins and three daemons."""
    system.start_platform()
    for number, domain in enumerate(("dakar-a", "dakar-b"), start=1):
        system.start_endpoint(
            local.EndpointSpec(
                f"shorthand-{number}", "engine", "shorthand", "v1", domain
            )
        )
    system.start_endpoint(
        local.EndpointSpec("filing-1", "service", "filing", "v1", "dakar-b")
    )
    for number, domain in enumerate("abc", start=1):
        system.start_daemon(f"node{number}", f"dakar-{domain}")
    system.publish()


def configure(system: local.LocalSystem) -> None:
    """Apply the example template with the operators' client."""
    system.wait_ports()
    system.apply(
        (EXAMPLES / "court.ini").read_text(),
        (EXAMPLES / "court-dakar.ini").read_text(),
    )
    system.wait_ready()


def text_of(events: bytes) -> str:
    """Return the text in a stream of events."""
    parts = []
    for line in events.splitlines():
        if line.startswith(b"data: {"):
            choice = json.loads(line[6:])["choices"][0]
            parts.append(choice["delta"].get("content", ""))
    return "".join(parts)


def stream(system: local.LocalSystem, daemon: local.Daemon) -> str:
    """Stream a response and kill the endpoint that serves it."""
    body = {
        "model": "shorthand",
        "stream": True,
        "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    responses = []

    def call() -> None:
        path = "/v1/chat/completions"
        responses.append(system.call(daemon, "POST", path, body))

    caller = threading.Thread(target=call)
    caller.start()

    def find_streaming_endpoint() -> str | None:
        for name, process in system.endpoints.items():
            if not process.alive or not name.startswith("shorthand"):
                continue
            url = f"http://{process.address}/load"
            load = json.loads(local.http("GET", url)[1])
            if load["running"] and load["tokens_total"] > TOKENS / 4:
                return name
        return None

    victim = local.wait_for("a stream half-way", find_streaming_endpoint, 10)
    system.endpoints[victim].kill()
    report(f"killed {victim} while it streamed")
    caller.join()
    status, events, _ = responses[0]
    report(f"the stream ended with status {status}")
    return text_of(events)


def file_twice(system: local.LocalSystem, daemon: local.Daemon) -> None:
    """Send a filing twice with the same idempotency key."""
    key = f"filing-{time.time_ns()}"
    for _ in range(2):
        status, body, _ = system.call(
            daemon,
            "POST",
            "/services/filing/filings",
            {"case": 7},
            Idempotency_Key=key,
        )
        report(f"filing answered {status}: {body.decode()}")
    address = system.endpoints["filing-1"].address
    url = f"http://{address}/executions"
    runs = json.loads(local.http("GET", url)[1])[key]
    if runs != 1:
        raise local.ConditionNotMet(f"the filing ran {runs} times")
    report("the filing ran once")


def counters(system: local.LocalSystem) -> dict[str, float]:
    """Return the sum of each counter over the daemons."""
    total: dict[str, float] = {}
    for daemon in system.daemons:
        for name, value in system.metrics(daemon).items():
            if any(f"_{word}_total" in name for word in COUNTERS):
                total[name] = total.get(name, 0.0) + value
    return total


def drain(system: local.LocalSystem) -> None:
    """Drain a failure domain, wait until it is drained, restore it."""
    for command in ("drain", "watch", "restore"):
        code, printed = system.cli("domain", command, "dakar-a")
        last_line = printed.strip().splitlines()[-1]
        report(f"domain {command} dakar-a: exit {code}: {last_line}")
        if code:
            raise local.ConditionNotMet(printed)


def run(system: local.LocalSystem) -> None:
    """Run the demo."""
    start(system)
    configure(system)
    report("template and workspace are in effect on three nodes")
    before = counters(system)
    text = stream(system, system.daemons[0])
    expected = "".join(engine.token(PROMPT, n) for n in range(TOKENS))
    if text != expected:
        raise local.ConditionNotMet(f"the response is incomplete: {text!r}")
    report(f"the response is complete: {TOKENS} tokens, none twice")
    file_twice(system, system.daemons[1])
    drain(system)
    for name, value in sorted(counters(system).items()):
        change = value - before.get(name, 0.0)
        if change:
            report(f"{name} +{change:.0f}")
    for daemon in system.daemons:
        daemon.signal(signal.SIGTERM)
    codes = [daemon.popen.wait(30) for daemon in system.daemons]
    report(f"the daemons shut down with codes {codes}")
    if any(codes):
        raise local.ConditionNotMet("a daemon did not shut down cleanly")


def main() -> int:
    """Run the demo in a temporary folder; return the exit code."""
    with tempfile.TemporaryDirectory(prefix="fireflypulley-") as folder:
        with local.running(pathlib.Path(folder)) as system:
            try:
                run(system)
            except local.ConditionNotMet as error:
                report(f"failed: {error}")
                for process in system.processes:
                    print(process.name, process.log.read_text()[-2000:])
                return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
