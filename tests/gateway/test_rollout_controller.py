"""The published phase of a rollout while the duty changes hands."""

from twisted.internet import defer
from twisted.internet import task

from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import rollout_controller
from fireflypulley.gateway import row_codec
from fireflypulley.platform import base

from ..core.gateway import builders

KEY = "rollout/s"


class RowCodec:
    """Rows whose value is the target and the phase."""

    status_table = "status"

    def encode_rollout_status(self, service, target, phase):
        value = f"{target} {phase.value}".encode()
        return base.RowWrite("status", f"rollout/{service}", value, None)

    def decode_rollout_status(self, row):
        service = row.key.removeprefix("rollout/")
        target, phase = row.value.decode().split()
        return row_codec.RolloutStatus(service, target, versions.Phase(phase))


class Store:
    """Rows with conditional writes; a write may be held back."""

    def __init__(self):
        self.rows = {}
        self.version = 10
        self.held = None

    async def read(self, table):
        return base.Snapshot(self.version, tuple(self.rows.values()))

    async def transact(self, writes):
        if self.held is not None:
            held, self.held = self.held, None
            await held
        (write,) = writes
        current = self.rows.get(write.key)
        version = current.version if current else 0
        if write.expected_version not in (None, version):
            raise base.RowsConflict(())
        self.version += 1
        self.rows[write.key] = rows.FollowedRow(
            write.table, write.key, self.version, write.value
        )
        return self.version

    @property
    def state(self):
        return self.rows[KEY].value.decode().split()[1]


class Node:
    """A node that may hold the duty, with one rollout."""

    def __init__(self, clock, store):
        self.clock = clock
        self.scheduler = builders.a_scheduler(None, builders.entry("e1"))
        self.rollout = versions.Rollout(
            "s/v2/5", "s", "v2", clock.seconds(), 60.0, 5
        )
        self.scheduler.rollouts.order(self.rollout)
        self.controller = rollout_controller.RolloutController(
            clock, self.scheduler, store, RowCodec()
        )

    def tick(self, fencing, seconds=1.0):
        for _ in range(round(seconds / 0.25)):
            self.controller.tick(fencing)
            self.clock.advance(0.25)

    def reach(self, phase):
        now_s = self.clock.seconds()
        self.scheduler.rollouts._reach(self.rollout, phase, now_s)


def _nodes():
    clock, store = task.Clock(), Store()
    return store, Node(clock, store), Node(clock, store)


# Guards against a verdict that a former holder of the duty takes back: its
# write of an earlier phase arrived after the next holder's.
def test_a_late_write_of_a_former_holder_does_not_count():
    store, former, holder = _nodes()
    former.tick(1)
    assert store.state == "trial"
    store.held = held = defer.Deferred()
    former.reach(versions.Phase.MOVING)
    former.controller.tick(1)
    holder.reach(versions.Phase.UNDONE)
    holder.tick(2)
    assert store.state == "undone"
    held.callback(None)
    assert store.state == "undone"


def test_a_holder_reads_again_what_another_node_wrote_meanwhile():
    store, former, holder = _nodes()
    holder.tick(2)
    former.tick(1)
    holder.reach(versions.Phase.UNDONE)
    holder.tick(2, 3.0)
    assert store.state == "undone"


def test_a_verdict_that_another_holder_published_is_kept():
    store, former, holder = _nodes()
    holder.tick(2)
    former.reach(versions.Phase.UNDONE)
    former.tick(3, 3.0)
    assert store.state == "undone"
    holder.reach(versions.Phase.MOVING)
    holder.tick(2, 3.0)
    phase = holder.scheduler.rollouts.phase(holder.rollout)
    assert phase is versions.Phase.UNDONE
    assert store.state == "undone"


def test_a_row_that_was_removed_is_written_again():
    store, _, holder = _nodes()
    holder.tick(1)
    del store.rows[KEY]
    holder.reach(versions.Phase.UNDONE)
    holder.tick(1, 3.0)
    assert store.state == "undone"


# Guards against a verdict that is lost with an older copy of the store: its
# writer held it for published.
def test_a_verdict_that_the_store_lost_is_written_by_the_next_term():
    store, _, holder = _nodes()
    holder.reach(versions.Phase.UNDONE)
    holder.tick(1)
    del store.rows[KEY]
    holder.tick(2)
    assert store.state == "undone"


def _tell(teller, listener):
    """Pass on all that a node knows, as to a peer that has connected."""
    for fact in teller.scheduler.shared.snapshot():
        listener.scheduler.shared.merge(fact, listener.clock.seconds())


def _phase(node):
    return node.scheduler.rollouts.phase(node.rollout)


# Guards against a service that is left with no version: a node that had
# been cut off undid a rollout whose old endpoints had stopped.
def test_a_node_that_was_cut_off_does_not_undo_what_is_published():
    store, cut_off, holder = _nodes()
    holder.reach(versions.Phase.DONE)
    holder.tick(1)
    assert store.state == "done"
    cut_off.reach(versions.Phase.UNDONE)
    _tell(cut_off, holder)
    _tell(holder, cut_off)
    holder.tick(1)
    assert store.state == "done"
    assert _phase(holder) is _phase(cut_off) is versions.Phase.DONE


def test_a_verdict_that_is_published_first_holds_against_a_late_one():
    store, other, holder = _nodes()
    holder.tick(1)
    store.held = held = defer.Deferred()
    holder.reach(versions.Phase.DONE)
    holder.controller.tick(1)
    other.reach(versions.Phase.UNDONE)
    _tell(other, holder)
    held.callback(None)
    holder.tick(1, 3.0)
    assert store.state == "done"
    assert _phase(holder) is versions.Phase.DONE


def test_bad_evidence_before_anything_is_published_undoes_a_rollout():
    store, other, holder = _nodes()
    holder.reach(versions.Phase.DONE)
    other.reach(versions.Phase.UNDONE)
    _tell(other, holder)
    holder.tick(1)
    assert store.state == "undone"


def test_a_holder_whose_write_was_not_answered_reads_what_is_published():
    store, _, holder = _nodes()
    holder.tick(1)
    write = store.transact

    async def lose_answer(writes):
        await write(writes)
        store.transact = write
        raise base.Unavailable("no answer")

    store.transact = lose_answer
    holder.reach(versions.Phase.DONE)
    holder.controller.tick(1)
    assert store.state == "done"
    holder.reach(versions.Phase.UNDONE)
    holder.tick(1, 3.0)
    assert store.state == "done"
    assert _phase(holder) is versions.Phase.DONE


def test_the_next_holder_takes_the_verdict_from_the_store():
    store, former, holder = _nodes()
    former.reach(versions.Phase.DONE)
    former.tick(1)
    holder.reach(versions.Phase.UNDONE)
    holder.tick(2, 3.0)
    assert store.state == "done"
    assert _phase(holder) is versions.Phase.DONE


# Guards against a service without a version an hour after its rollout: what
# nodes know of a phase lapses, and a holder without evidence undid it.
def test_a_published_verdict_holds_as_long_as_its_order():
    store, former, holder = _nodes()
    former.reach(versions.Phase.DONE)
    former.tick(1)
    holder.tick(2)
    assert _phase(holder) is versions.Phase.DONE
    for _ in range(3):
        holder.clock.advance(versions.FACT_TTL_S + 1.0)
        holder.scheduler.shared.expire(holder.clock.seconds())
        holder.tick(2)
        holder.tick(2)
        assert store.state == "done"
        assert _phase(holder) is versions.Phase.DONE
