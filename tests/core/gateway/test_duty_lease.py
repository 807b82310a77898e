"""One holder at a time, with rising fencing numbers, despite failures."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core.gateway import duty_lease
from fireflypulley.core.gateway import row_versions


class Row:
    """The row in the store, with conditional writes."""

    def __init__(self):
        self.holding = None
        self.era = 0

    @property
    def version(self):
        return self.holding.row_version if self.holding else 0

    def restore(self, copy):
        """Return to an older row, or to none, in a new era."""
        self.era += 1
        self.holding = copy
        if copy is not None:
            number = row_versions.number(copy.row_version)
            version = row_versions.join(self.era, number)
            self.holding = dataclasses.replace(copy, row_version=version)

    def write(self, holder, claim):
        """Write a claim; return whether its condition held."""
        if claim.expected_version != self.version:
            return False
        self.holding = duty_lease.LeaseRow(
            holder, claim.fencing, claim.renewals, self._next_version()
        )
        return True

    def _next_version(self):
        number = row_versions.number(self.version)
        return row_versions.join(self.era, number + 1)


class Node:
    """A node that completes each step at once unless a response is lost."""

    def __init__(self, name, row):
        self.name = name
        self.row = row
        self.duty = duty_lease.DutyLease(name)

    def tick(self, now_s, is_lost=False):
        """Take a step; ``is_lost`` drops the response to a write."""
        step = self.duty.step(now_s, True)
        if step is duty_lease.Step.READ:
            self.duty.note_read_started(now_s)
            self.duty.note_era(self.row.era)
            self.duty.note_read(self.row.holding, now_s)
        elif step is duty_lease.Step.WRITE:
            claim = self.duty.claim(now_s)
            done = self.row.write(self.name, claim)
            if is_lost:
                return
            if done:
                self.duty.note_accepted(claim, self.row.version, now_s)
            else:
                self.duty.note_rejected(self.row.holding, now_s)


def _run(nodes, start_s, end_s):
    now_s = start_s
    while now_s < end_s:
        for node in nodes:
            node.tick(now_s)
        now_s += 0.25
    return now_s


def test_the_first_reader_takes_a_free_lease():
    row = Row()
    nodes = [Node("n1", row), Node("n2", row)]
    now_s = _run(nodes, 0.0, 3.0)
    assert [node.duty.may_act(now_s) for node in nodes] == [True, False]
    assert row.holding.fencing == 1


def test_another_node_takes_over_only_after_the_term():
    row = Row()
    n1, n2 = Node("n1", row), Node("n2", row)
    now_s = _run([n1, n2], 0.0, 3.0)
    last_s = now_s
    while not n2.duty.may_act(now_s):
        assert now_s < last_s + 10.0
        n2.tick(now_s)
        now_s += 0.25
    assert now_s - last_s >= duty_lease.TAKEOVER_AFTER_S - 1.5
    assert not n1.duty.may_act(now_s)
    assert row.holding.fencing == 2


def test_a_holder_frozen_at_its_renewal_does_not_act_on_waking():
    row = Row()
    n1, n2 = Node("n1", row), Node("n2", row)
    now_s = _run([n1], 0.0, 2.0)
    asked_s = now_s
    claim = n1.duty.claim(asked_s)
    row.write("n1", claim)
    now_s = _run([n2], now_s, now_s + 8.0)
    assert n2.duty.may_act(now_s)
    n1.duty.note_accepted(claim, row.version, asked_s)
    assert not n1.duty.may_act(now_s)


def test_a_lost_renewal_response_ends_the_lease_in_time():
    row = Row()
    n1 = Node("n1", row)
    now_s = _run([n1], 0.0, 2.0)
    n1.tick(now_s + 1.0, is_lost=True)
    assert not n1.duty.may_act(now_s + duty_lease.VALID_FOR_S + 0.1)


def test_a_holder_continues_after_reading_its_own_renewal():
    row = Row()
    n1 = Node("n1", row)
    now_s = _run([n1], 0.0, 2.0)
    claim = n1.duty.claim(now_s)
    row.write("n1", claim)
    n1.tick(now_s + 1.0)
    assert not n1.duty.may_act(now_s + 1.0)
    n1.tick(now_s + 1.25)
    assert n1.duty.may_act(now_s + 1.3)
    assert row.holding.fencing == 1


def _takes_over(node, now_s):
    """Tick a node until it may act; return the time."""
    while not node.duty.may_act(now_s):
        node.tick(now_s)
        now_s += 0.25
    return now_s


# Guards against two holders with one fencing number after a return.
@pytest.mark.parametrize("has_row", [True, False])
def test_numbers_after_a_return_are_higher_than_all_before(has_row):
    row = Row()
    n1, n2, n3 = (Node(f"n{one}", row) for one in range(3))
    now_s = _takes_over(n1, 0.0)
    copy = row.holding if has_row else None
    now_s = _takes_over(n2, now_s)
    before = row.holding.fencing
    row.restore(copy)
    # The copy names a former holder, or nobody; neither may go on.
    now_s = _takes_over(n3, now_s)
    assert row.holding.fencing > before
    assert not n1.duty.may_act(now_s)


def test_a_former_holder_that_finds_its_own_name_gets_a_new_number():
    row = Row()
    n1, n2 = Node("n1", row), Node("n2", row)
    now_s = _takes_over(n1, 0.0)
    copy = row.holding
    now_s = _takes_over(n2, now_s)
    before = row.holding.fencing
    row.restore(copy)
    now_s = _takes_over(n1, now_s + duty_lease.TAKEOVER_AFTER_S)
    assert row.holding.fencing > before
    # Renewals within the era keep it.
    kept = row.holding.fencing
    _run([n1], now_s, now_s + 3.0)
    assert row.holding.fencing == kept


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2),
            strategies.sampled_from(["tick", "lost", "late"]),
            strategies.sampled_from([0.1, 0.25, 1.0, 3.0]),
        ),
        max_size=60,
    )
)
def test_no_two_nodes_act_at_once_and_numbers_never_fall(steps):
    row = Row()
    nodes = [Node(f"n{one}", row) for one in range(3)]
    late = []
    now_s, acted = 0.0, []
    for index, how, passed_s in steps:
        now_s += passed_s
        node = nodes[index]
        if (
            how == "late"
            and node.duty.step(now_s, True) is duty_lease.Step.WRITE
        ):
            late.append((node, node.duty.claim(now_s)))
        else:
            node.tick(now_s, is_lost=how == "lost")
        if how != "late" and late:
            writer, claim = late.pop(0)
            row.write(writer.name, claim)
        acting = [one for one in nodes if one.duty.may_act(now_s)]
        assert len(acting) <= 1
        acted += [(one.duty.fencing, one.name) for one in acting]
    assert acted == sorted(acted, key=lambda one: one[0])
    holders = {}
    for fencing, name in acted:
        assert holders.setdefault(fencing, name) == name
