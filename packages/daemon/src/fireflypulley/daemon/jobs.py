"""Runs jobs: takes, checkpoints, ends and hands them over."""

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
    """Tells the core how a job's request ended."""

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

    def refuse(self, refusal: problems.Refusal) -> None:
        self._loop.feed(
            events.JobRefused(self._job_id, refusal, self._task.tokens)
        )


@dataclasses.dataclass(slots=True)
class _Held:
    """What this node has of a job."""

    payload: bytes
    transcript: bytes = b""
    tokens: int = 0
    etag: str | None = None
    task: tasks.RequestTask | None = None


class JobRunner:
    """The jobs that this node runs, with their text."""

    def __init__(
        self,
        loop: driver.Driver,
        rows: job_store.JobStore,
        task_registry: registry.Registry,
        dependencies: tasks.Dependencies,
    ) -> None:
        self._loop = loop
        self._rows = rows
        self._registry = task_registry
        self._dependencies = dependencies
        self._held: dict[str, _Held] = {}
        loop.handle(actions.TakeJob, lambda a: store.spawn(self._take(a)))
        loop.handle(actions.StartJob, self._start)
        loop.handle(
            actions.WriteCheckpoint,
            lambda a: store.spawn(self._checkpoint(a)),
        )
        loop.handle(actions.EndJob, lambda a: store.spawn(self._end(a)))
        loop.handle(actions.DropJob, self._drop)

    async def poll(self) -> None:
        """Read the rows that have changed."""
        try:
            rows = await self._rows.fetch_updates()
        except base.Unavailable:
            return
        if rows:
            self._loop.feed(events.JobsRead(rows))

    def transcript(self, job_id: str) -> bytes | None:
        """Return a job's events, if this node runs it."""
        held = self._held.get(job_id)
        if held is None:
            return None
        self._update(held)
        return held.transcript

    def tokens(self, job_id: str) -> int:
        """Return how many tokens this node has of a job."""
        held = self._held.get(job_id)
        if held is None:
            return 0
        self._update(held)
        return held.tokens

    def payload(self, job_id: str) -> bytes:
        """Return the payload of a job that this node runs."""
        return self._held[job_id].payload

    def _update(self, held: _Held) -> None:
        if held.task is not None:
            held.transcript = bytes(held.task.transcript)
            held.tokens = held.task.tokens

    def receive(
        self, job: job_rows.Job, body: bytes, transcript: bytes, tokens: int
    ) -> None:
        """Take a job over from a leaving node."""
        if job.job_id not in self._held:
            self._held[job.job_id] = _Held(body, transcript, tokens)
        self._loop.feed(events.JobReceived(job, tokens))

    # Actions

    async def _take(self, action: actions.TakeJob) -> None:
        job = action.job
        try:
            row = await self._rows.write(job, action.version)
            held = self._held.get(job.job_id)
            if held is None:
                body = await self._rows.payload(job.job_id)
                held = self._held.setdefault(job.job_id, _Held(body))
            await self._load_progress(job, held)
        except base.Conflict:
            await self.poll()
            return
        except base.Unavailable:
            return
        self._loop.feed(events.JobTaken(row, held.tokens))

    async def _load_progress(self, job: job_rows.Job, held: _Held) -> None:
        """Read the checkpoint and write it back in the new epoch.

        From then on the earlier owner's checkpoints conflict.
        """
        self._update(held)
        stored = await self._rows.progress(job.job_id)
        if stored is not None and stored.progress.tokens > held.tokens:
            if held.task is None:
                text = stored.progress.transcript
                held.transcript = text.encode()
                held.tokens = stored.progress.tokens
        etag = None if stored is None else stored.etag
        progress = self._progress(job, held)
        held.etag = await self._rows.put_progress(job.job_id, progress, etag)

    def _progress(
        self, job: job_rows.Job, held: _Held
    ) -> job_store.JobProgress:
        self._update(held)
        return job_store.JobProgress(
            job.epoch, held.tokens, held.transcript.decode()
        )

    def _start(self, action: actions.StartJob) -> None:
        job = action.job
        held = self._held[job.job_id]
        self._update(held)
        request = job_rows.request_of(job)
        sent = payload.Payload(
            "POST", RUN_PATH, "application/json", held.payload
        )
        task = tasks.RequestTask(self._dependencies, request, sent, job.job_id)
        task.job_id = job.job_id
        task.preload(held.transcript, held.tokens)
        held.task = task
        self._registry.add(task)
        task.attach(JobSink(self._loop, job.job_id, task), held.tokens - 1)
        self._loop.feed(
            events.RequestArrived(request, held.tokens, accepted=True)
        )

    async def _store(self, job: job_rows.Job) -> bool:
        """Store a job's text; return False when it is another node's."""
        held = self._held.get(job.job_id)
        if held is None:
            return True
        progress = self._progress(job, held)
        try:
            held.etag = await self._rows.put_progress(
                job.job_id, progress, held.etag
            )
        except base.Conflict:
            return await self._settle(job, held)
        return True

    async def _settle(self, job: job_rows.Job, held: _Held) -> bool:
        """Settle a conflict: a lost answer of ours, or another owner."""
        stored = await self._rows.progress(job.job_id)
        if stored is not None and stored.progress.epoch > job.epoch:
            return False
        held.etag = None if stored is None else stored.etag
        progress = self._progress(job, held)
        held.etag = await self._rows.put_progress(
            job.job_id, progress, held.etag
        )
        return True

    async def _checkpoint(self, action: actions.WriteCheckpoint) -> None:
        try:
            mine = await self._store(action.job)
        except (base.Unavailable, base.Conflict):
            return
        if not mine:
            self._loop.feed(events.JobFenced(action.job.job_id))

    async def _end(self, action: actions.EndJob) -> None:
        job = action.job
        try:
            mine = await self._store(job)
            if mine:
                row = await self._rows.write(job, action.version)
        except base.Conflict:
            await self.poll()
            return
        except base.Unavailable:
            return
        if not mine:
            self._loop.feed(events.JobFenced(job.job_id))
            return
        self._forget(job.job_id)
        self._loop.feed(events.JobEnded(row))

    def _forget(self, job_id: str) -> None:
        held = self._held.pop(job_id, None)
        if held is not None and held.task is not None:
            self._registry.drop(held.task)

    def _drop(self, action: actions.DropJob) -> None:
        held = self._held.get(action.job_id)
        if held is not None and held.task is not None:
            request_id = held.task.request.request_id
            self._loop.feed(events.HandedOver(request_id))
        self._forget(action.job_id)
