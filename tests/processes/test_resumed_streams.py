"""Streams that go on at another endpoint, or for a caller that comes back."""

import http.client
import re

import pytest

from fireflystandins import gateways
from fireflystandins import replica

pytestmark = pytest.mark.processes

EVENTS = 6
HAS = 3
"""The last event that a caller has which comes back."""
WRONG = [replica.GOES_ON_ANEW, *replica.RESUME_OFFSETS]
_ID = re.compile(rb"id: (\d+)\n")


def _ask(node, request_id, last_event_id=None):
    """Return the status, the ids of the events and whether it is whole."""
    connection = http.client.HTTPConnection(node.callers, timeout=5)
    fields = gateways.caller_headers(request_id, "key-court", 3000)
    if last_event_id is not None:
        fields["Last-Event-Id"] = str(last_event_id)
    try:
        body = str(EVENTS).encode()
        connection.request("POST", "/resumed/x", body, fields)
        reply = connection.getresponse()
        try:
            data, is_whole = reply.read(), True
        except http.client.IncompleteRead as cut:
            data, is_whole = cut.partial, False
    finally:
        connection.close()
    return reply.status, [int(one) for one in _ID.findall(data)], is_whole


@pytest.fixture
def system(tmp_path):
    """Yield a node with two endpoints of the streams' service."""
    with gateways.running(tmp_path) as gateway_system:
        gateway_system.start_store()
        for number in (1, 2):
            gateway_system.start_replica(f"e{number}", "speech")
        gateway_system.start_node("node-1")
        gateway_system.wait_ready()
        yield gateway_system


def _set_all(system, mode, times=10):
    for process in system.replicas.values():
        system.set_faults(process.address, mode=mode, times=times)


# Guards against callers whose event numbers go back, or skip some, in an
# answer that looks whole, after they asked for the events after their last.
@pytest.mark.parametrize("mode", WRONG)
def test_no_caller_gets_events_that_do_not_follow_its_last(system, mode):
    _set_all(system, mode)
    _, ids, is_whole = _ask(system.nodes[0], "q1", HAS)
    assert ids == list(range(HAS + 1, HAS + 1 + len(ids)))
    assert not ids or not is_whole or ids[-1] == EVENTS


# Guards against the same where one of two endpoints goes on wrongly: the
# caller gets the rest from the other one.
@pytest.mark.parametrize("mode", WRONG)
def test_an_endpoint_that_goes_on_wrongly_is_followed_by_another(system, mode):
    address = system.replicas["e1"].address
    system.set_faults(address, mode=mode, times=10)
    for number in range(4):
        answer = _ask(system.nodes[0], f"q{number}", HAS)
        assert answer == (200, list(range(HAS + 1, EVENTS + 1)), True)


def test_a_caller_that_has_all_events_gets_a_whole_answer_without_any(system):
    assert _ask(system.nodes[0], "q1", EVENTS) == (200, [], True)
