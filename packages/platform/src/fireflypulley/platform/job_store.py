"""Stores jobs: their rows, payloads and checkpoints."""

import dataclasses

import pydantic

from fireflypulley.core import job_rows
from fireflypulley.platform import base
from fireflypulley.platform import repository

JOB_TABLE = "jobs"

_JOB = pydantic.TypeAdapter(job_rows.Job)


@dataclasses.dataclass(frozen=True, slots=True)
class JobProgress:
    """A job's progress; ``transcript`` holds the events callers may have."""

    epoch: int
    tokens: int
    transcript: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredProgress:
    """A job's checkpoint and its ETag."""

    progress: JobProgress
    etag: str


class JobStore:
    """Keeps job rows in the table, payloads and checkpoints as objects."""

    def __init__(self, table: base.Table, objects: base.ObjectStore) -> None:
        self._table = table
        self._objects = objects
        self._revision = 0

    async def fetch_updates(self) -> tuple[job_rows.JobRow, ...]:
        """Return the rows changed since the last call.

        Raises ``base.Unavailable``.
        """
        changes = await self._table.changes(JOB_TABLE, self._revision)
        self._revision = changes.revision
        return tuple(
            job_rows.JobRow(repository.parse_row(_JOB, row), row.version)
            for row in changes.rows
        )

    async def read(self, job_id: str) -> job_rows.JobRow | None:
        """Return a job's row; raises ``base.Unavailable``."""
        row = await self._table.read(JOB_TABLE, job_id)
        if row is None:
            return None
        return job_rows.JobRow(repository.parse_row(_JOB, row), row.version)

    async def write(
        self, job: job_rows.Job, version: int | None
    ) -> job_rows.JobRow:
        """Replace a version of a row; None creates the row.

        Raises ``base.Conflict`` and ``base.Unavailable``.
        """
        write = base.Write(JOB_TABLE, job.job_id, version, _JOB.dump_json(job))
        operation_id = f"{job.job_id}-{job.epoch}-{job.state.value}"
        versions = await self._table.transact(operation_id, (write,))
        return job_rows.JobRow(job, versions[0])

    async def put_payload(self, job_id: str, payload: bytes) -> None:
        """Store a job's payload unless one exists.

        Raises ``base.Unavailable``.
        """
        try:
            await self._objects.put(_payload_name(job_id), payload, None)
        except base.Conflict:
            pass

    async def payload(self, job_id: str) -> bytes:
        """Return a job's payload; raises ``base.Unavailable``."""
        stored = await self._objects.get(_payload_name(job_id))
        if stored is None:
            raise base.Unavailable(f"no payload of job {job_id!r}")
        return stored.content

    async def progress(self, job_id: str) -> StoredProgress | None:
        """Return a job's checkpoint; raises ``base.Unavailable``."""
        stored = await self._objects.get(_progress_name(job_id))
        if stored is None:
            return None
        try:
            progress = _PROGRESS.validate_json(stored.content)
        except pydantic.ValidationError as error:
            raise base.Unavailable(f"invalid checkpoint {job_id!r}: {error}")
        return StoredProgress(progress, stored.etag)

    async def put_progress(
        self, job_id: str, progress: JobProgress, etag: str | None
    ) -> str:
        """Replace a version of a checkpoint; return the new ETag.

        Raises ``base.Conflict`` and ``base.Unavailable``.
        """
        content = _PROGRESS.dump_json(progress)
        name = _progress_name(job_id)
        return await self._objects.put(name, content, etag)


def _payload_name(job_id: str) -> str:
    return f"jobs/{job_id}/payload"


def _progress_name(job_id: str) -> str:
    return f"jobs/{job_id}/progress"


_PROGRESS = pydantic.TypeAdapter(JobProgress)
