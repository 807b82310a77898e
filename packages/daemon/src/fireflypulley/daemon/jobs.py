"""Runs jobs: takes ownership, writes checkpoints and ends them."""

import dataclasses

from fireflypulley.callers import gateway
from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import job_rows
from fireflypulley.core import ledger_rows
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.daemon import driver
from fireflypulley.daemon import registry
from fireflypulley.daemon import store
from fireflypulley.daemon import tasks
from fireflypulley.platform import base
from fireflypulley.platform import job_store

RUN_PATH = "/v1/chat/completions"


class JobSink(gateway.Sink):
    """Reports to the core how a job's request ended."""

    def __init__(
        self, loop: driver.Driver, job_id: str, task: tasks.RequestTask
    ) -> None:
        self._loop = loop
        self._job_id = job_id
        self._task = task

    @property
    def open(self) -> bool:
        return True

    def events(self, data: bytes) -> None:
        pass

    def finish(self, transcript: bytes) -> None:
        self._loop.feed(events.JobAnswered(self._job_id))

    def answer(self, answer: ledger_rows.StoredAnswer) -> None:
        text = answer.body[:200].decode(errors="replace")
        refusal = problems.Refusal(
            problems.Reason.BAD_REQUEST,
            problems.Run.FAILED,
            f"the engine answered {answer.status}: {text}",
        )
        self.refuse(refusal)

    def give_up(self) -> None:
        """Go on; nobody else would run the job."""

    def refuse(self, refusal: problems.Refusal) -> None:
        self._loop.feed(
            events.JobRefused(self._job_id, refusal, self._task.tokens)
        )


@dataclasses.dataclass(slots=True)
class _LocalJob:
    """The data of a job that this node runs.

    ``saved`` is what this node has last stored of the transcript.
    """

    payload: bytes
    transcript: bytes = b""
    tokens: int = 0
    saved: bytes | None = None
    etag: str | None = None
    task: tasks.RequestTask | None = None


class JobRunner:
    """The jobs that this node runs, with their transcripts."""

    def __init__(
        self,
        loop: driver.Driver,
        storage: job_store.JobStore,
        task_registry: registry.Registry,
        dependencies: tasks.Dependencies,
    ) -> None:
        self._loop = loop
        self._job_store = storage
        self._registry = task_registry
        self._dependencies = dependencies
        self._local_jobs: dict[str, _LocalJob] = {}
        loop.set_handler(actions.TakeJob, lambda a: store.spawn(self._take(a)))
        loop.set_handler(actions.StartJob, self._start)
        loop.set_handler(
            actions.WriteCheckpoint,
            lambda a: store.spawn(self._checkpoint(a)),
        )
        loop.set_handler(actions.EndJob, lambda a: store.spawn(self._end(a)))
        loop.set_handler(actions.DropJob, self._drop)

    async def poll(self) -> None:
        """Read the job rows that have changed."""
        try:
            rows = await self._job_store.fetch_updates()
        except base.Unavailable:
            return
        if rows:
            self._loop.feed(events.JobsRead(rows))

    def transcript(self, job_id: str) -> bytes | None:
        """Return a job's events, or None if this node does not run it."""
        local_job = self._local_jobs.get(job_id)
        if local_job is None:
            return None
        self._sync_from_task(local_job)
        return local_job.transcript

    def saved_transcript(self, job_id: str) -> bytes | None:
        """Return the events that last, or None if they are read elsewhere.

        Later ones may be written anew, by a node that takes the job over.
        """
        local_job = self._local_jobs.get(job_id)
        return None if local_job is None else local_job.saved

    def tokens(self, job_id: str) -> int:
        """Return the number of tokens of a job in its transcript here."""
        local_job = self._local_jobs.get(job_id)
        if local_job is None:
            return 0
        self._sync_from_task(local_job)
        return local_job.tokens

    def payload(self, job_id: str) -> bytes:
        """Return the payload of a job that this node runs."""
        return self._local_jobs[job_id].payload

    def _sync_from_task(self, local_job: _LocalJob) -> None:
        if local_job.task is not None:
            local_job.transcript = bytes(local_job.task.transcript)
            local_job.tokens = local_job.task.tokens

    def receive(
        self, job: job_rows.Job, body: bytes, transcript: bytes, tokens: int
    ) -> None:
        """Take a job over from a leaving node."""
        if job.job_id not in self._local_jobs:
            self._local_jobs[job.job_id] = _LocalJob(body, transcript, tokens)
        self._loop.feed(events.JobReceived(job, tokens))

    # Actions

    async def _take(self, action: actions.TakeJob) -> None:
        job = action.job
        try:
            row = await self._job_store.write(job, action.version)
            local_job = self._local_jobs.get(job.job_id)
            if local_job is None:
                body = await self._job_store.payload(job.job_id)
                local_job = self._local_jobs.setdefault(
                    job.job_id, _LocalJob(body)
                )
            restarts = await self._load_progress(job, local_job)
        except base.Conflict:
            await self.poll()
            return
        except base.Unavailable:
            return
        self._loop.feed(events.JobTaken(row, local_job.tokens, restarts))

    async def _load_progress(
        self, job: job_rows.Job, local_job: _LocalJob
    ) -> bool:
        """Read the checkpoint and write it back with the new epoch.

        This fences the previous owner: its later checkpoints conflict.
        Readers may have all of the checkpoint, so a job that was received
        goes on from there if its events here are others.  Return whether
        a run was given up for that.
        """
        stored = await self._job_store.progress(job.job_id)
        self._sync_from_task(local_job)
        if stored is None:
            await self._write_progress(job, local_job, None)
            return False
        saved = stored.progress.transcript.encode()
        if local_job.transcript.startswith(saved):
            await self._write_progress(job, local_job, stored.etag)
            return False
        progress = dataclasses.replace(stored.progress, epoch=job.epoch)
        await self._put_progress(job, local_job, progress, stored.etag)
        return self._go_back(local_job, progress)

    def _go_back(
        self, local_job: _LocalJob, progress: job_store.JobProgress
    ) -> bool:
        """Set a job back to its checkpoint; return whether it was run."""
        task, local_job.task = local_job.task, None
        if task is not None:
            task.cancel_attempt()
            self._loop.feed(events.HandedOver(task.request.request_id))
            self._registry.drop(task)
        local_job.transcript = progress.transcript.encode()
        local_job.tokens = progress.tokens
        return task is not None

    async def _write_progress(
        self, job: job_rows.Job, local_job: _LocalJob, etag: str | None
    ) -> None:
        progress = self._progress(job, local_job)
        await self._put_progress(job, local_job, progress, etag)

    async def _put_progress(
        self,
        job: job_rows.Job,
        local_job: _LocalJob,
        progress: job_store.JobProgress,
        etag: str | None,
    ) -> None:
        local_job.etag = await self._job_store.put_progress(
            job.job_id, progress, etag
        )
        local_job.saved = progress.transcript.encode()

    def _progress(
        self, job: job_rows.Job, local_job: _LocalJob
    ) -> job_store.JobProgress:
        self._sync_from_task(local_job)
        return job_store.JobProgress(
            job.epoch, local_job.tokens, local_job.transcript.decode()
        )

    def _start(self, action: actions.StartJob) -> None:
        job = action.job
        local_job = self._local_jobs[job.job_id]
        self._sync_from_task(local_job)
        request = job_rows.request_of(job)
        request_payload = payload.Payload(
            "POST", RUN_PATH, "application/json", local_job.payload
        )
        task = tasks.RequestTask(
            self._dependencies, request, request_payload, job.job_id
        )
        task.job_id = job.job_id
        task.preload(local_job.transcript, local_job.tokens)
        local_job.task = task
        self._registry.add(task)
        task.attach(JobSink(self._loop, job.job_id, task), task.last_event_id)
        self._loop.feed(
            events.RequestArrived(request, local_job.tokens, accepted=True)
        )

    async def _save_progress(self, job: job_rows.Job) -> bool:
        """Write a checkpoint; return False if another node owns the job."""
        local_job = self._local_jobs.get(job.job_id)
        if local_job is None:
            return True
        try:
            await self._write_progress(job, local_job, local_job.etag)
        except base.Conflict:
            return await self._resolve_conflict(job, local_job)
        return True

    async def _resolve_conflict(
        self, job: job_rows.Job, local_job: _LocalJob
    ) -> bool:
        """Resolve a conflict when writing a checkpoint.

        Either the response to an earlier write of this node was lost,
        or another node has taken the job in a later epoch.
        """
        stored = await self._job_store.progress(job.job_id)
        if stored is not None and stored.progress.epoch > job.epoch:
            return False
        local_job.etag = None if stored is None else stored.etag
        await self._write_progress(job, local_job, local_job.etag)
        return True

    async def _checkpoint(self, action: actions.WriteCheckpoint) -> None:
        try:
            is_owner = await self._save_progress(action.job)
        except (base.Unavailable, base.Conflict):
            return
        if not is_owner:
            self._loop.feed(events.JobFenced(action.job.job_id))

    async def _end(self, action: actions.EndJob) -> None:
        job = action.job
        try:
            is_owner = await self._save_progress(job)
            if is_owner:
                row = await self._job_store.write(job, action.version)
        except base.Conflict:
            await self.poll()
            return
        except base.Unavailable:
            return
        if not is_owner:
            self._loop.feed(events.JobFenced(job.job_id))
            return
        self._remove(job.job_id)
        self._loop.feed(events.JobEnded(row))

    def _remove(self, job_id: str) -> None:
        local_job = self._local_jobs.pop(job_id, None)
        if local_job is not None and local_job.task is not None:
            self._registry.drop(local_job.task)

    def _drop(self, action: actions.DropJob) -> None:
        local_job = self._local_jobs.get(action.job_id)
        if local_job is not None and local_job.task is not None:
            request_id = local_job.task.request.request_id
            self._loop.feed(events.HandedOver(request_id))
        self._remove(action.job_id)
