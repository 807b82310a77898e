"""At-most-once execution of requests, based on compare-and-set rows.

A row is claimed before anything is sent, and ends as ``done`` with the
response or as ``unknown``.  An unused claim is released.  All writes
that are waiting while a transaction is in progress share the next one.
"""

import dataclasses
import enum

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import ledger_rows
from fireflypulley.core import requests

CLAIM_TIMEOUT_S = 3.0
ANSWER_MARGIN_S = 10.0  # after the deadline; then others may end the row
REREAD_PERIOD_S = 0.3
MAX_WRITES_PER_TRANSACTION = 64


class Claim(enum.StrEnum):
    """The result of a request's claim."""

    GRANTED = "granted"
    REPLAY = "replay"
    MISMATCH = "mismatch"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


@dataclasses.dataclass(frozen=True, slots=True)
class SettledClaim:
    """A request's claim with its result."""

    request_id: str
    claim: Claim
    answer: ledger_rows.StoredAnswer | None = None


class _Step(enum.Enum):
    WRITE_CLAIM = 1
    WRITING = 2
    READ = 3
    READING = 4
    WAIT_FOR_OTHER = 5
    HELD = 6
    WRITE_END = 7
    WRITE_RELEASE = 8


@dataclasses.dataclass(slots=True)
class _Record:
    request: requests.Request
    asked_s: float
    step: _Step
    version: int | None = None
    row_to_write: ledger_rows.Row | None = None
    read_at_s: float = 0.0
    abandoned: bool = False


class Ledger:
    """The at-most-once records that this node is processing."""

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id
        self._records: dict[str, _Record] = {}
        self._writing: dict[str, tuple[str, ...]] = {}
        self._transactions = 0
        self.store_writes = 0

    def __len__(self) -> int:
        return len(self._records)

    def claim(
        self, request: requests.Request, now_s: float
    ) -> list[actions.Action]:
        """Start claiming a request's row."""
        record = _Record(request, now_s, _Step.WRITE_CLAIM)
        record.row_to_write = self._row(
            record, ledger_rows.RowState.CLAIMED, now_s
        )
        self._records[request.request_id] = record
        return self._flush()

    def _row(
        self,
        record: _Record,
        state: ledger_rows.RowState,
        now_s: float,
        answer: ledger_rows.StoredAnswer | None = None,
    ) -> ledger_rows.Row:
        request = record.request
        return ledger_rows.Row(
            fingerprint=request.fingerprint,
            state=state,
            node_id=self._node_id,
            operation_id=request.request_id,
            claimed_s=record.asked_s,
            answer_by_s=request.deadline_s + ANSWER_MARGIN_S,
            answer=answer,
        )

    def _key(self, record: _Record) -> str:
        request = record.request
        return ledger_rows.row_key(request.workspace, request.idempotency_key)

    def finish(
        self,
        request_id: str,
        answer: ledger_rows.StoredAnswer | None,
        now_s: float,
    ) -> list[actions.Action]:
        """Record a sent request's response, or None as ``unknown``."""
        record = self._records.get(request_id)
        if record is None:
            return []
        state = ledger_rows.RowState.DONE
        if answer is None:
            state = ledger_rows.RowState.UNKNOWN
        record.row_to_write = self._row(record, state, now_s, answer)
        record.step = _Step.WRITE_END
        return self._flush()

    def release(self, request_id: str, now_s: float) -> list[actions.Action]:
        """Release the claim of a request of which nothing was sent."""
        record = self._records.get(request_id)
        if record is None:
            return []
        record.abandoned = True
        if record.step in (_Step.WRITING, _Step.READING):
            return []
        if record.step is not _Step.HELD:
            del self._records[request_id]
            return []
        self._prepare_release(record, now_s)
        return self._flush()

    def _prepare_release(self, record: _Record, now_s: float) -> None:
        record.row_to_write = self._row(
            record, ledger_rows.RowState.RELEASED, now_s
        )
        record.step = _Step.WRITE_RELEASE

    def _flush(self) -> list[actions.Action]:
        if self._writing:
            return []
        ready = [
            (request_id, record)
            for request_id, record in self._records.items()
            if record.step
            in (_Step.WRITE_CLAIM, _Step.WRITE_END, _Step.WRITE_RELEASE)
        ]
        writes = []
        request_ids = []
        keys: set[str] = set()
        for request_id, record in ready[:MAX_WRITES_PER_TRANSACTION]:
            key = self._key(record)
            if key in keys or record.row_to_write is None:
                continue
            keys.add(key)
            writes.append(
                ledger_rows.RowWrite(key, record.row_to_write, record.version)
            )
            request_ids.append(request_id)
            record.step = _Step.WRITING
        if not writes:
            return []
        self._transactions += 1
        self.store_writes += 1
        operation_id = f"{self._node_id}-{self._transactions}"
        self._writing = {operation_id: tuple(request_ids)}
        return [actions.Transact(operation_id, tuple(writes))]

    def transaction_ended(
        self, event: events.TransactionEnded, now_s: float
    ) -> tuple[list[SettledClaim], list[actions.Action]]:
        """Handle a transaction's end; return the settled claims."""
        request_ids = self._writing.pop(event.operation_id, ())
        settled: list[SettledClaim] = []
        for index, request_id in enumerate(request_ids):
            record = self._records[request_id]
            if event.commit is ledger_rows.Commit.COMMITTED:
                settled += self._committed(request_id, record, now_s)
            elif event.commit is ledger_rows.Commit.LOST:
                settled += self._lost(request_id, record, now_s)
            elif index in event.conflicts:
                record.step = _Step.READ
            else:
                self._rewrite(record)
        return settled, self._flush() + self._read(now_s)

    def _rewrite(self, record: _Record) -> None:
        assert record.row_to_write is not None
        record.step = {
            ledger_rows.RowState.CLAIMED: _Step.WRITE_CLAIM,
            ledger_rows.RowState.RELEASED: _Step.WRITE_RELEASE,
        }.get(record.row_to_write.state, _Step.WRITE_END)

    def _committed(
        self, request_id: str, record: _Record, now_s: float
    ) -> list[SettledClaim]:
        assert record.row_to_write is not None
        record.version = 1 if record.version is None else record.version + 1
        if record.row_to_write.state is not ledger_rows.RowState.CLAIMED:
            del self._records[request_id]
            return []
        return self._granted(request_id, record, now_s)

    def _granted(
        self, request_id: str, record: _Record, now_s: float
    ) -> list[SettledClaim]:
        if record.abandoned:
            self._prepare_release(record, now_s)
            return []
        record.step = _Step.HELD
        return [SettledClaim(request_id, Claim.GRANTED)]

    def _lost(
        self, request_id: str, record: _Record, now_s: float
    ) -> list[SettledClaim]:
        self._rewrite(record)
        if record.step is not _Step.WRITE_CLAIM or record.abandoned:
            return []
        if now_s - record.asked_s < CLAIM_TIMEOUT_S:
            return []
        record.abandoned = True
        self._prepare_release(record, now_s)
        return [SettledClaim(request_id, Claim.UNAVAILABLE)]

    def _read(self, now_s: float) -> list[actions.Action]:
        todo: list[actions.Action] = []
        for record in self._records.values():
            is_waiting = record.step is _Step.WAIT_FOR_OTHER
            if record.step is _Step.READ or (
                is_waiting and now_s - record.read_at_s >= REREAD_PERIOD_S
            ):
                record.step = _Step.READING
                record.read_at_s = now_s
                todo.append(actions.ReadRow(self._key(record)))
        return todo

    def row_read(
        self, event: events.RowRead, now_s: float
    ) -> tuple[list[SettledClaim], list[actions.Action]]:
        """Handle a row that was read; return the settled claims."""
        settled: list[SettledClaim] = []
        for request_id, record in list(self._records.items()):
            if record.step is not _Step.READING:
                continue
            if self._key(record) != event.row_key:
                continue
            settled += self._process_row(request_id, record, event, now_s)
        return settled, self._flush()

    def _process_row(
        self,
        request_id: str,
        record: _Record,
        event: events.RowRead,
        now_s: float,
    ) -> list[SettledClaim]:
        if event.failed:
            return self._unreadable(request_id, record, now_s)
        if event.stored is None:
            record.version = None
            self._rewrite(record)
            return []
        record.version = event.stored.version
        row = event.stored.row
        if row.operation_id == record.request.request_id:
            return self._own_row(request_id, record, row, now_s)
        if record.abandoned or self._writes_end(record):
            del self._records[request_id]
            return []
        return self._other_row(request_id, record, row, now_s)

    def _writes_end(self, record: _Record) -> bool:
        assert record.row_to_write is not None
        return record.row_to_write.state is not ledger_rows.RowState.CLAIMED

    def _unreadable(
        self, request_id: str, record: _Record, now_s: float
    ) -> list[SettledClaim]:
        record.step = _Step.WAIT_FOR_OTHER
        if record.abandoned or self._writes_end(record):
            return []
        if now_s - record.asked_s < CLAIM_TIMEOUT_S:
            return []
        record.abandoned = True
        self._prepare_release(record, now_s)
        return [SettledClaim(request_id, Claim.UNAVAILABLE)]

    def _own_row(
        self,
        request_id: str,
        record: _Record,
        row: ledger_rows.Row,
        now_s: float,
    ) -> list[SettledClaim]:
        if row.state is ledger_rows.RowState.CLAIMED:
            if self._writes_end(record):
                self._rewrite(record)
                return []
            return self._granted(request_id, record, now_s)
        del self._records[request_id]
        if self._writes_end(record):
            return []
        return [SettledClaim(request_id, Claim.UNKNOWN)]

    def _other_row(
        self,
        request_id: str,
        record: _Record,
        row: ledger_rows.Row,
        now_s: float,
    ) -> list[SettledClaim]:
        if row.state is ledger_rows.RowState.RELEASED:
            record.step = _Step.WRITE_CLAIM
            return []
        if row.fingerprint != record.request.fingerprint:
            del self._records[request_id]
            return [SettledClaim(request_id, Claim.MISMATCH)]
        if row.state is ledger_rows.RowState.DONE:
            del self._records[request_id]
            return [SettledClaim(request_id, Claim.REPLAY, row.answer)]
        if row.state is ledger_rows.RowState.UNKNOWN:
            del self._records[request_id]
            return [SettledClaim(request_id, Claim.UNKNOWN)]
        if now_s > row.answer_by_s:
            self._mark_unknown(record, row)
            return [SettledClaim(request_id, Claim.UNKNOWN)]
        if now_s >= record.request.deadline_s:
            del self._records[request_id]
            return [SettledClaim(request_id, Claim.IN_PROGRESS)]
        record.step = _Step.WAIT_FOR_OTHER
        return []

    def _mark_unknown(self, record: _Record, row: ledger_rows.Row) -> None:
        record.row_to_write = dataclasses.replace(
            row, state=ledger_rows.RowState.UNKNOWN
        )
        record.step = _Step.WRITE_END

    def tick(
        self, now_s: float
    ) -> tuple[list[SettledClaim], list[actions.Action]]:
        """Retry store operations and end overdue waits for other nodes."""
        settled: list[SettledClaim] = []
        for request_id, record in list(self._records.items()):
            late = now_s >= record.request.deadline_s
            if late and record.step is _Step.WAIT_FOR_OTHER:
                if not (record.abandoned or self._writes_end(record)):
                    del self._records[request_id]
                    settled.append(SettledClaim(request_id, Claim.IN_PROGRESS))
        return settled, self._flush() + self._read(now_s)
