"""A simulated platform table, with outages and lost responses."""

import collections.abc
import dataclasses

from fireflypulley.core import configuration
from fireflypulley.core import job_rows
from fireflypulley.core import leases
from fireflypulley.core import ledger_rows
from fireflystandins.virtual import clock

LATENCY_S = 0.005
TIMEOUT_S = 2.0


class Unavailable(Exception):
    """The table did not respond."""


@dataclasses.dataclass
class Faults:
    """The active faults of the table."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0


@dataclasses.dataclass(frozen=True)
class Progress:
    """A job's checkpoint."""

    epoch: int
    tokens: int


class Store:
    """Configuration, ledger, leases and jobs as typed rows."""

    def __init__(self, time: clock.Clock) -> None:
        self._time = time
        self.faults = Faults()
        self.entries: dict[tuple[str, str], configuration.Entry] = {}
        self.ledger: dict[str, ledger_rows.VersionedRow] = {}
        self.leases: dict[str, leases.Lease] = {}
        self.jobs: dict[str, job_rows.JobRow] = {}
        self.progress: dict[str, Progress] = {}
        self.writes = 0
        self.reads = 0

    def call(
        self,
        work: collections.abc.Callable[[], object],
        done: collections.abc.Callable[[object], None],
        writes: bool = False,
    ) -> None:
        """Run work in the table and call ``done`` with its result.

        The result is ``Unavailable`` when the table does not respond.
        """
        if self.faults.down:
            self._time.call_later(LATENCY_S, lambda: done(Unavailable()))
            return
        slow_s = self.faults.slow_s
        self._time.call_later(
            LATENCY_S + slow_s / 2, lambda: self._run(work, done, writes)
        )

    def _run(
        self,
        work: collections.abc.Callable[[], object],
        done: collections.abc.Callable[[object], None],
        writes: bool,
    ) -> None:
        result = work()
        self.writes += writes
        self.reads += not writes
        lost = writes and self.faults.lose_answers > 0
        if lost:
            self.faults.lose_answers -= 1
        slow_s = self.faults.slow_s
        if lost or slow_s >= TIMEOUT_S:
            self._time.call_later(TIMEOUT_S, lambda: done(Unavailable()))
        else:
            self._time.call_later(slow_s / 2, lambda: done(result))

    # Work for ``call``

    def transact(
        self, writes: tuple[ledger_rows.RowWrite, ...]
    ) -> tuple[int, ...]:
        """Do all writes or none; return the conflicting indexes."""
        conflicts = []
        for index, write in enumerate(writes):
            current = self.ledger.get(write.row_key)
            version = None if current is None else current.version
            if version != write.version:
                conflicts.append(index)
        if conflicts:
            return tuple(conflicts)
        for write in writes:
            self.ledger[write.row_key] = ledger_rows.VersionedRow(
                write.row, (write.version or 0) + 1
            )
        return ()

    def write_entries(
        self, entries: tuple[configuration.Entry, ...]
    ) -> tuple[configuration.Entry, ...] | None:
        """Write entries if no version has changed, else return None."""
        for entry in entries:
            current = self.entries.get((entry.kind.value, entry.name))
            if (current.version if current else 0) != entry.version:
                return None
        written = []
        for entry in entries:
            updated = dataclasses.replace(entry, version=entry.version + 1)
            self.entries[(entry.kind.value, entry.name)] = updated
            written.append(updated)
        return tuple(written)

    def acquire(
        self, name: str, holder: str, asked_s: float, ttl_s: float
    ) -> leases.Lease | None:
        """Take or renew a lease, or return None."""
        current = self.leases.get(name)
        renewed = leases.renewal(current, holder, asked_s, ttl_s)
        if renewed is not None:
            self.leases[name] = renewed
        return renewed

    def write_job(
        self, job: job_rows.Job, version: int
    ) -> job_rows.JobRow | None:
        """Write a job's row over a version (0: new row), else return None."""
        current = self.jobs.get(job.job_id)
        if (current.version if current else 0) != version:
            return None
        row = job_rows.JobRow(job, version + 1)
        self.jobs[job.job_id] = row
        return row

    def checkpoint(self, job: job_rows.Job, tokens: int) -> bool:
        """Store a job's progress; return False for an old epoch."""
        current = self.progress.get(job.job_id)
        if current is not None and current.epoch > job.epoch:
            return False
        self.progress[job.job_id] = Progress(job.epoch, tokens)
        return True
