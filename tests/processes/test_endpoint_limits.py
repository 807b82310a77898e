"""An endpoint's own limit, counted at the endpoint, with real nodes."""

import concurrent.futures
import contextlib
import http.client
import itertools
import json
import random
import signal
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


def _refused(answers):
    return [one for one in answers if one[1] == 503]


def test_where_all_are_limited_callers_are_refused_at_once_with_a_turn(
    tmp_path,
):
    with _running(tmp_path, "registry", nodes=3, endpoints=2) as system:
        for process in system.replicas.values():
            _set_limit(process, "2")
        callers = Callers(system.nodes, KINDS["registry"], 4)
        with callers.calling():
            time.sleep(BINDS_AFTER_S)
            began_s = time.monotonic()
            time.sleep(2 * WINDOW_S)
        most = {
            name: _most_in_a_window(_arrivals(process), began_s)
            for name, process in system.replicas.items()
        }
    answers = [one for one in callers.answers if one[0] >= began_s]
    refused = _refused(answers)
    served = [one for one in answers if one[1] == 200]
    assert max(most.values()) <= _allowed(2.0)
    assert len(served) >= 0.5 * 2 * 2.0 * 2 * WINDOW_S
    assert len(refused) + len(served) == len(answers)
    assert all(float(one[2]) > 0 for one in refused)
    assert sorted(one[3] for one in refused)[len(refused) // 2] < 0.1
    # Many callers share 4 requests a second: few are told to return soon.
    soon = sum(float(one[2]) < 0.5 for one in refused)
    assert soon <= 0.2 * len(refused)


# Guards against a limit that outlives its naming at nodes which send the
# endpoint nothing.
def test_a_limit_that_ends_is_forgotten_by_all_nodes(tmp_path):
    with _running(tmp_path, "registry", nodes=6, endpoints=2) as system:
        limited = system.replicas["e1"]
        callers = Callers(system.nodes, KINDS["registry"], 5)
        with callers.calling():
            _set_limit(limited, "1")
            time.sleep(BINDS_AFTER_S)
            _set_limit(limited, "1e3")
            time.sleep(BINDS_AFTER_S)
            _set_limit(limited, "nan")
            ended_s = time.monotonic()
            time.sleep(BINDS_AFTER_S + 2.0)
        late_s = ended_s + BINDS_AFTER_S
        late = sum(one >= late_s for one in _arrivals(limited))
        others = sum(one >= late_s for one in _arrivals(system.replicas["e2"]))
        logs = [node.log.read_text() for node in system.nodes]
    assert late >= 0.3 * (late + others)
    assert all('"state":"ended"' in log for log in logs)
    assert any('"state":"invalid"' in log for log in logs)
    assert {status for _, status, _, _ in callers.answers} == {200}


def _holder(system):
    """Return the node that took the duty last."""
    taken = []
    for node in system.nodes:
        for line in node.log.read_text().splitlines():
            if '"message_type":"duty"' in line and '"taken"' in line:
                taken.append((json.loads(line)["timestamp"], node.name))
    name = max(taken)[1]
    return next(node for node in system.nodes if node.name == name)


# Guards against two issuers, and against nodes that start with a burst.
@pytest.mark.parametrize("seed", [11, 12])
def test_a_limit_is_kept_while_nodes_are_killed_frozen_and_restarted(
    tmp_path, seed
):
    chance = random.Random(seed)
    rate = chance.choice([1.0, 2.0, 5.0])
    with _running(tmp_path, "registry", nodes=6, endpoints=2) as system:
        limited = system.replicas["e1"]
        _set_limit(limited, str(rate))
        callers = Callers(system.nodes, KINDS["registry"], seed)
        with callers.calling():
            time.sleep(BINDS_AFTER_S)
            began_s = time.monotonic()
            holder = _holder(system)
            others = [node for node in system.nodes if node is not holder]
            frozen, stopped = chance.sample(others, 2)
            frozen.signal(signal.SIGSTOP)
            time.sleep(chance.uniform(0.5, 3.0))
            holder.popen.kill()
            holder.popen.wait()
            frozen.signal(signal.SIGCONT)
            time.sleep(chance.uniform(0.5, 2.0))
            system.restart_node(holder)
            stopped.signal(signal.SIGTERM)
            time.sleep(chance.uniform(5.0, 7.0))
            _holder(system).signal(signal.SIGSTOP)
            time.sleep(chance.uniform(1.0, 5.0))
            _holder(system).signal(signal.SIGCONT)
            time.sleep(WINDOW_S)
        arrivals = _arrivals(limited)
    assert _most_in_a_window(arrivals, began_s) <= _allowed(rate)
    assert sum(one >= began_s for one in arrivals) >= 5
