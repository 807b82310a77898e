"""When a node without links tells its callers to come back."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import endpoint_paths
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import ways

from . import builders

KEYS = [("e1", 1), ("e2", 1)]
INTERVAL_S = endpoint_paths.PROBE_INTERVAL_S
CUT_S = 10.0
SPREAD_S = request_admission.RETRY_SOON_S


class _Node:
    """A node that has just found that it reaches no endpoint."""

    def __init__(self):
        self.direct = endpoint_paths.EndpointPaths()
        self.carriers = carriers.Carriers("a")
        self.peers = [
            peer_registry.NodeEntry("n1", "n1:1", "a", 1),
            peer_registry.NodeEntry("n2", "n2:1", "b", 1),
        ]
        self.ways = ways.Ways(self.direct, self.carriers, lambda: self.peers)
        for key in KEYS:
            self.direct.note_direct(key, False, CUT_S)
        assert self.direct.begin_probe(CUT_S)

    def refuse(self, now_s):
        """Let all peers refuse to carry to any endpoint."""
        for peer in self.peers:
            for key in KEYS:
                self.carriers.note_refused(_start(peer), key, now_s)

    def wait_s(self, now_s, needed_s=0.0):
        return self.ways.wait_s(KEYS, needed_s, now_s)


def _start(peer):
    return peer.node_id, peer.started_ms


@pytest.fixture
def node():
    return _Node()


def test_a_node_with_links_has_a_way(node):
    node.refuse(CUT_S)
    node.direct.note_direct(KEYS[0], True, CUT_S)
    assert node.wait_s(CUT_S) is None


def test_a_carrier_that_may_be_asked_is_a_way(node):
    node.carriers.note_unreachable(_start(node.peers[0]), CUT_S)
    assert node.wait_s(CUT_S) is None


def test_a_carrier_that_knows_one_of_the_endpoints_is_a_way(node):
    for peer in node.peers:
        node.carriers.note_refused(_start(peer), KEYS[0], CUT_S)
    assert node.wait_s(CUT_S) is None


def test_the_next_probe_may_open_the_direct_way(node):
    node.refuse(CUT_S)
    assert node.wait_s(CUT_S) == pytest.approx(INTERVAL_S)
    assert node.wait_s(CUT_S + 0.2) == pytest.approx(INTERVAL_S - 0.2)


def test_a_probe_that_is_due_takes_some_time(node):
    node.refuse(CUT_S)
    assert node.wait_s(CUT_S + INTERVAL_S) == ways.MIN_WAIT_S


def test_a_refusal_that_ends_before_the_next_probe_is_the_time(node):
    node.refuse(CUT_S)
    later_s = CUT_S + 0.8
    assert node.direct.begin_probe(later_s)
    left_s = carriers.PAUSE_S - 0.8
    assert left_s < INTERVAL_S
    assert node.wait_s(later_s) == pytest.approx(left_s)


def test_nodes_that_end_are_no_way(node):
    for peer in node.peers:
        node.carriers.note_leaving(_start(peer), 1.0, CUT_S)
    assert node.wait_s(CUT_S, needed_s=2.0) == pytest.approx(INTERVAL_S)
    assert node.wait_s(CUT_S, needed_s=0.5) is None


def test_without_other_nodes_only_a_probe_can_open_a_way(node):
    node.peers.clear()
    assert node.wait_s(CUT_S + 0.1) == pytest.approx(INTERVAL_S - 0.1)


def _last_refusal(node, outcome, now_s):
    """Return the refusal after the last attempt of a request."""
    scheduler = builders.a_scheduler(
        None, *(builders.entry(endpoint_id) for endpoint_id, _ in KEYS)
    )
    scheduler.ways = node.ways
    request = builders.admitted(scheduler, now_s=now_s)
    counts = runs.AttemptCounts(choices=6)
    return scheduler.may_retry(request, outcome, counts, now_s)


# Guards against callers of a node without any way who are told to come back
# before one can open (issue 46).
def test_the_refusal_tells_when_a_way_is_likely(node):
    node.refuse(CUT_S)
    refusal = _last_refusal(node, calls.Outcome.UNREACHED, CUT_S)
    assert refusal.reason is calls.RefusalReason.ENDPOINTS_FULL
    assert INTERVAL_S <= refusal.retry_after_s <= INTERVAL_S + SPREAD_S
    assert "a way is likely in 0.50 s" in refusal.detail


def test_other_refusals_keep_their_time(node):
    node.refuse(CUT_S)
    refusal = _last_refusal(node, calls.Outcome.NOT_RUN, CUT_S)
    assert refusal.retry_after_s < INTERVAL_S
    node.direct.note_direct(KEYS[0], True, CUT_S)
    refusal = _last_refusal(node, calls.Outcome.UNREACHED, CUT_S)
    assert refusal.retry_after_s < INTERVAL_S
