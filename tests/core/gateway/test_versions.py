"""Rollouts of a service: good versions complete in time, bad are undone.

Load: 10 requests a second at four nodes that receive each other's facts
with a delay of a quarter of a second.
"""

import random

import pytest

from fireflypulley.core import facts
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import versions

from . import builders

NODES = 4
STEP_S = 0.05
REQUESTS_PER_S = 10
DURATION_S = 12.0


def _members():
    return [
        fleet.Member(builders.entry(f"{version}-{one}", version=version))
        for version in ("v1", "v2")
        for one in range(3)
    ]


class World:
    """Four nodes, the first of which holds the duty."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.nodes = []
        for one in range(NODES):
            shared = facts.SharedState()
            node = versions.RolloutTracker(f"n{one}", shared)
            node.order(versions.Rollout("s/v2/1", "s", "v2", 0.0, DURATION_S))
            self.nodes.append((node, shared))
        self.now_s = 0.0
        self.sent = {"v1": 0, "v2": 0}
        self.bad_answers = []
        self.last_new_s = 0.0
        self.running = []
        self.done_with_old_running = 0
        self.in_transit = []

    @property
    def phase(self):
        """Return the phase as known to the duty's holder."""
        node, _ = self.nodes[0]
        return node.phase(next(iter(node)))

    def run(self, bad_share, from_s=0.0, slow=False, seconds=DURATION_S):
        """Serve requests; the new version fails a share of them."""
        end_s = self.now_s + seconds
        index = 0
        while self.now_s < end_s:
            self.now_s += STEP_S
            if self.random.random() < REQUESTS_PER_S * STEP_S:
                index += 1
                self._request(f"q{index}", bad_share, from_s, slow)
            self._spread()
            self._lead()

    def _request(self, name, bad_share, from_s, slow):
        index = self.random.randrange(NODES)
        node, _ = self.nodes[index]
        allowed = node.allowed("s", name, _members())
        version = allowed[0].registration.version
        self.sent[version] += 1
        is_bad = self.random.random() < 0.02
        if version == "v2":
            self.last_new_s = self.now_s
            if self.now_s >= from_s:
                is_bad = self.random.random() < bad_share
                if is_bad:
                    self.bad_answers.append(self.now_s)
        took_s = 0.3 if version == "v2" else 1.5
        self.running.append((self.now_s + took_s, index, version))
        node.observe("s", version, "r", is_bad and not slow, is_bad and slow)

    def _spread(self):
        due = [one for one in self.in_transit if one[0] <= self.now_s]
        self.in_transit = [
            one for one in self.in_transit if one[0] > self.now_s
        ]
        for _, fact in due:
            for _, shared in self.nodes:
                shared.merge(fact, self.now_s)
        for node, _ in self.nodes:
            for fact in node.updates(self.now_s):
                self.in_transit.append((self.now_s + 0.25, fact))

    def _lead(self):
        self.running = [one for one in self.running if one[0] > self.now_s]
        old = [0] * NODES
        for _, index, version in self.running:
            old[index] += version == "v1"
        node, _ = self.nodes[0]
        for index in range(1, NODES):
            node.update_old_running(f"n{index}", {"s": old[index]}, self.now_s)
        reached = node.advance(next(iter(node)), old[0], self.now_s)
        if reached is not None:
            self.in_transit.append((self.now_s + 0.25, reached))
            if reached.phase is versions.Phase.DONE:
                self.done_with_old_running = sum(old)


@pytest.mark.parametrize("seed", range(20))
def test_a_good_version_is_done_in_time_and_cuts_no_request(seed):
    world = World(seed)
    world.run(0.02)
    assert world.phase is versions.Phase.DONE
    assert world.done_with_old_running == 0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("slow", [False, True])
def test_a_bad_version_is_undone_with_few_requests(seed, slow):
    world = World(seed)
    world.run(0.5, slow=slow)
    assert world.phase is versions.Phase.UNDONE
    total = sum(world.sent.values())
    assert world.sent["v2"] <= 0.1 * total + 50


@pytest.mark.parametrize("seed", range(20))
def test_a_version_that_turns_bad_is_undone_soon_after(seed):
    world = World(seed)
    world.run(0.6, from_s=5.0)
    assert world.phase is versions.Phase.UNDONE
    total = sum(world.sent.values())
    assert world.sent["v2"] <= 0.1 * total + 50
    assert len(world.bad_answers) < 50


def test_a_verdict_is_never_taken_back():
    world = World()
    world.run(0.9, seconds=6.0)
    assert world.phase is versions.Phase.UNDONE
    world.run(0.0, seconds=20.0)
    assert world.phase is versions.Phase.UNDONE
    node, _ = world.nodes[2]
    names = {
        one.registration.version
        for index in range(50)
        for one in node.allowed("s", f"q{index}", _members())
    }
    assert names == {"v1"}


def test_without_new_endpoints_the_old_ones_serve_and_it_is_undone():
    shared = facts.SharedState()
    node = versions.RolloutTracker("n", shared)
    rollout = versions.Rollout("s/v2/1", "s", "v2", 0.0, DURATION_S)
    node.order(rollout)
    old = _members()[:3]
    assert node.allowed("s", "q", old) == old
    reached = node.advance(rollout, 0, DURATION_S - 3.0)
    assert reached.phase is versions.Phase.UNDONE


def test_a_withdrawn_order_allows_both_versions():
    node = versions.RolloutTracker("n", facts.SharedState())
    node.order(versions.Rollout("s/v2/1", "s", "v2", 0.0, DURATION_S))
    node.withdraw("s")
    assert not node.is_under_way("s")
    assert node.allowed("s", "q", _members()) == _members()


def test_a_published_verdict_survives_a_kill_of_all_nodes():
    node = versions.RolloutTracker("n", facts.SharedState())
    rollout = versions.Rollout("s/v2/5", "s", "v2", 0.0, DURATION_S, 5)
    node.order(rollout)
    undone = versions.Phase.UNDONE
    assert node.restore_verdict("s", "v1", undone, 6, 1.0) is None
    assert (
        node.restore_verdict("s", "v2", versions.Phase.TRIAL, 6, 1.0) is None
    )
    assert node.restore_verdict("s", "v2", undone, 4, 1.0) is None
    assert node.restore_verdict("s", "v2", undone, 6, 1.0).phase is undone
    assert node.phase(rollout) is undone
    assert node.restore_verdict("s", "v2", undone, 6, 1.0) is None


def _undone_alone():
    """Return a node that undid a rollout by its own evidence."""
    world = World()
    node, _ = world.nodes[0]
    node._reach(next(iter(node)), versions.Phase.UNDONE, 1.0)
    return node


def test_a_version_that_is_undone_gets_no_request():
    node = _undone_alone()
    old = [one for one in _members() if one.registration.version == "v1"]
    assert node.allowed("s", "q", _members()) == old


# Guards against refusals at a node that was cut off and undid a rollout
# which the others had done: the old endpoints have stopped.
def test_a_node_that_undid_alone_uses_what_is_left():
    node = _undone_alone()
    new = [one for one in _members() if one.registration.version == "v2"]
    assert node.allowed("s", "q", new) == new


def test_a_version_that_is_published_as_undone_is_not_used_at_all():
    node = _undone_alone()
    node.confirm(next(iter(node)), versions.Phase.UNDONE, 2.0)
    new = [one for one in _members() if one.registration.version == "v2"]
    assert node.allowed("s", "q", new) == []
