"""Starts a system, sends a plan's requests and injects its faults."""

import collections.abc
import concurrent.futures
import contextlib
import http.client
import itertools
import pathlib
import signal
import threading
import time

from fireflystandins import gateways
from fireflystandins.load import arrivals
from fireflystandins.load import plans
from fireflystandins.load import readers
from fireflystandins.load import reading
from fireflystandins.load import results

SERVICES = ("speech", "registry")
SETTLE_S = 1.0
Progress = collections.abc.Callable[[float], None]


class Player:
    """A run of a plan against a system that it starts."""

    def __init__(self, plan: plans.Plan, folder: pathlib.Path) -> None:
        self._plan = plan
        self._folder = folder
        self._lock = threading.Lock()
        self._counter = itertools.count()
        self._profiles: dict[str, readers.Profile]
        self._profiles = {readers.PLAIN: readers.AS_PLAIN} | plan.readers
        self.results = {
            (name, reader): results.KindResult(kind.target_ms)
            for name, kind in plan.kinds.items()
            for reader in self._profiles
        }

    def play(self, progress: Progress) -> list[results.Row]:
        """Play the plan; return the rows of the results table."""
        with gateways.running(self._folder) as system:
            self._start(system)
            began_s = time.monotonic()
            faults = threading.Thread(
                target=self._inject_faults, args=(system, began_s)
            )
            faults.start()
            self._send_all(system, began_s, progress)
            faults.join()
        return [
            result.row(*names)
            for names, result in self.results.items()
            if result.asked or readers.PLAIN in names
        ]

    def _start(self, system: gateways.GatewaySystem) -> None:
        system.start_store()
        for number in range(1, self._plan.load.replicas + 1):
            for service in SERVICES:
                system.start_replica(f"{service}-{number}", service)
        for number in range(1, self._plan.load.nodes + 1):
            system.start_node(f"node-{number}")
        system.wait_ready()
        time.sleep(SETTLE_S)

    def _send_all(
        self,
        system: gateways.GatewaySystem,
        began_s: float,
        progress: Progress,
    ) -> None:
        addresses = [node.callers for node in system.nodes]
        workers = self._plan.load.max_open
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            for arrival in arrivals.arrivals(self._plan):
                _sleep_until(began_s + arrival.at_s)
                progress(arrival.at_s)
                address = addresses[next(self._counter) % len(addresses)]
                due_s = began_s + arrival.at_s
                pool.submit(self._send, address, arrival, due_s)

    def _send(
        self, address: str, arrival: arrivals.Arrival, due_s: float
    ) -> None:
        """Send a request; its latency counts from the time it was due."""
        kind = self._plan.kinds[arrival.kind]
        request_id = f"load-{arrival.kind}-{next(self._counter)}"
        profile = self._profiles[arrival.reader]
        reply = call(address, kind, request_id, profile)
        took_s = time.monotonic() - due_s
        with self._lock:
            self.results[arrival.kind, arrival.reader].add(reply, took_s)

    def _inject_faults(
        self, system: gateways.GatewaySystem, began_s: float
    ) -> None:
        planned = sorted(self._plan.faults.values(), key=lambda f: f.at_s)
        for fault in planned:
            _sleep_until(began_s + fault.at_s)
            inject_fault(system, fault)


def inject_fault(system: gateways.GatewaySystem, fault: plans.Fault) -> None:
    """Inject a fault and end it.

    Raises ``KeyError`` if there is no such process.
    """
    process = {p.name: p for p in system.processes}[fault.on]
    if fault.what is plans.FaultAction.PAUSE:
        process.signal(signal.SIGSTOP)
        time.sleep(fault.for_s)
        process.signal(signal.SIGCONT)
        return
    if fault.what is plans.FaultAction.KILL:
        process.kill()
    else:
        process.signal(signal.SIGTERM)
        process.popen.wait()
    if isinstance(process, gateways.Node):
        time.sleep(fault.for_s)
        system.restart_node(process)


def call(
    address: str,
    kind: plans.Kind,
    request_id: str,
    profile: readers.Profile = readers.AS_PLAIN,
) -> reading.Reply:
    """Send a request; return what its caller got, reading as it does."""
    headers = gateways.caller_headers(request_id, kind.key, kind.patience_ms)
    body = kind.body.encode() if kind.method == "POST" else None
    try:
        connection = reading.connect(address, profile, kind.patience_ms / 1000)
    except OSError:
        return reading.Reply(None, reading.End.NONE)
    with contextlib.closing(connection):
        try:
            connection.request(kind.method, kind.path + "load", body, headers)
        except (OSError, http.client.HTTPException):
            return reading.Reply(None, reading.End.NONE)
        return reading.reader(profile).take(connection)


def _sleep_until(time_s: float) -> None:
    left_s = time_s - time.monotonic()
    if left_s > 0:
        time.sleep(left_s)
