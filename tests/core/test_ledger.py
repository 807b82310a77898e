"""At-most-once execution under failures of the store and of nodes."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import ledger
from fireflypulley.core import ledger_rows
from fireflypulley.core import requests
from fireflypulley.core import topology

NODES = ("a", "b", "c")
KEYS = ("k1", "k2")
ANSWER = ledger_rows.stored_answer(200, "text/plain", b"done")
_Claim = ledger.Claim
_Commit = ledger_rows.Commit


def request(number: int, key: str, fingerprint: str, now_s: float):
    return requests.Request(
        f"r{number}",
        "w",
        "file",
        "app",
        topology.ServiceKind.PLAIN,
        now_s + 20.0,
        fingerprint,
        at_most_once=True,
        idempotency_key=key,
    )


class Ledgers(stateful.RuleBasedStateMachine):
    """The ledgers of three nodes on one store that loses responses."""

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        self.rows: dict[str, ledger_rows.VersionedRow] = {}
        self.ledgers = {name: ledger.Ledger(name) for name in NODES}
        self.pending = {name: [] for name in NODES}
        self.granted = {name: [] for name in NODES}
        self.executions = collections.Counter()
        self.requests = {}
        self.settled = collections.Counter()
        self.not_run = set()
        self.count = 0

    def apply_result(self, name, settled, todo):
        self.pending[name] += todo
        for settlement in settled:
            self.settled[settlement.request_id] += 1
            key, _ = self.requests[settlement.request_id]
            if settlement.claim is _Claim.GRANTED:
                self.granted[name].append(settlement.request_id)
            elif settlement.claim is _Claim.UNAVAILABLE:
                self.not_run.add(settlement.request_id)
            elif settlement.claim is _Claim.REPLAY:
                assert self.executions[key] == 1
                assert settlement.answer == ANSWER
            elif settlement.claim is _Claim.MISMATCH:
                used = {f for k, f in self.requests.values() if k == key}
                assert used == {"same", "other"}

    @stateful.rule(
        name=strategies.sampled_from(NODES),
        key=strategies.sampled_from(KEYS),
        same=strategies.booleans(),
    )
    def claim(self, name, key, same):
        self.count += 1
        fingerprint = "same" if same else "other"
        claimed = request(self.count, key, fingerprint, self.now_s)
        self.requests[claimed.request_id] = (key, fingerprint)
        self.apply_result(
            name, [], self.ledgers[name].claim(claimed, self.now_s)
        )

    @stateful.rule(
        name=strategies.sampled_from(NODES),
        effect=strategies.booleans(),
        answered=strategies.booleans(),
    )
    def store_works(self, name, effect, answered):
        if not self.pending[name]:
            return
        action = self.pending[name].pop(0)
        if isinstance(action, actions.ReadRow):
            found = self.rows.get(action.row_key) if answered else None
            event = events.RowRead(action.row_key, found, not answered)
            self.apply_result(
                name, *self.ledgers[name].row_read(event, self.now_s)
            )
            return
        conflicts = self.write(action.writes) if effect or answered else ()
        commit = _Commit.CONFLICT if conflicts else _Commit.COMMITTED
        if not answered:
            commit, conflicts = _Commit.LOST, ()
        event = events.TransactionEnded(action.operation_id, commit, conflicts)
        self.apply_result(
            name, *self.ledgers[name].transaction_ended(event, self.now_s)
        )

    def write(self, writes):
        conflicts = tuple(
            index
            for index, write in enumerate(writes)
            if self.version(write.row_key) != write.version
        )
        for write in () if conflicts else writes:
            self.rows[write.row_key] = ledger_rows.VersionedRow(
                write.row, (write.version or 0) + 1
            )
        return conflicts

    def version(self, key):
        row = self.rows.get(key)
        return None if row is None else row.version

    @stateful.rule(
        name=strategies.sampled_from(NODES),
        end=strategies.sampled_from(("answer", "cut", "release")),
    )
    def send(self, name, end):
        if not self.granted[name]:
            return
        request_id = self.granted[name].pop(0)
        node_ledger = self.ledgers[name]
        if end == "release":
            self.not_run.add(request_id)
            self.apply_result(
                name, [], node_ledger.release(request_id, self.now_s)
            )
            return
        key, _ = self.requests[request_id]
        self.executions[key] += 1
        answer = ANSWER if end == "answer" else None
        self.apply_result(
            name, [], node_ledger.finish(request_id, answer, self.now_s)
        )

    @stateful.rule(seconds=strategies.floats(0.1, 15.0))
    def time_passes(self, seconds):
        self.now_s += seconds
        for name, node_ledger in self.ledgers.items():
            self.apply_result(name, *node_ledger.tick(self.now_s))

    @stateful.rule(name=strategies.sampled_from(NODES))
    def node_dies(self, name):
        self.ledgers[name] = ledger.Ledger(f"{name}-{self.count}")
        self.pending[name].clear()
        self.granted[name].clear()

    @stateful.invariant()
    def runs_at_most_once(self):
        assert all(count <= 1 for count in self.executions.values())

    @stateful.invariant()
    def settles_once(self):
        assert all(count == 1 for count in self.settled.values())


TestLedgers = Ledgers.TestCase
TestLedgers.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40
)


def test_claims_that_wait_share_one_transaction():
    node_ledger = ledger.Ledger("a")
    writes = node_ledger.claim(request(0, "k0", "f", 0.0), 0.0)
    for number in range(1, 40):
        key = f"k{number}"
        assert node_ledger.claim(request(number, key, "f", 0.0), 0.0) == []
    event = events.TransactionEnded(writes[0].operation_id, _Commit.COMMITTED)
    _, todo = node_ledger.transaction_ended(event, 0.1)
    assert len(todo[0].writes) == 39
    assert node_ledger.store_writes == 2


def test_second_claim_waits_for_the_first_ones_answer():
    node_ledger = ledger.Ledger("a")
    (write,) = node_ledger.claim(request(1, "k", "f", 0.0), 0.0)
    event = events.TransactionEnded(write.operation_id, _Commit.CONFLICT, (0,))
    _, (read,) = node_ledger.transaction_ended(event, 0.0)
    row = ledger_rows.Row(
        "f", ledger_rows.RowState.CLAIMED, "b", "r9", 0.0, 30.0
    )
    found = ledger_rows.VersionedRow(row, 1)
    settled, _ = node_ledger.row_read(events.RowRead(read.row_key, found), 0.0)
    assert settled == []
    _, (read,) = node_ledger.tick(1.0)
    done = ledger_rows.Row(
        "f", ledger_rows.RowState.DONE, "b", "r9", 0.0, 30.0, ANSWER
    )
    found = ledger_rows.VersionedRow(done, 2)
    settled, _ = node_ledger.row_read(events.RowRead(read.row_key, found), 1.0)
    assert settled == [ledger.SettledClaim("r1", _Claim.REPLAY, ANSWER)]
