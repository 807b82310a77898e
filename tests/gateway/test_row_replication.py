"""Rows that nodes send to each other, also when a batch is lost."""

import pytest
from twisted.internet import task

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import follower
from fireflypulley.gateway import row_replication

from . import networks

TABLE = networks.OPERATORS


class _Hub:
    """Keeps what is sent to the one peer."""

    peers = ("n2",)

    def __init__(self):
        self.sent = []

    def send(self, node_id, message):
        self.sent.append(message)


class _Sender:
    """A node that reads the store and one peer that it feeds."""

    def __init__(self):
        self.clock = task.Clock()
        self.hub = _Hub()
        self.cache = rows.RowCache()
        self.cache.note_baseline(TABLE, 1)
        self.states = node_states.StateRegistry("n1", 3)
        self.replicator = row_replication.RowReplicator(
            self.clock, self.cache, self.hub, self.states
        )
        self._sequence = 0

    def read(self, version, key="k"):
        self.cache.update(rows.FollowedRow(TABLE, key, version, b"1"))
        self.cache.note_version(TABLE, version)
        self.replicator.push(TABLE, frozenset({"n1"}))

    def report(self, version):
        """Receive a state of the peer, and send what it lacks."""
        self._sequence += 1
        state = node_states.NodeState(
            "n2", 1, self._sequence, {}, {}, {}, {TABLE: version}, {}
        )
        self.states.update(state, False)
        self.replicator.send_missing("n2")

    @property
    def sent(self):
        return [
            (batch.after, batch.version, {row.key for row in batch.rows})
            for batch in self.hub.sent
        ]


@pytest.fixture
def sender():
    return _Sender()


@pytest.fixture
def receiver():
    receiving = follower.Follower(
        task.Clock(),
        None,
        networks.RowCodec(),
        scheduler.RequestScheduler("a", bounds.SharedBounds()),
    )
    receiving._apply = lambda row: None
    return receiving


def _receive(receiving, batch):
    receiving.apply_rows(
        batch.table, batch.rows, batch.version, batch.is_whole, batch.after
    )
    return receiving.cache.version(TABLE)


def test_batches_continue_each_other(sender):
    sender.report(1)
    sender.read(2)
    sender.read(3, "other")
    assert sender.sent == [(1, 2, {"k"}), (2, 3, {"other"})]


# Guards against a row that is lost for good with a stream, as what was
# handed to the stream counted as received.
def test_a_batch_that_the_peer_never_reports_is_sent_again(sender):
    sender.report(1)
    sender.read(2)
    sender.report(1)
    assert len(sender.sent) == 1
    sender.clock.advance(row_replication.RESEND_AFTER_S)
    sender.report(1)
    assert sender.sent[1:] == [(1, 2, {"k"})]


def test_a_lost_batch_is_sent_again_while_later_ones_are_sent(sender):
    sender.report(1)
    sender.read(2, "lost")
    for version in range(3, 8):
        sender.clock.advance(row_replication.RESEND_AFTER_S / 4)
        sender.read(version)
        sender.report(1)
    assert (1, 6, {"lost", "k"}) in sender.sent


# Guards against a node that takes a later batch for all that it lacked.
def test_a_batch_after_a_lost_one_counts_but_not_its_version(sender, receiver):
    receiver.apply_rows(TABLE, (), 1, True)
    sender.report(1)
    sender.read(2, "lost")
    sender.read(3)
    assert _receive(receiver, sender.hub.sent[1]) == 1
    assert receiver.cache.get(TABLE, "k").version == 3
    assert _receive(receiver, sender.hub.sent[0]) == 2
    sender.clock.advance(row_replication.RESEND_AFTER_S)
    sender.report(2)
    assert _receive(receiver, sender.hub.sent[2]) == 3
    assert receiver.cache.get(TABLE, "lost").version == 2


def test_a_batch_of_an_older_node_counts_but_not_its_version(receiver):
    receiver.apply_rows(TABLE, (), 1, True)
    row = rows.FollowedRow(TABLE, "k", 5, b"1")
    receiver.apply_rows(TABLE, (row,), 5, False)
    assert receiver.cache.get(TABLE, "k").version == 5
    assert receiver.cache.version(TABLE) == 1


# Guards against rows of a large table that are never sent.
def test_more_rows_than_fit_one_message_are_sent_one_after_the_other(sender):
    count = row_replication.MAX_ROWS_PER_MESSAGE + 5
    for number in range(count):
        row = rows.FollowedRow(TABLE, f"k{number}", 2 + number // 2, b"1")
        sender.cache.update(row)
    sender.cache.note_version(TABLE, 2 + count)
    sender.report(1)
    sender.report(sender.hub.sent[0].version)
    received = {row for batch in sender.hub.sent for row in batch.rows}
    assert len(received) == count
    assert sender.hub.sent[1].version == 2 + count


def test_a_starting_peer_gets_all_rows(sender):
    sender.cache.note_baseline(TABLE, 1)
    sender.read(4)
    sender.report(0)
    (batch,) = sender.hub.sent
    assert batch.is_whole
    assert batch.version == 4


def test_after_a_new_stream_everything_unreported_is_sent(sender):
    sender.report(1)
    sender.read(2)
    sender.replicator.reset_peer("n2")
    sender.report(1)
    assert [after for after, _, _ in sender.sent] == [1, 1]


def test_readers_are_sent_updates_only_while_they_doubt_the_store(sender):
    sender.states.update(
        node_states.NodeState("n2", 1, 1, {}, {}, {}, {TABLE: 1}, {}), False
    )
    sender.cache.update(rows.FollowedRow(TABLE, "k", 2, b"1"))
    sender.cache.note_version(TABLE, 2)
    sender.replicator.push(TABLE, frozenset({"n2"}))
    assert not sender.sent
    sender.states.update(
        node_states.NodeState(
            "n2", 1, 2, {}, {}, {}, {TABLE: 1}, {}, False, True
        ),
        False,
    )
    sender.replicator.push(TABLE, frozenset({"n2"}))
    assert sender.sent == [(1, 2, {"k"})]
