"""The retries of all nodes, counted at the endpoints, with real nodes."""

import collections
import concurrent.futures
import contextlib
import json
import signal
import socket
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

from . import callers

pytestmark = pytest.mark.processes

WINDOW_S = 10.0
RATIO = 0.2
SLACK = 20
NODES = 6
CALLERS = 12
PAUSE_S = 0.3
BURST = 15
START_TIMEOUT_S = 30.0
STEADY_PER_S = 40.0
FROZEN_S = 4.0
BOUNDS = {
    "retry-budget-ratio": RATIO,
    "retry-window-s": WINDOW_S,
    "budget-slack": SLACK,
}


def _burst(asking, node):
    """Send requests to a node as soon as it takes connections."""
    host, port = node.callers.split(":")
    until_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError):
            socket.create_connection((host, int(port))).close()
            break
    for _ in range(BURST):
        asking.call(node)


@pytest.fixture
def system(tmp_path):
    """Yield a system whose endpoints fail all that they run."""
    config = gateways.configuration(
        routes=[
            gateways.route("fetch", "idempotent", "registry", max_attempts=3)
        ]
    )
    with gateways.running(tmp_path) as running:
        running.start_store(config)
        for number in range(4):
            replica = running.start_replica(f"e{number}", "registry")
            running.set_faults(replica.address, mode="errors", times=10**6)
        yield running


def _start_nodes(system):
    for number in range(NODES):
        system.start_node(f"node-{number}", "ab"[number % 2], **BOUNDS)


def _retries_s(system):
    """Return when each arrival beyond the first of its request came."""
    began_s = collections.defaultdict(list)
    for process in system.replicas.values():
        url = f"http://{process.address}/runs"
        for run in json.loads(local.http("GET", url)[1]):
            began_s[run["id"]].append(run["began_s"])
    return sorted(
        time_s for times in began_s.values() for time_s in sorted(times)[1:]
    )


def _count(times_s, from_s):
    return sum(from_s <= one < from_s + WINDOW_S for one in times_s)


def _excess(retries_s, sent_s):
    """Return by how much the worst window lies beyond its bound.

    Requests are counted in the window, the one before it or the one half
    a window before it, whichever has most.
    """
    return max(
        _count(retries_s, from_s)
        - SLACK
        - RATIO
        * max(
            _count(sent_s, from_s - back_s)
            for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        for from_s in retries_s
    )


# Guards against nodes that each take the whole slack before they know of
# the others.
def test_nodes_that_start_under_load_keep_the_budget(system):
    _start_nodes(system)
    asking = callers.Callers(system.nodes, CALLERS, PAUSE_S)
    with concurrent.futures.ThreadPoolExecutor(NODES) as pool:
        list(pool.map(lambda node: _burst(asking, node), system.nodes))
    retries_s = _retries_s(system)
    assert retries_s
    assert _excess(retries_s, asking.sent_s) <= 0


# Guards against nodes that forget at a restart what they have spent.
def test_nodes_killed_together_keep_the_budget(system):
    _start_nodes(system)
    system.wait_ready()
    time.sleep(WINDOW_S)
    asking = callers.Callers(system.nodes, CALLERS, PAUSE_S)
    with asking.calling():
        time.sleep(3.0)
        for node in system.nodes:
            node.popen.kill()
        for node in system.nodes:
            node.popen.wait()
            system.restart_node(node)
        time.sleep(8.0)
    retries_s = _retries_s(system)
    assert retries_s
    assert _excess(retries_s, asking.sent_s) <= 0


@contextlib.contextmanager
def _frozen(nodes):
    """Let nodes stand still during the block."""
    for node in nodes:
        node.signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for node in nodes:
            node.signal(signal.SIGCONT)


# Guards against nodes that, after they stood still, count the requests that
# had waited for them as if they had been sent just now.
@pytest.mark.parametrize("frozen_s", [FROZEN_S])
def test_halves_that_stand_still_in_turn_keep_the_budget(system, frozen_s):
    _start_nodes(system)
    system.wait_ready()
    time.sleep(WINDOW_S)
    asking = callers.Callers(system.nodes, CALLERS, PAUSE_S)
    with asking.calling_steadily(STEADY_PER_S):
        time.sleep(WINDOW_S)
        for half in (system.nodes[: NODES // 2], system.nodes[NODES // 2 :]):
            with _frozen(half):
                time.sleep(frozen_s)
        time.sleep(WINDOW_S)
    retries_s = _retries_s(system)
    assert retries_s
    assert _excess(retries_s, asking.sent_s) <= 0
