"""What a peer reports that can't be: refused with a log line."""

import pytest

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import permit_gate
from fireflypulley.core.gateway import sharing
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import permit_broker
from fireflypulley.nodes import codec
from fireflypulley.nodes import messages

from . import networks


@pytest.fixture
def lines(monkeypatch):
    """Return the lines that are logged from now on."""
    noted = []
    monkeypatch.setattr(
        decision_log, "note", lambda kind, **fields: noted.append(fields)
    )
    return noted


@pytest.fixture
def node():
    network = networks.Network(2)
    network.start()
    network.run(1.0)
    return network.nodes[min(network.nodes)]


# Guards against a peer's report that fills this node's bucket.
def test_a_total_below_nought_is_refused_with_a_line(node, lines):
    limiter = node.scheduler.limits.limiter
    ((_, before, _),) = limiter.levels(node.clock.seconds())
    (peer,) = node.peer_registry.node_ids
    for sequence, total in ((10**6, 1.0), (10**6 + 1, -1e6)):
        state = node_states.NodeState(
            peer, 1, sequence, {}, {"w": total}, {}, {}, {}
        )
        node.peer_sync.message_received(peer, messages.States((state,)))
    assert limiter.left("w") == before - 1.0
    assert [line["peer"] for line in lines if "detail" in line] == [peer]


def test_a_number_of_nodes_that_cannot_be_is_refused_with_a_line(
    node, lines, monkeypatch
):
    monkeypatch.setattr(
        node.peer_registry, "sharing_count", lambda now_s: 10**9
    )
    node.peer_sync.send_state()
    assert [line["detail"] for line in lines] == ["1000000000 nodes"]
    assert node.scheduler._sharing.count(node.clock.seconds()) == 2


NAN = float("nan")
LATE_MS = 10**15
"""Far in the future of every clock."""


def _state(peer, sequence, **fields):
    values = {
        "loads": {},
        "spent": {},
        "usage": {},
        "versions": {},
        "old_running": {},
    }
    incarnation = fields.pop("incarnation", 1)
    return node_states.NodeState(
        peer, incarnation, sequence, **(values | fields)
    )


def _receive(node, message):
    """Let a node receive a message as it comes over a stream."""
    (peer,) = node.peer_registry.node_ids
    reader = codec.Reader(codec.MAX_MESSAGE_BYTES)
    for received in reader.feed(codec.encode(message)):
        node.peer_sync.message_received(peer, received)


def _refused(lines):
    return [line for line in lines if line.get("state") == "refused"]


# Guards against a flag that is charged as an amount.
def test_a_flag_is_no_total(node, lines):
    limiter = node.scheduler.limits.limiter
    ((_, before, _),) = limiter.levels(node.clock.seconds())
    (peer,) = node.peer_registry.node_ids
    for sequence, total in ((10**6, 0.0), (10**6 + 1, True)):
        state = _state(peer, sequence, spent={"w": total})
        _receive(node, messages.States((state,)))
    assert limiter.left("w") == before
    assert len(_refused(lines)) == 1


# Guards against a report that hides what other nodes run at an endpoint, or
# that fills it for ever: both decide what a brittle one is sent.
@pytest.mark.parametrize(
    "load", [(-100, 0, 0), (0, -5, 0), (10**9, 0, 0), (True, 0, 0)]
)
def test_a_load_that_cannot_be_is_refused_with_a_line(node, lines, load):
    endpoint = fleet.Registration("e1", "s", "h:1", "a", "v", 4, started_ms=1)
    member = node.scheduler.fleet.put(endpoint, 0.0)
    (peer,) = node.peer_registry.node_ids
    state = _state(peer, 10**6, loads={"e1": load})
    _receive(node, messages.States((state,)))
    own = node.scheduler.loads.of(member)
    now_s = node.clock.seconds()
    assert own.total_running(now_s) == own.total_waiting_tokens(now_s) == 0
    assert len(_refused(lines)) == 1


# Guards against a state that makes all later ones of its node count as old:
# the node would be forgotten, and its part be used twice.
@pytest.mark.parametrize(
    "order", [(LATE_MS, 1), (-1, 1), (True, 10**6), (1, 2**63), (1, -1)]
)
def test_a_state_from_the_future_does_not_hide_its_node(node, lines, order):
    (peer,) = node.peer_registry.node_ids
    incarnation, sequence = order
    state = _state(peer, sequence, incarnation=incarnation)
    _receive(node, messages.States((state,)))
    assert len(_refused(lines)) == 1
    node.network.run(peer_registry.FORGET_AFTER_S + 1.0)
    assert node.peer_registry.sharing_count(node.clock.seconds()) == 2


# Guards against a node that loses its part since it said something odd.
def test_a_node_whose_states_are_refused_keeps_its_part(node, lines):
    (peer,) = node.peer_registry.node_ids
    node.network.kill(peer)
    for _ in range(70):
        node.network.run(1.0)
        state = _state(peer, 1, incarnation=LATE_MS)
        _receive(node, messages.States((state,)))
    assert node.peer_registry.sharing_count(node.clock.seconds()) == 2
    assert _refused(lines)


# Guards against an entry that makes each later start of its node count as
# old, with an address at which it is not.
@pytest.mark.parametrize("started_ms", [LATE_MS, -1, True])
def test_an_entry_from_the_future_is_refused_with_a_line(
    node, lines, started_ms
):
    (peer,) = node.peer_registry.node_ids
    entry = peer_registry.NodeEntry(peer, "h:9", "a", started_ms)
    _receive(node, messages.Introduction((entry,)))
    assert node.peer_registry.get(peer).address == f"{peer}:1"
    assert len(_refused(lines)) == 1


# Guards against made-up nodes, each of which would have a part.
def test_more_nodes_than_there_can_be_are_refused_with_a_line(node, lines):
    entries = tuple(
        peer_registry.NodeEntry(f"x{number}", "h:9", "a", 1)
        for number in range(sharing.MAX_NODES + 1)
    )
    _receive(node, messages.Introduction(entries))
    assert node.peer_registry.sharing_count(node.clock.seconds()) == 2
    assert len(_refused(lines)) == 1


BAD_LIMITS = [
    {"rate_per_s": NAN},
    {"rate_per_s": -1.0},
    {"rate_per_s": float("inf")},
    {"rate_per_s": True},
    {"revision": 2**64 - 1},
    {"revision": -1},
    {"started_ms": -1},
]


def _limit(**fields):
    values = {"started_ms": 1, "revision": 5, "rate_per_s": 1.0}
    return endpoint_limits.EndpointLimit("e1", **(values | fields))


# Guards against a limit that no later one replaces, and one that is none.
@pytest.mark.parametrize("fields", BAD_LIMITS)
def test_a_limit_that_cannot_be_is_refused_with_a_line(node, lines, fields):
    _receive(node, messages.LimitReports((_limit(**fields),)))
    assert not node.scheduler.limited.limits.known()
    assert len(_refused(lines)) == 1


# Guards against a permit for an endpoint whose limit is not known.
@pytest.mark.parametrize("fields", BAD_LIMITS)
def test_no_permit_is_issued_for_a_limit_that_cannot_be(
    node, lines, fields, monkeypatch
):
    node.holds = True
    sent = []
    monkeypatch.setattr(
        node.hub, "send_to", lambda node_ids, message: sent.append(message)
    )
    (peer,) = node.peer_registry.node_ids
    _receive(node, messages.PermitRequest(1, _limit(**fields), (peer,)))
    assert not sent
    assert not node.scheduler.limited.limits.known()
    assert len(_refused(lines)) == 1


# Guards against a time below nought that counts as a permit, and one that
# closes an endpoint for ever.
@pytest.mark.parametrize("wait_s", [-5.0, NAN, 1e300, True, False])
def test_a_time_that_cannot_be_is_no_permit(node, lines, wait_s, monkeypatch):
    (peer,) = node.peer_registry.node_ids
    sent = []
    monkeypatch.setattr(
        node.hub, "send_to", lambda node_ids, message: sent.append(message)
    )
    node.peer_sync.duty_claims.note(peer, True, node.clock.seconds())
    answers = []
    node.permits.request(_limit()).addCallback(answers.append)
    (asked,) = sent
    answer = messages.PermitResponse(asked.number, wait_s, peer, ())
    _receive(node, answer)
    assert not answers
    node.network.run(permit_broker.ASK_TIMEOUT_S + 0.05)
    (permit,) = answers
    assert permit.reason is permit_gate.PermitReason.UNANSWERED
    assert len(_refused(lines)) == 1
