"""Permits given by all nodes together, few and many, through faults.

Each test counts what all nodes give for one endpoint, as the endpoint
would count the requests.
"""

import random

import pytest

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.gateway import permit_broker

from . import networks

FEW = 6
MANY = 80
WINDOW_S = 4.0
OVERSHOOT = 1.5
SLACK = 5
STEP_S = 0.02


class Load:
    """Requests of all nodes for permits of one endpoint."""

    def __init__(self, network, rate_per_s, requests_per_s=200.0):
        self._network = network
        self._chance = random.Random(len(network.nodes))
        self._per_step = requests_per_s * STEP_S
        self.limit = endpoint_limits.EndpointLimit("e1", 1, 1, rate_per_s)
        self.given_s = []
        self.reasons = set()
        self._closed_until_s = {}

    def _ask(self, node):
        now_s = self._network.clock.seconds()
        if now_s < self._closed_until_s.get(node.node_id, 0.0):
            return
        node.permits.request(self.limit).addCallback(self._answered, node)

    def _answered(self, permit, node):
        now_s = self._network.clock.seconds()
        self.reasons.add(permit.reason.value)
        if permit.is_given:
            self.given_s.append(now_s)
        else:
            self._closed_until_s[node.node_id] = now_s + permit.wait_s

    def run(self, seconds):
        nodes = list(self._network.nodes.values())
        for _ in range(round(seconds / STEP_S)):
            self._network.clock.advance(STEP_S)
            asking = self._per_step + self._chance.random()
            for _ in range(int(asking)):
                self._ask(self._chance.choice(nodes))

    @property
    def most_in_a_window(self):
        return max(
            (
                sum(first <= one < first + WINDOW_S for one in self.given_s)
                for first in self.given_s
            ),
            default=0,
        )

    @property
    def allowed(self):
        return OVERSHOOT * self.limit.rate_per_s * WINDOW_S + SLACK


def _started(count):
    network = networks.Network(count)
    holder = network.nodes["n001"]
    holder.holds = True
    network.start()
    network.run(3.0)
    return network, holder


@pytest.mark.parametrize(
    ("count", "rate_per_s"),
    [
        (1, 1.0),
        (FEW, 0.5),
        (FEW, 1.0),
        (FEW, 20.0),
        (MANY, 1.0),
        (MANY, 20.0),
    ],
)
def test_all_nodes_together_keep_and_use_a_limit(count, rate_per_s):
    network = networks.Network(count)
    holder = network.nodes[f"n{min(1, count - 1):03}"]
    holder.holds = True
    network.start()
    network.run(3.0)
    load = Load(network, rate_per_s)
    load.run(20.0)
    assert load.most_in_a_window <= load.allowed
    assert len(load.given_s) >= 0.8 * rate_per_s * 20.0 - 2


@pytest.mark.parametrize("count", [FEW, MANY])
def test_a_killed_holder_s_permits_are_replaced_by_parts(count):
    network, _ = _started(count)
    load = Load(network, 2.0)
    load.run(6.0)
    network.kill("n001")
    load.run(12.0)
    successor = network.nodes["n002"]
    successor.holds = True
    before = len(load.given_s)
    load.run(8.0)
    assert load.most_in_a_window <= load.allowed
    assert len(load.given_s) - before >= 8
    assert {"part", "issued"} <= load.reasons


@pytest.mark.parametrize("count", [FEW, MANY])
def test_without_a_holder_the_parts_stay_below_the_limit(count):
    network = networks.Network(count)
    network.start()
    network.run(5.0)
    load = Load(network, 1.0)
    load.run(180.0 / count + 25.0)
    assert load.most_in_a_window <= load.allowed
    assert load.given_s


@pytest.mark.parametrize("count", [FEW, MANY])
def test_two_halves_together_keep_the_limit(count):
    network, _ = _started(count)
    names = sorted(network.nodes)
    half = set(names[: count // 2])
    load = Load(network, 5.0)
    load.run(4.0)
    network.is_partitioned = lambda source, target: (
        (source in half) != (target in half)
    )
    load.run(12.0)
    network.is_partitioned = lambda source, target: False
    load.run(10.0)
    assert load.most_in_a_window <= load.allowed


def test_a_holder_without_a_stream_is_asked_through_relays():
    network, holder = _started(MANY)
    distant = [
        node
        for node in network.nodes.values()
        if "n001" not in node.hub.peers and node is not holder
    ]
    limit = endpoint_limits.EndpointLimit("e1", 1, 1, 1000.0)
    holder.permits.request(limit)
    network.run(0.1)
    answers = []
    for node in distant[:20]:
        node.permits.request(limit).addCallback(answers.append)
    network.run(0.4, STEP_S)
    assert len(distant) > MANY // 2
    assert [permit.issuer for permit in answers] == ["n001"] * 20
    assert all(permit.is_given for permit in answers)


def test_a_node_that_lost_the_holder_alone_uses_its_part():
    network, _ = _started(FEW)
    network.is_partitioned = lambda source, target: (
        {source, target} == {"n000", "n001"}
    )
    network.close("n000", "n001")
    load = Load(network, 6.0)
    load.run(20.0)
    assert load.most_in_a_window <= load.allowed
    assert {"part", "issued"} <= load.reasons


def test_a_request_that_comes_on_two_ways_gets_one_permit():
    network, holder = _started(FEW)
    load = Load(network, 1.0)
    load.run(2.0)
    network.run(0.5)
    issued = []
    broker = holder.permits
    broker._issuer.issue = lambda *words: issued.append(words) or 0.0
    other = network.nodes["n003"]
    other.permits._links.next_hops = lambda node_id: ["n001", "n002"]
    other.permits.request(load.limit)
    network.run(0.1)
    assert len(issued) == 1


# Guards against a restarted node whose requests pass for ones of before.
# Guards against sides of a partition that forget each other and each take
# the whole limit.
def test_two_halves_keep_the_limit_through_a_long_partition():
    network, _ = _started(FEW)
    half = set(sorted(network.nodes)[: FEW // 2])
    load = Load(network, 5.0)
    load.run(4.0)
    network.is_partitioned = lambda source, target: (
        (source in half) != (target in half)
    )
    load.run(50.0)
    assert load.most_in_a_window <= load.allowed
    assert {"part", "issued"} <= load.reasons


def test_a_node_that_restarts_under_its_name_gets_permits():
    network, _ = _started(FEW)
    limit = endpoint_limits.EndpointLimit("e1", 1, 1, 50.0)
    answers = []
    for started_ms in (2, 3):
        node = network.nodes["n003"]
        for _ in range(3):
            node.permits.request(limit).addCallback(answers.append)
            network.run(0.3)
        network.kill("n003")
        network.add("n003", started_ms).start()
        network.run(2.0)
    reasons = [permit.reason.value for permit in answers]
    assert "unanswered" not in reasons
    assert reasons.count("issued") >= 4


def test_a_silent_holder_costs_a_request_little_time():
    network, _ = _started(FEW)
    network.is_partitioned = lambda source, target: target == "n001"
    answers = []
    limit = endpoint_limits.EndpointLimit("e1", 1, 1, 50.0)
    network.nodes["n003"].permits.request(limit).addCallback(answers.append)
    network.run(permit_broker.ASK_TIMEOUT_S + 0.05)
    (permit,) = answers
    assert not permit.is_given
    assert permit.reason.value == "unanswered"


def test_a_node_that_knows_no_other_node_gives_nothing():
    network = networks.Network(1)
    node = network.nodes["n000"]
    broker = permit_broker.PermitBroker(
        network.clock, node.scheduler, lambda: 1
    )
    answers = []
    limit = endpoint_limits.EndpointLimit("e1", 1, 1, 50.0)
    broker.request(limit).addCallback(answers.append)
    assert [permit.is_given for permit in answers] == [False]


@pytest.mark.parametrize("count", [FEW, MANY])
def test_a_limit_and_its_end_are_known_on_all_nodes_at_once(count):
    network, holder = _started(count)
    for revision, rate_per_s in ((1, 2.0), (2, 5.0), (3, None)):
        node = network.nodes[f"n{count - revision:03}"]
        now_s = network.clock.seconds()
        limit = endpoint_limits.EndpointLimit("e1", 1, revision, rate_per_s)
        node.scheduler.limited.limits.merge(limit, now_s)
        node.peer_sync.limits.publish(limit)
        # A leaf's report takes three hops, each a step of this clock.
        network.run(0.2)
        for other in network.nodes.values():
            known = other.scheduler.limited.limits.of(("e1", 1))
            assert (known and known.rate_per_s) == rate_per_s
    joined = networks.Node(network, "x-new")
    for other in network.nodes.values():
        joined.peer_registry.put(other.entry, network.clock.seconds())
    network.nodes["x-new"] = joined
    joined.start()
    assert joined.scheduler.nodes_known == count + 1
    assert not joined.peer_sync.has_heard_peers
    while not joined.peer_sync.has_heard_peers:
        network.run(0.005, 0.001)
    assert joined.scheduler.limited.limits.known()
