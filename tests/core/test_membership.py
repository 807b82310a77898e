"""Tests of the nodes considered alive and of the choice of peers."""

from fireflypulley.core import facts
from fireflypulley.core import membership
from fireflypulley.core import peer_handler
from fireflypulley.core import topology


def _node(name: str, domain: str = "a") -> topology.Node:
    return topology.Node(name, f"{name}:1", domain)


class _Members(membership.Membership):
    """A membership whose facts are accessible to the test."""

    def __init__(self) -> None:
        self.facts = facts.SharedState()
        super().__init__(_node("n1"), 1, self.facts)
        self.set_listed_nodes(tuple(_node(f"n{i}") for i in range(1, 4)))

    def record_disconnect(self, node_id: str, now_s: float) -> None:
        self.facts.merge(self.disconnect(node_id, now_s), now_s)


def test_lost_peer_is_down_and_returns_with_its_stream():
    members = _Members()
    members.connect("n2", 5, 0.0)
    members.record_disconnect("n2", 1.0)
    assert members.alive(1.0) == ["n1", "n3"]
    fact = members.connect("n2", 5, 2.0)
    members.facts.merge(fact, 2.0)
    assert members.alive(2.0) == ["n1", "n2", "n3"]


def test_peer_lost_twice_is_down_twice():
    members = _Members()
    members.connect("n2", 5, 0.0)
    members.record_disconnect("n2", 1.0)
    members.facts.merge(members.connect("n2", 5, 2.0), 2.0)
    members.record_disconnect("n2", 3.0)
    assert members.is_down("n2", 3.0)


def test_node_believed_down_is_still_dialed():
    members = _Members()
    members.connect("n2", 5, 0.0)
    members.record_disconnect("n2", 1.0)
    assert "n2" in members.wanted_peers(1.0)


def test_silent_peer_times_out():
    members = _Members()
    members.connect("n2", 5, 0.0)
    for tick in range(40):
        timed_out = members.timed_out_peers(tick * 0.1)
    assert timed_out == ["n2"]


def test_paused_node_times_out_no_peers():
    members = _Members()
    members.connect("n2", 5, 0.0)
    assert members.timed_out_peers(0.1) == []
    assert members.timed_out_peers(60.0) == []


def test_down_fact_expires():
    members = _Members()
    members.connect("n2", 5, 0.0)
    members.record_disconnect("n2", 1.0)
    assert not members.is_down("n2", 1.1 + membership.DOWN_TTL_S)


def test_node_refutes_its_own_death():
    members = _Members()
    refuted = members.refute(facts.NodeDown("n1", 1, True, 99.0))
    assert refuted == facts.NodeDown("n1", 2, False, 99.0)
    assert members.refute(facts.NodeDown("n1", 1, True, 99.0)) is None


def test_few_peers_some_in_other_domains():
    members = membership.Membership(_node("n0"), 1, facts.SharedState())
    nodes = [_node(f"n{i}", "ab"[i % 2]) for i in range(40)]
    members.set_listed_nodes(tuple(nodes))
    wanted = members.wanted_peers(0.0)
    domains = [members.node(n).failure_domain for n in wanted]
    assert len(wanted) == membership.DIALED_PEERS
    assert set(domains) == {"a", "b"}


def test_peer_graph_of_390_nodes_is_connected():
    nodes = tuple(_node(f"n{i}", f"d{i % 11}") for i in range(390))
    edges: dict[str, set[str]] = {node.node_id: set() for node in nodes}
    for node in nodes:
        members = membership.Membership(node, 1, facts.SharedState())
        members.set_listed_nodes(nodes)
        for other in members.wanted_peers(0.0):
            edges[node.node_id].add(other)
            edges[other].add(node.node_id)
    seen, frontier = {"n0"}, ["n0"]
    while frontier:
        frontier = [
            n for current in frontier for n in edges[current] if n not in seen
        ]
        seen.update(frontier)
    assert len(seen) == 390


def _report_missing(members, from_s, to_s):
    """Let a node report its missing peers for some time."""
    wanted = members.wanted_peers(from_s)
    now_s = from_s
    while now_s < to_s:
        members.timed_out_peers(now_s)
        for fact in members.missing_peers(wanted, now_s):
            members.facts.merge(fact, now_s)
        now_s += 0.1


# Guards against a dead node that counts as alive, and owns keys and budgets:
# it was lost before it had a stream to any other node.
def test_a_listed_node_that_never_comes_up_is_down():
    members = _Members()
    members.connect("n2", 5, 0.0)
    _report_missing(members, 0.0, 2.5)
    assert members.alive(2.5) == ["n1", "n2", "n3"]
    _report_missing(members, 2.5, 6.0)
    assert members.alive(6.0) == ["n1", "n2"]
    members.facts.merge(members.connect("n3", 7, 6.0), 6.0)
    assert members.alive(6.0) == ["n1", "n2", "n3"]


def test_a_node_that_others_reach_is_not_reported_again():
    members = _Members()
    _report_missing(members, 0.0, 6.0)
    refuted = facts.NodeDown("n3", 9, False, 6.0 + membership.DOWN_TTL_S)
    assert members.facts.merge(refuted, 6.0)
    _report_missing(members, 6.0, 20.0)
    assert "n3" in members.alive(20.0)


def test_a_paused_node_reports_no_missing_peers():
    members = _Members()
    _report_missing(members, 0.0, 2.0)
    _report_missing(members, 10.0, 12.0)
    assert members.alive(12.0) == ["n1", "n2", "n3"]


# Guards against a node that is believed down by all who have no stream to it,
# since one of them can't reach it.
def test_a_node_refutes_a_report_by_who_never_met_it():
    members = _Members()
    fact = members.refute(facts.NodeDown("n1", 0, True, 60.0))
    assert (fact.incarnation, fact.down) == (1, False)


def _run(members, from_s, to_s):
    """Let a node work for some time; return when others came to live."""
    now_s, found, next_expiry_s = from_s, [], from_s
    while now_s < to_s:
        members.timed_out_peers(now_s)
        wanted = members.wanted_peers(now_s)
        for fact in members.missing_peers(wanted, now_s):
            members.facts.merge(fact, now_s)
        if now_s >= next_expiry_s:
            members.facts.expire(now_s)
            next_expiry_s += peer_handler.EXPIRY_PERIOD_S
        if "n2" in members.alive(now_s):
            found.append(now_s)
        now_s += 0.5
    return found


# Guards against a dead node that counts as alive again each minute, owns keys
# and budgets then, and keeps its jobs.
def test_a_node_that_stays_down_counts_as_down():
    members = _Members()
    members.connect("n2", 5, 0.0)
    members.record_disconnect("n2", 1.0)
    assert _run(members, 1.5, 400.0) == []


def test_a_node_that_comes_back_after_long_is_alive():
    members = _Members()
    members.connect("n2", 5, 0.0)
    members.record_disconnect("n2", 1.0)
    _run(members, 1.5, 200.0)
    members.facts.merge(members.connect("n2", 6, 200.0), 200.0)
    assert "n2" in members.alive(201.0)
    _run(members, 201.0, 400.0)
    assert "n2" in members.alive(400.0)


# Guards against the same where no node would dial it: its own dials made all
# streams to it.
def test_one_node_dials_a_node_that_is_down_and_nobody_wants():
    nodes = tuple(_node(f"n{i}", f"d{i % 3}") for i in range(100))
    views = []
    for node in nodes:
        members = membership.Membership(node, 1, facts.SharedState())
        members.set_listed_nodes(nodes)
        views.append(members)
    wanted = {one for view in views for one in view.wanted_peers(0.0)}
    unwanted = next(n.node_id for n in nodes if n.node_id not in wanted)
    down = facts.NodeDown(unwanted, 5, True, membership.DOWN_TTL_S)
    others = [n for n, one in zip(views, nodes) if one.node_id != unwanted]
    for view in others:
        view._shared.merge(down, 0.0)
    dialing = [n for n in others if unwanted in n.wanted_peers(1.0)]
    assert len(dialing) == 1


def test_a_renewed_report_takes_the_place_of_the_first():
    shared = facts.SharedState()
    assert shared.merge(facts.NodeDown("n2", 5, True, 60.0), 0.0)
    assert shared.merge(facts.NodeDown("n2", 5, True, 91.0), 31.0)
    assert not shared.merge(facts.NodeDown("n2", 5, True, 60.0), 32.0)
    assert shared.merge(facts.NodeDown("n2", 6, False, 50.0), 33.0)


# All peers of a node that dies report it at nearly the same time.
def test_reports_of_one_death_are_spread_once():
    shared = facts.SharedState()
    assert shared.merge(facts.NodeDown("n2", 5, True, 61.0), 1.0)
    assert not shared.merge(facts.NodeDown("n2", 5, True, 61.2), 1.2)
