"""Exchange of state between few and many nodes, also when partitioned."""

import pytest

from fireflypulley.core.gateway import loads
from fireflypulley.core.gateway import overlay
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import prompt_crashes

from ..core.gateway import builders
from . import networks

MANY = 60


@pytest.fixture(params=[9, MANY], ids=["few", "many"])
def network(request):
    nodes_network = networks.Network(request.param)
    nodes_network.start()
    nodes_network.run(3.0)
    return nodes_network


def _all_see_all(network):
    names = sorted(network.nodes)
    return all(node.alive == names for node in network.nodes.values())


def _non_relay_node(network):
    """Return a node that is not a relay, or any node in a mesh."""
    for node in network.nodes.values():
        if node.peer_sync.is_mesh or not node.peer_sync._overlay.is_relay:
            return node
    raise AssertionError("only relays")


def _relays(network):
    return sorted(_non_relay_node(network).peer_sync._overlay.relays)


def test_every_node_sees_every_other_alive(network):
    assert _all_see_all(network)
    network.run(5.0)
    assert _all_see_all(network)


def test_most_of_many_nodes_keep_two_streams():
    network = networks.Network(MANY)
    network.start()
    network.run(5.0)
    relays = _relays(network)
    for name, node in network.nodes.items():
        if name not in relays:
            assert len(node.hub.peers) == overlay.RELAYS_PER_NODE


def test_messages_per_node_hardly_grow_with_the_number_of_nodes():
    """The messages sent in total must not grow with the square of nodes."""
    sent = {}
    for count in (20, 80):
        network = networks.Network(count)
        network.start()
        network.run(5.0)
        before = sum(n.hub.messages_sent for n in network.nodes.values())
        network.run(5.0)
        after = sum(n.hub.messages_sent for n in network.nodes.values())
        sent[count] = (after - before) / count / 5.0
    assert sent[80] <= 2 * sent[20]
    assert sent[80] <= 40


def _remaining_limit(node):
    """Return a node's estimate of what is left of the shared limit."""
    bucket = node.scheduler.limits.limiter._buckets["w"]
    bucket.fill(node.clock.seconds())
    return bucket.level


def test_what_one_node_spends_is_charged_on_all(network):
    node = _non_relay_node(network)
    before = {
        name: _remaining_limit(other) for name, other in network.nodes.items()
    }
    now_s = network.clock.seconds()
    assert node.scheduler.limits.limiter.spend("w", 150.0, now_s) == 0.0
    network.run(1.0)
    for name, other in network.nodes.items():
        assert _remaining_limit(other) == pytest.approx(
            before[name] + 100.0 - 150.0
        )


def test_usage_of_all_nodes_is_known_on_each(network):
    for node in network.nodes.values():
        node.usage.count("w", 12.0)
    network.run(1.0)
    for node in network.nodes.values():
        assert node.usage.report(2).counts == {"w": len(network.nodes)}


def test_load_of_all_nodes_is_known_while_it_lasts(network):
    node = _non_relay_node(network)
    held = {"e": loads.ReportedLoad(3, 70)}
    node.scheduler.loads.own_loads = lambda now_s: held
    network.run(5.0)
    for other in network.nodes.values():
        if other is not node:
            state = other.peer_sync._states.get(node.node_id)
            assert state.loads == {"e": (3, 70, 0)}


def test_a_row_that_relays_read_is_known_on_all_at_once():
    network = networks.Network(MANY)
    network.start()
    network.run(3.0)
    relays = _relays(network)
    for name in relays:
        network.nodes[name].read_row(1)
    network.run(0.1)
    for node in network.nodes.values():
        assert node.follower.cache.version(networks.OPERATORS) == 1
    network.nodes[relays[0]].read_row(2)
    network.run(0.1)
    fed = [
        node
        for name, node in network.nodes.items()
        if relays[0] in node.hub.peers and name not in relays
    ]
    assert fed
    for node in fed:
        assert node.follower.cache.version(networks.OPERATORS) == 2


def test_few_of_many_nodes_read_the_store():
    network = networks.Network(MANY)
    network.start()
    network.run(3.0)
    fed = [n for n in network.nodes.values() if n.peer_sync.has_relay_feed]
    assert len(fed) == MANY - len(_relays(network))


def test_nodes_that_feed_others_notice_soon_that_the_store_is_away():
    network = networks.Network(MANY)
    network.start()
    network.run(3.0)
    feeding = {
        name
        for name, node in network.nodes.items()
        if node.peer_sync.feeds_others
    }
    assert feeding == set(_relays(network))
    few = networks.Network(9)
    assert not any(n.peer_sync.feeds_others for n in few.nodes.values())


def test_a_node_whose_relays_lost_the_store_reads_it_itself():
    network = networks.Network(MANY)
    network.start()
    network.run(3.0)
    node = _non_relay_node(network)
    for name in node.hub.peers:
        network.nodes[name].follower.health.note_failure("away")
    network.run(0.6)
    assert not node.peer_sync.has_relay_feed


def test_few_nodes_read_the_store_themselves():
    network = networks.Network(9)
    network.start()
    network.run(3.0)
    assert not any(
        node.peer_sync.has_relay_feed for node in network.nodes.values()
    )


def test_the_other_nodes_reconnect_when_most_relays_die():
    network = networks.Network(MANY)
    network.start()
    network.run(3.0)
    for name in _relays(network)[:-2]:
        network.kill(name)
    network.run(6.0)
    assert _all_see_all(network)


def test_a_new_node_is_seen_by_all(network):
    node = networks.Node(network, "x-new")
    for other in network.nodes.values():
        node.peer_registry.put(other.entry, network.clock.seconds())
    network.nodes["x-new"] = node
    node.start()
    network.run(3.0)
    assert _all_see_all(network)


@pytest.mark.parametrize("apart_s", [8.0, 30.0, 90.0])
def test_two_halves_see_each_other_again_after_a_partition(network, apart_s):
    names = sorted(network.nodes)
    half = set(names[: len(names) // 2])
    network.is_partitioned = lambda source, other: (
        (source in half) != (other in half)
    )
    network.run(apart_s)
    for name in names:
        alive = network.nodes[name].alive
        assert set(alive) <= (half if name in half else set(names) - half)
    network.is_partitioned = lambda source, other: False
    if apart_s > peer_registry.FORGET_AFTER_S:
        for node in network.nodes.values():
            for other in network.nodes.values():
                node.peer_registry.put(other.entry, network.clock.seconds())
    network.run(25.0)
    assert _all_see_all(network)


def test_a_fact_reaches_every_node(network):
    node = _non_relay_node(network)
    fact = node.scheduler.crash_tracker.crashed("f", network.clock.seconds())
    node.peer_sync.publish([fact])
    network.run(0.5)
    for other in network.nodes.values():
        assert other.scheduler.shared.get("suspicion", "f") == fact


def _a_crash(number):
    run = prompt_crashes.UnbegunRun("w", ("dd",))
    return prompt_crashes.CrashReport(f"e{number}", 1, "s", (run,))


def _is_refused(node):
    now_s = node.clock.seconds()
    crashes = node.scheduler.prompt_crashes
    return crashes.judge("w", frozenset({"dd"}), now_s) is not None


def _crash_three_times(network):
    """Crash endpoints under requests of three nodes, a second apart."""
    nodes = list(network.nodes.values())
    for number, node in enumerate((nodes[-1], nodes[-2], nodes[0])):
        report = _a_crash(number)
        node.scheduler.prompt_crashes.merge(report, network.clock.seconds())
        node.peer_sync.crashes.publish(report)
        network.run(0.5)
        now_s = network.clock.seconds()
        witness = nodes[number + 1]
        news = witness.scheduler.prompt_crashes.note_answered(
            "s", {"zz"}, now_s
        )
        witness.peer_sync.crashes.publish(*news)
        network.run(0.5)


def test_a_verdict_on_a_prompt_part_holds_on_every_node(network):
    _crash_three_times(network)
    assert all(_is_refused(node) for node in network.nodes.values())


# Guards against a starting node that crashes endpoints all over again.
def test_a_starting_node_knows_the_verdict_before_a_state(network):
    _crash_three_times(network)
    starting = network.add("n999", started_ms=2)
    starting.start()
    while not starting.peer_sync._has_heard_state:
        network.run(0.001, 0.001)
    assert _is_refused(starting)


def test_the_duty_claim_reaches_all_nodes(network):
    node = _non_relay_node(network)
    node.holds = True
    network.run(3.0)
    now_s = network.clock.seconds()
    for other in network.nodes.values():
        assert now_s - other.peer_sync.duty_claims.claimed_s < 1.5


def test_much_spending_is_sent_before_the_next_interval():
    network = networks.Network(9)
    network.start()
    network.run(3.0)
    network.run(0.06, 0.005)
    node = _non_relay_node(network)
    now_s = network.clock.seconds()
    assert node.scheduler.limits.limiter.spend("w", 50.0, now_s) == 0.0
    assert node.scheduler.limits.has_urgent_update
    node.peer_sync.send_state_early()
    network.run(0.05, 0.005)
    for other in network.nodes.values():
        if other is not node:
            state = other.peer_sync._states.get(node.node_id)
            assert state.spent == {"w": 50.0}


def test_many_nodes_that_all_spend_much_send_no_more_for_it():
    network = networks.Network(MANY)
    network.start()
    network.run(3.0)

    def sent():
        return sum(node.hub.messages_sent for node in network.nodes.values())

    before = sent()
    network.run(2.0)
    quiet = sent() - before
    for _ in range(40):
        for node in network.nodes.values():
            node.scheduler.limits.limiter.spend(
                "w", 1.0, network.clock.seconds()
            )
            node.scheduler.limits.limiter._unreported = 1000.0
            node.peer_sync.send_state_early()
        network.run(0.05)
    assert sent() - before - quiet <= 1.1 * quiet


def test_what_a_relay_sends_stays_small():
    """Eighty nodes report load on an endpoint in each interval."""
    network = networks.Network(80)
    network.start()
    for node in network.nodes.values():
        held = {"i-0123456789": loads.ReportedLoad(1, 900)}
        node.scheduler.loads.own_loads = lambda now_s, held=held: held
    network.run(3.0)
    relay = network.nodes[_relays(network)[0]]
    before = relay.hub.bytes_sent, relay.hub.messages_sent
    network.run(2.0)
    sent = relay.hub.bytes_sent - before[0]
    assert sent / (relay.hub.messages_sent - before[1]) < 8_000


def test_nodes_find_each_other_though_all_are_slow_to_answer():
    """For example when all nodes have just started and are busy loading."""
    network = networks.Network(MANY, delay_s=0.6)
    network.start()
    network.run(10.0)
    for node in network.nodes.values():
        assert len(node.alive) > MANY / 2


def _lose_store(nodes):
    for node in nodes:
        node.follower.health.note_failure("no answer")


def test_a_store_that_no_node_reaches_is_in_outage(network):
    node = _non_relay_node(network)
    _lose_store(network.nodes.values())
    network.run(1.0)
    assert node.peer_sync.peers_lost_store


def test_a_store_that_one_node_reaches_is_not_in_outage():
    network = networks.Network(9)
    network.start()
    network.run(3.0)
    nodes = list(network.nodes.values())
    _lose_store(nodes[:-1])
    network.run(1.0)
    assert not nodes[0].peer_sync.peers_lost_store


def test_a_minority_of_nodes_detects_no_outage():
    network = networks.Network(9)
    network.start()
    network.run(3.0)
    nodes = list(network.nodes.values())
    for node in nodes[4:]:
        network.kill(node.node_id)
    _lose_store(nodes[:4])
    network.run(3.0)
    assert not nodes[0].peer_sync.peers_lost_store


def _say_leaving(node, endpoint_id):
    """Let an answer to a request of a node say that its endpoint leaves."""
    now_s = node.clock.seconds()
    report = node.scheduler.leaving.note_answer((endpoint_id, 1), now_s)
    node.peer_sync.leaving.publish(report)


def _uses(node, endpoint_id):
    known = node.scheduler.fleet
    return known.is_in_use(known.get(endpoint_id), node.clock.seconds())


# Guards against nodes that go on using an endpoint of which another node
# knows that it leaves, while the store is away.
def test_an_endpoint_that_says_leaving_to_one_node_leaves_for_all(network):
    for node in network.nodes.values():
        node.scheduler.fleet.put(builders.entry("e1"), network.clock.seconds())
    _say_leaving(_non_relay_node(network), "e1")
    network.run(0.5)
    assert not any(_uses(node, "e1") for node in network.nodes.values())


def test_a_starting_node_knows_who_leaves_before_a_state(network):
    _say_leaving(next(iter(network.nodes.values())), "e1")
    network.run(0.5)
    starting = network.add("n999", started_ms=2)
    starting.scheduler.fleet.put(builders.entry("e1"), network.clock.seconds())
    starting.start()
    while not starting.peer_sync._has_heard_state:
        network.run(0.001, 0.001)
    assert not _uses(starting, "e1")
