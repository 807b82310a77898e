"""An endpoint's own limit, counted at the endpoint, with real nodes."""

import concurrent.futures
import contextlib
import http.client
import itertools
import json
import random
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

pytestmark = pytest.mark.processes

WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
BINDS_AFTER_S = 3.0
"""The bound of the rule, and the time after the first naming that it
leaves for all nodes to learn of the limit."""
KINDS = {
    "registry": ("/file/x", "/fetch/x"),
    "speech": ("/stream/x", "/resumed/x"),
}
CALLERS = 24
_numbers = itertools.count(1)


def _most_in_a_window(arrivals, from_s):
    """Return the most arrivals in any window that begins at ``from_s``."""
    late = sorted(one for one in arrivals if one >= from_s)
    return max(
        (
            sum(first <= one < first + WINDOW_S for one in late)
            for first in late
        ),
        default=0,
    )


def _allowed(rate_per_s):
    return OVERSHOOT * rate_per_s * WINDOW_S + SLACK


def _set_limit(process, value):
    local.http("POST", f"http://{process.address}/limit", {"value": value})


def _arrivals(process):
    url = f"http://{process.address}/arrivals"
    _, body, _ = local.http("GET", url)
    return json.loads(body)


class Callers:
    """Callers that send requests to nodes at random until told to stop."""

    def __init__(self, nodes, paths, seed):
        self._nodes = nodes
        self._paths = paths
        self._seed = seed
        self.is_stopped = False
        self.answers = []

    def _call(self, chance):
        node = chance.choice(self._nodes)
        path = chance.choice(self._paths)
        number = next(_numbers)
        fields = gateways.caller_headers(f"c{number}", "key-court", 3000)
        connection = http.client.HTTPConnection(node.callers, timeout=5)
        began_s = time.monotonic()
        try:
            connection.request("POST", path, b"3", fields)
            reply = connection.getresponse()
            reply.read()
            retry_after = reply.getheader("Retry-After")
            status = reply.status
        except (OSError, http.client.HTTPException):
            status, retry_after = 0, None
        finally:
            connection.close()
        took_s = time.monotonic() - began_s
        self.answers.append((began_s, status, retry_after, took_s))

    def run(self, number):
        chance = random.Random(f"{self._seed}/{number}")
        while not self.is_stopped:
            self._call(chance)
            time.sleep(chance.uniform(0.0, 0.15))

    @contextlib.contextmanager
    def calling(self):
        """Send requests during the block."""
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            running = [pool.submit(self.run, one) for one in range(CALLERS)]
            try:
                yield self
            finally:
                self.is_stopped = True
        for one in running:
            one.result()


@contextlib.contextmanager
def _running(folder, service, nodes, endpoints):
    """Yield a system with some nodes and endpoints of one service."""
    with gateways.running(folder) as system:
        system.start_store()
        for number in range(1, endpoints + 1):
            system.start_replica(f"e{number}", service)
        for number in range(1, nodes + 1):
            system.start_node(f"node-{number}", "ab"[number % 2])
        system.wait_ready()
        yield system


# Guards against nodes that send an endpoint more than it takes from all.
@pytest.mark.parametrize(
    ("service", "nodes", "rate", "seed"),
    [("registry", 6, "1", 1), ("speech", 6, "1", 2), ("registry", 3, "8", 3)],
)
def test_all_nodes_together_keep_the_limit_that_an_endpoint_names(
    tmp_path, service, nodes, rate, seed
):
    with _running(tmp_path, service, nodes, endpoints=2) as system:
        limited = system.replicas["e1"]
        callers = Callers(system.nodes, KINDS[service], seed)
        with callers.calling():
            time.sleep(1.0)
            _set_limit(limited, rate)
            named_s = time.monotonic()
            time.sleep(BINDS_AFTER_S + 2 * WINDOW_S)
        arrivals = _arrivals(limited)
        binds_s = named_s + BINDS_AFTER_S
        most = _most_in_a_window(arrivals, binds_s)
        used = sum(one >= binds_s for one in arrivals)
        statuses = {status for _, status, _, _ in callers.answers}
    assert most <= _allowed(float(rate))
    # It is used up to its rate, and the other endpoint takes the rest.
    assert used >= 0.5 * float(rate) * 2 * WINDOW_S
    assert statuses == {200}
