"""A store that comes back from an older copy, with real nodes."""

import http.client
import itertools
import time

import pytest

from fireflystandins import gateways
from fireflystandins import local

pytestmark = pytest.mark.processes

APPLY_S = 2.0
"""The bound of the rule: a confirmed change is in force after this time."""
AWAY_S = 1.0
LOST_WRITES = 30
_numbers = itertools.count(1)


@pytest.fixture
def system(tmp_path):
    """Yield three nodes and two endpoints of a service."""
    with gateways.running(tmp_path) as running_system:
        running_system.start_store()
        for name in ("registry-1", "registry-2"):
            running_system.start_replica(name, "registry")
        for name in ("node-1", "node-2", "node-3"):
            running_system.start_node(name)
        running_system.wait_ready()
        yield running_system


def _call(node, path):
    """Return the status of a request."""
    headers = gateways.caller_headers(f"q{next(_numbers)}", "key-court", 2000)
    connection = http.client.HTTPConnection(node.callers, timeout=5)
    try:
        connection.request("POST", path, b"3", headers)
        reply = connection.getresponse()
        reply.read()
        return reply.status
    finally:
        connection.close()


def _configure(system, version, *added):
    """Write a configuration with additional routes, as the operator."""
    config = gateways.configuration(version)
    config["routes"] += [
        gateways.route(name, "idempotent", "registry") for name in added
    ]
    system.put("op", "config", config)


def _return_from_copy(system):
    """Lose some writes: the store comes back from a copy without them."""
    time.sleep(0.3)
    began_s = time.monotonic()
    for number in range(LOST_WRITES):
        system.put("op", "unrelated", {"number": number})
    time.sleep(0.2)
    system.set_faults(system.store, mode="busy")
    time.sleep(AWAY_S)
    age_s = time.monotonic() - began_s
    system.set_faults(system.store, mode="restored", age_s=age_s)


# Guards against a confirmed change that looks old because versions go back.
@pytest.mark.parametrize("returns", [1, 2])
def test_a_change_after_a_return_is_in_force_on_all_nodes(system, returns):
    _configure(system, 2, "added")
    for _ in range(returns):
        _return_from_copy(system)
    time.sleep(0.5)
    _configure(system, 3, "added", "later")
    time.sleep(APPLY_S)
    statuses = [_call(node, "/later/x") for node in system.nodes]
    statuses += [_call(node, "/added/x") for node in system.nodes]
    assert statuses == [200] * 6


# Guards against a copy that takes back what was confirmed and in force.
def test_a_change_that_the_copy_lacks_stays_in_force(system):
    time.sleep(0.3)
    began_s = time.monotonic()
    _configure(system, 2, "added")
    system.put("op", "evacuate/a", {})
    time.sleep(1.0)
    assert _call(system.nodes[0], "/added/x") == 503
    age_s = time.monotonic() - began_s
    system.set_faults(system.store, mode="restored", age_s=age_s)
    for _ in range(10):
        for node in system.nodes:
            assert _call(node, "/added/x") == 503
        time.sleep(0.1)


# Guards against an endpoint that leaves after a return and gets requests.
def test_an_endpoint_that_leaves_after_a_return_gets_nothing(system):
    _return_from_copy(system)
    time.sleep(0.5)
    leaving = system.replicas["registry-1"]
    url = f"http://{leaving.address}/state"
    local.http("POST", url, {"state": "draining"})
    # Its next heartbeat writes the state, a second later at most.
    time.sleep(1.0 + APPLY_S)
    before = len(system.runs(leaving.address))
    for _ in range(10):
        for node in system.nodes:
            assert _call(node, "/fetch/x") == 200
    assert len(system.runs(leaving.address)) == before


# Guards against two holders of the duty with one fencing number.
def test_fencing_numbers_rise_over_returns(system):
    assert _call(system.nodes[0], "/fetch/x") == 200
    local.wait_for("duty", lambda: system.duty_calls()["usage"])
    _return_from_copy(system)
    for _ in range(9):
        assert _call(system.nodes[0], "/fetch/x") == 200
        time.sleep(1.0)
    calls = system.duty_calls()["usage"]
    by_number = {}
    for call in calls:
        by_number.setdefault(call["fencing"], set()).add(call["holder"])
    assert all(len(holders) == 1 for holders in by_number.values())
    numbers = [call["fencing"] for call in calls]
    assert numbers == sorted(numbers)
    assert len(set(numbers)) > 1
