"""Tests of rollout verdicts, and that no later message reverts one."""

import dataclasses

import hypothesis
from hypothesis import strategies

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core import membership
from fireflypulley.core import rollouts
from fireflypulley.core import sequential
from fireflypulley.core import topology

_RUNNING = configuration.RolloutState.RUNNING


def _rollout(**fields):
    known = {
        "rollout_id": "r",
        "workspace": "w",
        "service": "m",
        "from_version": "v1",
        "to_version": "v2",
        "started_s": 0.0,
        "deadline_s": 100.0,
        "step": 0,
        "step_since_s": 0.0,
        "state": _RUNNING,
    }
    return configuration.Rollout(**(known | fields))


class NodeRollouts:
    """The rollouts of one node with the state that they use."""

    def __init__(self, node_id="n1", **fields):
        self.config = configuration.Configuration()
        self.shared = facts.SharedState()
        self.rollout = _rollout(**fields)
        self.put(self.rollout, 1)
        self.rollouts = rollouts.Rollouts(node_id, self.config, self.shared)
        this = topology.Node(node_id, "h:1", "a")
        self.members = membership.Membership(this, 1, self.shared)

    def put(self, body, version):
        kind = configuration.EntryKind.ROLLOUT
        entry = configuration.Entry(kind, "w.m", version, "op", body)
        return self.config.merge(entry)

    def observe(self, arm, count, failed=False, slow=False, route="ask"):
        for _ in range(count):
            self.rollouts.observe("w", "m", route, arm, failed, slow)

    def evidence(self, now_s=1.0):
        return self.rollouts.evidence(self.members, now_s)

    def share(self, now_s=1.0):
        return self.rollouts.share(self.rollout, now_s)


def test_share_starts_at_five_percent():
    assert NodeRollouts().share() == 0.05


def test_few_failures_trip_the_rollout_and_stop_its_share():
    node = NodeRollouts()
    node.observe(facts.Arm.OLD, 50)
    node.observe(facts.Arm.NEW, 8, failed=True)
    (trip,) = node.rollouts.trips(1.0)
    node.shared.merge(trip, 1.0)
    assert node.share() == 0.0
    (verdict,) = node.rollouts.verdicts(1.0)
    assert verdict.state is configuration.RolloutState.UNDONE
    assert "failures on route ask" == verdict.reason


def test_slow_answers_on_one_route_trip_the_rollout():
    node = NodeRollouts()
    node.observe(facts.Arm.NEW, 40, route="ask")
    node.observe(facts.Arm.NEW, 9, slow=True, route="sum")
    (trip,) = node.rollouts.trips(1.0)
    assert (trip.route, trip.reason) == ("sum", "slow answers")


def test_good_version_beside_a_noisy_old_one_is_not_bad():
    node = NodeRollouts()
    node.observe(facts.Arm.OLD, 100, failed=True)
    node.observe(facts.Arm.OLD, 100)
    node.observe(facts.Arm.NEW, 10, failed=True)
    node.observe(facts.Arm.NEW, 30)
    assert node.rollouts.trips(1.0) == []


def test_evidence_of_other_nodes_is_pooled():
    first, second = NodeRollouts("n1"), NodeRollouts("n2")
    for node in (first, second):
        node.observe(facts.Arm.NEW, 4, failed=True)
    assert first.rollouts.trips(1.0) == []
    for fact in second.evidence():
        first.shared.merge(fact, 1.0)
    assert len(first.rollouts.trips(1.0)) == 1


def test_evidence_received_twice_counts_once():
    first, second = NodeRollouts("n1"), NodeRollouts("n2")
    second.observe(facts.Arm.NEW, 4, failed=True)
    for fact in second.evidence() * 3:
        first.shared.merge(fact, 1.0)
    assert first.rollouts.finding(first.rollout).answers == 4


def test_good_evidence_is_reported_less_often_than_bad():
    node = NodeRollouts()
    node.observe(facts.Arm.NEW, 5)
    assert len(node.evidence(1.0)) == 1
    node.observe(facts.Arm.NEW, 5)
    assert node.evidence(1.6) == []
    node.observe(facts.Arm.NEW, 1, failed=True)
    assert len(node.evidence(1.6)) == 1


def test_new_owner_is_sent_all_evidence():
    node = NodeRollouts()
    node.observe(facts.Arm.NEW, 5)
    node.evidence(1.0)
    other = topology.Node("n2", "h:2", "a")
    node.members.set_listed_nodes((other,))
    reported = node.evidence(5.0)
    owner = node.members.owner("r", 5.0)
    assert bool(reported) == (owner == "n2")


def test_version_that_turns_bad_after_long_good_history_is_found():
    node = NodeRollouts()
    for _ in range(100):
        node.observe(facts.Arm.NEW, 30)
        assert node.rollouts.trips(1.0) == []
    bad = 0
    while not node.rollouts.trips(1.0):
        node.observe(facts.Arm.NEW, 1, failed=True)
        bad += 1
    assert bad <= 15


def test_step_needs_answers_and_time():
    node = NodeRollouts()
    assert node.rollouts.next_step(node.rollout, 50.0) is None
    node.observe(facts.Arm.NEW, rollouts.MIN_ANSWERS[0])
    assert node.rollouts.next_step(node.rollout, 1.0) is None
    step = node.rollouts.next_step(node.rollout, 50.0)
    assert step.step == 1


def test_last_step_is_done():
    node = NodeRollouts(step=len(rollouts.SHARES) - 1)
    node.observe(facts.Arm.NEW, rollouts.MIN_ANSWERS[-1])
    step = node.rollouts.next_step(node.rollout, 50.0)
    assert step.state is configuration.RolloutState.DONE


def test_deadline_undoes_what_is_not_complete():
    node = NodeRollouts()
    assert node.share(100.5) == 0.0
    assert node.rollouts.verdicts(101.0) == []
    (verdict,) = node.rollouts.verdicts(102.5)
    assert verdict.state is configuration.RolloutState.UNDONE


def test_verdict_outranks_a_late_step():
    node = NodeRollouts()
    undone = dataclasses.replace(
        node.rollout, state=configuration.RolloutState.UNDONE
    )
    assert node.put(undone, 5)
    assert not node.put(dataclasses.replace(node.rollout, step=3), 4)
    assert node.config.rollout("w", "m").ended


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(1, 9), strategies.booleans()),
        max_size=30,
    )
)
def test_configuration_never_reverts(changes):
    node = NodeRollouts()
    highest = 1
    for version, drained in changes:
        body = configuration.Domain(drained, 0.0)
        kind = configuration.EntryKind.DOMAIN
        entry = configuration.Entry(kind, "d", version, "op", body)
        known = node.config.get(kind, "d")
        highest = known.version if known else 0
        assert node.config.merge(entry) == (version > highest)
        assert node.config.get(kind, "d").version == max(version, highest)


@hypothesis.given(strategies.integers(0, 500), strategies.integers(0, 500))
def test_evidence_grows_with_bad_answers(bad, good):
    base = sequential.base_rate(0, 100)
    total = bad + good
    ratio = sequential.log_ratio(bad, total, base)
    assert sequential.log_ratio(bad + 1, total + 1, base) > ratio
    assert sequential.log_ratio(bad, total + 1, base) < ratio
