"""The states of nodes that carry for a node without links of its own."""

import copy
import random

import pytest

from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import peer_registry

State = carriers.CarrierState
E1, E2 = ("e1", 1), ("e2", 1)
GRACE_S = 7.5


def _peer(name, domain="a", started_ms=1):
    return peer_registry.NodeEntry(name, f"{name}:1", domain, started_ms)


def _start(peer):
    return peer.node_id, peer.started_ms


@pytest.fixture
def known():
    return carriers.Carriers("a")


N1, N2, N3 = _peer("n1"), _peer("n2"), _peer("n3", "b")


def _order(known, now_s, peers=(N1, N2, N3), needed_s=0.0, endpoint=E1):
    in_order = known.in_order(list(peers), endpoint, needed_s, now_s)
    return [peer.node_id for peer in in_order]


def test_the_own_failure_domain_comes_first(known):
    assert _order(known, 1.0, [N3, N2, N1]) == ["n2", "n1", "n3"]


def test_a_node_that_opened_a_tunnel_carries(known):
    assert known.state_of(_start(N1), 1.0) is State.NEW
    known.note_carried(_start(N1), 1.0)
    assert known.state_of(_start(N1), 1.0) is State.CARRYING


def test_nodes_that_stay_are_asked_before_those_that_leave(known):
    known.note_leaving(_start(N1), 5.0, 1.0)
    known.note_leaving(_start(N2), 7.0, 1.0)
    assert _order(known, 1.0) == ["n3", "n2", "n1"]


def test_a_leaving_node_is_not_asked_for_what_outlasts_it(known):
    known.note_leaving(_start(N1), 3.0, 1.0)
    assert _order(known, 1.0, [N1], needed_s=2.9) == ["n1"]
    assert _order(known, 2.0, [N1], needed_s=2.9) == []


def test_a_node_that_left_is_gone_until_its_next_start(known):
    known.note_leaving(_start(N1), 3.0, 1.0)
    assert known.state_of(_start(N1), 4.0) is State.GONE
    assert _order(known, 90.0, [N1]) == []
    assert _order(known, 4.0, [_peer("n1", started_ms=2)]) == ["n1"]


def test_an_older_node_that_stops_tells_no_time(known):
    known.note_leaving(_start(N1), None, 1.0)
    assert known.state_of(_start(N1), 1.0) is State.GONE


def test_a_node_that_was_not_reached_is_asked_again_later(known):
    known.note_unreachable(_start(N1), 1.0)
    assert _order(known, 1.5, [N1]) == []
    assert _order(known, 1.0 + carriers.PAUSE_S, [N1]) == ["n1"]


def test_a_leaving_node_that_was_not_reached_still_leaves(known):
    known.note_leaving(_start(N1), 5.0, 1.0)
    known.note_unreachable(_start(N1), 1.5)
    assert known.state_of(_start(N1), 2.0) is State.GONE
    assert known.state_of(_start(N1), 2.6) is State.LEAVING
    assert known.state_of(_start(N1), 6.0) is State.GONE


def test_a_tunnel_that_opened_late_does_not_undo_a_stop(known):
    known.note_leaving(_start(N1), 5.0, 1.0)
    known.note_carried(_start(N1), 1.1)
    assert known.state_of(_start(N1), 1.1) is State.LEAVING


def test_news_of_an_earlier_start_changes_nothing(known):
    restarted = _peer("n1", started_ms=2)
    known.note_carried(_start(restarted), 1.0)
    known.note_leaving(_start(N1), 5.0, 1.1)
    known.note_unreachable(_start(N1), 1.2)
    assert known.state_of(_start(restarted), 1.2) is State.CARRYING
    assert known.state_of(_start(N1), 1.2) is State.GONE


def test_a_refusal_concerns_one_endpoint(known):
    known.note_refused(_start(N1), E1, 1.0)
    assert _order(known, 1.5, [N1]) == []
    assert _order(known, 1.5, [N1], endpoint=E2) == ["n1"]
    assert _order(known, 1.0 + carriers.PAUSE_S, [N1]) == ["n1"]


def _asked_from_s(known, now_s, peers=(N1, N2), needed_s=0.0):
    return known.asked_from_s(list(peers), [E1], needed_s, now_s)


def test_the_first_node_to_be_asked_again_gives_the_time(known):
    assert _asked_from_s(known, 1.0) == 1.0
    known.note_unreachable(_start(N1), 1.0)
    assert _asked_from_s(known, 1.2) == 1.2
    known.note_refused(_start(N2), E1, 1.2)
    assert _asked_from_s(known, 1.3) == 1.0 + carriers.PAUSE_S
    assert _asked_from_s(known, 1.3, [N2]) == 1.2 + carriers.PAUSE_S


def test_the_first_of_several_endpoints_gives_the_time(known):
    known.note_refused(_start(N1), E1, 1.0)
    assert known.asked_from_s([N1], [E1, E2], 0.0, 1.1) == 1.1
    known.note_refused(_start(N1), E2, 1.5)
    again_s = 1.0 + carriers.PAUSE_S
    assert known.asked_from_s([N1], [E1, E2], 0.0, 1.6) == again_s
    assert known.asked_from_s([N1], [], 0.0, 1.6) == float("inf")


def test_a_node_that_has_ended_is_never_asked_again(known):
    known.note_leaving(_start(N1), 3.0, 1.0)
    assert _asked_from_s(known, 2.0, [N1]) == 2.0
    assert _asked_from_s(known, 2.0, [N1], needed_s=2.5) == float("inf")
    assert _asked_from_s(known, 4.0, [N1]) == float("inf")
    assert _asked_from_s(known, 4.0, []) == float("inf")


def test_a_pause_that_outlasts_a_leaving_node_ends_too_late(known):
    known.note_leaving(_start(N1), 1.2, 1.0)
    known.note_unreachable(_start(N1), 1.1)
    assert _asked_from_s(known, 1.2, [N1]) == float("inf")


class _Node:
    """A node as it is, and what it has told the node without links."""

    def __init__(self, name, domain):
        self.name = name
        self.domain = domain
        self.started_ms = 1
        self.stops_at_s = None
        self.is_up = True
        self.cut_until_s = 0.0

    @property
    def entry(self):
        return _peer(self.name, self.domain, self.started_ms)

    def answer(self, now_s):
        """Return what a request for a tunnel meets."""
        if not self.is_up or now_s < self.cut_until_s:
            return "unreachable"
        if self.stops_at_s is None:
            return "open"
        left_s = self.stops_at_s - now_s
        return "leaving" if left_s >= carriers.MIN_CARRY_S else "refused"


class _Model:
    """Nodes that join, stop, restart and are cut off in random order."""

    def __init__(self, seed):
        self.chance = random.Random(seed)
        self.known = carriers.Carriers("a")
        self.now_s = 100.0
        self.nodes = [
            _Node(f"n{number}", self.chance.choice("abc"))
            for number in range(self.chance.randint(1, 6))
        ]

    def step(self):
        self.now_s += self.chance.choice([0.01, 0.1, 0.4, 1.1])
        for node in self.nodes:
            if node.stops_at_s is not None and self.now_s >= node.stops_at_s:
                node.is_up = False
        node = self.chance.choice(self.nodes)
        self.chance.choice([self.stop, self.start, self.cut, self.end])(node)

    def stop(self, node):
        """Let a node stop, and perhaps tell of it."""
        if not node.is_up or node.stops_at_s is not None:
            return
        node.stops_at_s = self.now_s + GRACE_S
        if self.chance.random() < 0.5 and self.now_s >= node.cut_until_s:
            start = _start(node.entry)
            self.known.note_leaving(start, GRACE_S, self.now_s)

    def start(self, node):
        if not node.is_up:
            node.is_up = True
            node.stops_at_s = None
            node.started_ms += 1

    def cut(self, node):
        node.cut_until_s = self.now_s + self.chance.choice([0.2, 1.0, 3.0])

    def end(self, node):
        """Kill a node, or let one that stops end early."""
        if self.chance.random() < 0.3:
            node.is_up = False

    def ask(self, needed_s):
        """Ask as the dialer does; return the nodes asked and the answer."""
        peers = [node.entry for node in self.nodes]
        self.chance.shuffle(peers)
        asked = []
        by_name = {node.name: node for node in self.nodes}
        for peer in self.known.in_order(peers, E1, needed_s, self.now_s):
            node, start = by_name[peer.node_id], _start(peer)
            asked.append(node)
            answer = node.answer(self.now_s)
            if answer == "unreachable":
                self.known.note_unreachable(start, self.now_s)
            elif answer == "refused":
                self.known.note_refused(start, E1, self.now_s)
            elif answer == "open":
                self.known.note_carried(start, self.now_s)
                return asked, answer
            else:
                left_s = node.stops_at_s - self.now_s
                self.known.note_leaving(start, left_s, self.now_s)
                if left_s >= needed_s:
                    return asked, answer
        return asked, None


def _check_ask(model, needed_s):
    states = {
        node.name: model.known.state_of(_start(node.entry), model.now_s)
        for node in model.nodes
    }
    told = {name for name, s in states.items() if s is State.LEAVING}
    asked, answer = model.ask(needed_s)
    # No node is asked twice, nor one that is known to be gone.
    assert len({node.name for node in asked}) == len(asked)
    assert all(states[node.name] is not State.GONE for node in asked)
    # One that is known to leave is asked after all that may stay.
    ranks = [node.name in told for node in asked]
    assert ranks == sorted(ranks)
    return answer


# Guards against callers who are told to come back too early or too late.
@pytest.mark.parametrize("seed", range(200))
def test_a_node_is_asked_from_the_time_told_whatever_happened(seed):
    model = _Model(seed)
    for _ in range(60):
        model.step()
        needed_s = model.chance.choice([0.0, 0.5, 4.0])
        if model.ask(needed_s)[1] is not None:
            continue
        peers = [node.entry for node in model.nodes]
        told_s = model.known.asked_from_s(peers, [E1], needed_s, model.now_s)
        until_s = min(told_s, model.now_s + 2 * GRACE_S)
        known = copy.deepcopy(model.known)
        assert not known.in_order(peers, E1, needed_s, until_s - 0.001)
        assert bool(known.in_order(peers, E1, needed_s, until_s)) == (
            told_s == until_s
        )


# Guards against a node that is passed over for good, or asked in vain, in
# an order of joins, stops and cuts that nobody thought of.
@pytest.mark.parametrize("seed", range(200))
def test_a_way_is_found_whatever_happened_before(seed):
    model = _Model(seed)
    for _ in range(60):
        model.step()
        _check_ask(model, model.chance.choice([0.0, 0.5, 4.0]))
    # Once a pause has passed, each node that can carry is found.
    model.now_s += carriers.PAUSE_S
    for needed_s in (0.0, 2.0):
        can_carry = [
            node
            for node in model.nodes
            if node.answer(model.now_s) == "open"
            or node.answer(model.now_s) == "leaving"
            and node.stops_at_s - model.now_s >= needed_s
        ]
        answer = _check_ask(model, needed_s)
        assert (answer is not None) == bool(can_carry)
        model.now_s += carriers.PAUSE_S


# Guards against a start that is asked again after it has said when it ends.
@pytest.mark.parametrize("seed", range(50))
def test_no_start_returns_from_its_end(seed):
    model = _Model(seed)
    ends_s = {}
    for _ in range(80):
        model.step()
        model.ask(0.0)
        for node in model.nodes:
            start = _start(node.entry)
            state = model.known.state_of(start, model.now_s)
            if state is State.LEAVING:
                ends_s[start] = node.stops_at_s
        for start, end_s in ends_s.items():
            if model.now_s > end_s + 0.001:
                state = model.known.state_of(start, model.now_s)
                assert state is State.GONE
