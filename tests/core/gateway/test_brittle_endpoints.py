"""What nodes send to endpoints that fall over by refusing too much."""

import pytest

from fireflypulley.core.gateway import brittle_endpoints
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import runs

from . import builders

REFUSALS_PER_S = 4.0
SLOTS = 6
NODES = 9


@pytest.fixture
def member():
    return fleet.Member(
        fleet.Registration("e1", "s", "h:1", "a", "v", SLOTS, started_ms=1)
    )


@pytest.fixture
def node():
    brittle = brittle_endpoints.BrittleEndpoints("n1")
    brittle.note_answer("s", REFUSALS_PER_S, 0.0)
    return brittle


def _sent(nodes, member, running, seconds):
    """Return when which requests are sent by nodes that all want to."""
    sent = []
    for step in range(round(seconds * 100)):
        now_s = step / 100
        for node in nodes:
            node.note_answer("s", REFUSALS_PER_S, now_s)
            if node.may_send(member, running, len(nodes), now_s):
                node.note_sent(member, running, len(nodes), now_s)
                sent.append(now_s)
    return sent


def _most_in_a_second(sent):
    return max(
        (sum(at_s <= other < at_s + 1.0 for other in sent) for at_s in sent),
        default=0,
    )


def test_an_endpoint_with_room_takes_all(node, member):
    assert all(node.may_send(member, 0, NODES, 0.1) for _ in range(50))


def test_without_such_a_word_nothing_is_held_back(member):
    brittle = brittle_endpoints.BrittleEndpoints("n1")
    brittle.note_refused(member, 0.0)
    assert brittle.may_send(member, SLOTS, NODES, 0.1)


# Guards against endpoints that fall over, as all nodes together send more
# than they may refuse.
@pytest.mark.parametrize("count", [3, 6, 9])
def test_nodes_together_risk_no_more_than_may_be_refused(member, count):
    nodes = [
        brittle_endpoints.BrittleEndpoints(f"n{number}")
        for number in range(count)
    ]
    sent = _sent(nodes, member, SLOTS, 10.0)
    assert sent
    assert _most_in_a_second(sent) <= REFUSALS_PER_S


def test_a_refusal_closes_an_endpoint_that_seems_to_have_room(node, member):
    node.note_refused(member, 0.0)
    sent = _sent([node] * 1, member, 0, 1.0)
    assert _most_in_a_second(sent) <= REFUSALS_PER_S
    later_s = brittle_endpoints.REFUSAL_VALID_S
    assert all(node.may_send(member, 0, NODES, later_s) for _ in range(9))


def test_a_service_is_sound_again_when_no_answer_says_so(node, member):
    later_s = brittle_endpoints.NAMED_VALID_S
    assert node.refusals_per_s("s", later_s) is None
    assert node.may_send(member, SLOTS, NODES, later_s)


def test_news_is_told_once(node):
    assert not node.note_answer("s", REFUSALS_PER_S, 0.1)
    assert not node.note_answer("s", None, 0.2)
    assert node.note_answer("s", 2.0, 9.0)


def test_a_brittle_endpoint_that_is_full_gets_no_queue():
    """The scheduler refuses at once what could only wait there."""
    node_scheduler = builders.a_scheduler(None, builders.entry("e1"))
    node_scheduler.apply_document(builders.a_document(), 0.0)
    node_scheduler.set_node_counts(NODES, NODES, 0.0)
    node_scheduler.brittle.note_answer("s", 1.0, 0.0)
    slots = node_scheduler.fleet.get("e1").registration.slots
    begun = 0
    for number in range(4 * slots):
        metadata = calls.RequestMetadata(f"q{number}")
        request = node_scheduler.admit(metadata, "h", "/a/x", "", 0.1)
        run = node_scheduler.choose(request, frozenset(), 0.1)
        begun += isinstance(run, runs.Run)
    assert slots // 2 <= begun <= slots
    assert run.reason is calls.RefusalReason.ENDPOINTS_FULL
    assert run.retry_after_s
