"""What a peer reports that can't be: refused with a log line."""

import pytest

from fireflypulley.core.gateway import node_states
from fireflypulley.gateway import decision_log
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
