"""Callers' operations on jobs."""

import hashlib
import json
import secrets

from fireflypulley.callers import events as sse
from fireflypulley.callers import gateway
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import job_rows
from fireflypulley.core import ledger_rows
from fireflypulley.core import matching
from fireflypulley.core import problems
from fireflypulley.daemon import driver
from fireflypulley.daemon import frontend
from fireflypulley.daemon import jobs
from fireflypulley.daemon import store
from fireflypulley.platform import base
from fireflypulley.platform import job_store

RETRY_AFTER_S = 2.0
JOB_ID_BYTES = 12


class JobFrontend:
    """Submits, reads and cancels jobs for callers."""

    def __init__(
        self,
        loop: driver.Driver,
        storage: job_store.JobStore,
        runner: jobs.JobRunner,
        request_frontend: frontend.Frontend,
    ) -> None:
        self._loop = loop
        self._job_store = storage
        self._runner = runner
        self._frontend = request_frontend

    def _refuse_store_unavailable(
        self, sink: gateway.Sink, run: problems.Run, detail: str
    ) -> None:
        refusal = problems.Refusal(
            problems.Reason.STORE_UNAVAILABLE, run, detail, RETRY_AFTER_S
        )
        self._frontend.send_refusal(sink, refusal)

    def submit(self, call: gateway.Call, sink: gateway.Sink) -> None:
        """Accept a job after its payload and its row were stored."""
        authenticated = self._frontend.authenticate(call, sink)
        if authenticated is None:
            return
        name, workspace = authenticated
        route = self._frontend.find_route(workspace, call)
        if isinstance(route, problems.Refusal):
            self._frontend.send_refusal(sink, route)
            return
        job = self._create_job(name, route, call)
        store.spawn(self._submit(job, call, sink))

    def _create_job(
        self, workspace: str, route: configuration.Route, call: gateway.Call
    ) -> job_rows.Job:
        job_id = secrets.token_hex(JOB_ID_BYTES)
        if call.idempotency_key:
            text = f"{workspace}/{call.idempotency_key}".encode()
            digest = hashlib.blake2b(text, digest_size=JOB_ID_BYTES)
            job_id = digest.hexdigest()
        now_s = self._loop.now_s()
        body = hashlib.blake2b(call.payload.body, digest_size=16)
        return job_rows.Job(
            job_id,
            workspace,
            route.name,
            route.service,
            body.hexdigest(),
            now_s,
            now_s + route.deadline_s,
        )

    async def _submit(
        self, job: job_rows.Job, call: gateway.Call, sink: gateway.Sink
    ) -> None:
        try:
            await self._job_store.put_payload(job.job_id, call.payload.body)
        except base.Unavailable as error:
            self._refuse_store_unavailable(
                sink, problems.Run.NOT_RUN, str(error)
            )
            return
        try:
            row = await self._job_store.write(job, None)
        except base.Conflict:
            await self._answer_existing(job, sink)
            return
        except base.Unavailable:
            await self._answer_existing(job, sink)
            return
        self._loop.feed(events.JobsRead((row,)))
        self._answer_accepted(row.job, sink)

    async def _answer_existing(
        self, job: job_rows.Job, sink: gateway.Sink
    ) -> None:
        """Answer a submission whose row exists or may exist."""
        try:
            row = await self._job_store.read(job.job_id)
        except base.Unavailable as error:
            detail = f"the job may have been accepted: {error}"
            self._refuse_store_unavailable(sink, problems.Run.UNKNOWN, detail)
            return
        if row is None:
            detail = "the job may still be accepted"
            self._refuse_store_unavailable(sink, problems.Run.UNKNOWN, detail)
        elif row.job.fingerprint != job.fingerprint:
            self._frontend.refuse(
                sink,
                problems.Reason.KEY_REUSED,
                "the idempotency key belongs to another job",
            )
        else:
            self._loop.feed(events.JobsRead((row,)))
            self._answer_accepted(row.job, sink)

    def _answer_accepted(self, job: job_rows.Job, sink: gateway.Sink) -> None:
        sink.answer(_json_answer(202, _status(job)))

    async def _find_row(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> job_rows.JobRow | None:
        authenticated = self._frontend.authenticate(call, sink)
        if authenticated is None:
            return None
        row = self._loop.core.state.jobs.row(job_id)
        if row is None or not row.job.ended:
            try:
                row = await self._job_store.read(job_id)
            except base.Unavailable as error:
                if row is None:
                    run = problems.Run.UNKNOWN
                    self._refuse_store_unavailable(sink, run, str(error))
                    return None
        if row is None or row.job.workspace != authenticated[0]:
            self._frontend.refuse(
                sink, problems.Reason.NOT_FOUND, f"no job {job_id!r}"
            )
            return None
        return row

    def status(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> None:
        """Send a job's status."""
        store.spawn(self._send_status(call, job_id, sink))

    async def _send_status(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> None:
        row = await self._find_row(call, job_id, sink)
        if row is not None:
            sink.answer(_json_answer(200, _status(row.job)))

    def text(
        self,
        call: gateway.Call,
        job_id: str,
        offset: int,
        sink: gateway.Sink,
    ) -> None:
        """Send a job's text from an offset in characters."""
        store.spawn(self._send_text(call, job_id, offset, sink))

    async def _send_text(
        self,
        call: gateway.Call,
        job_id: str,
        offset: int,
        sink: gateway.Sink,
    ) -> None:
        row = await self._find_row(call, job_id, sink)
        if row is None:
            return
        transcript = self._runner.saved_transcript(job_id)
        if transcript is None:
            try:
                stored = await self._job_store.progress(job_id)
            except base.Unavailable as error:
                run = problems.Run.UNKNOWN
                self._refuse_store_unavailable(sink, run, str(error))
                return
            text = "" if stored is None else stored.progress.transcript
            transcript = text.encode()
        fields = _status(row.job)
        fields["offset"] = offset
        fields["text"] = sse.text_of(transcript)[offset:]
        sink.answer(_json_answer(200, fields))

    def cancel(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> None:
        """Cancel a job, unless it has ended."""
        store.spawn(self._cancel(call, job_id, sink))

    async def _cancel(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> None:
        row = await self._find_row(call, job_id, sink)
        if row is None:
            return
        job = row.job
        if not job.ended:
            job = job_rows.cancelled(job)
            try:
                written = await self._job_store.write(job, row.version)
            except (base.Conflict, base.Unavailable):
                detail = "the job changed meanwhile; try again"
                self._refuse_store_unavailable(
                    sink, problems.Run.UNKNOWN, detail
                )
                return
            self._loop.feed(events.JobsRead((written,)))
        sink.answer(_json_answer(200, _status(job)))


def _status(job: job_rows.Job) -> dict[str, str | float | int]:
    return {
        "job_id": job.job_id,
        "state": job.state.value,
        "reason": job.reason,
        "submitted_s": job.submitted_s,
        "deadline_s": job.deadline_s,
        "location": f"{matching.JOBS_PATH}/{job.job_id}",
    }


def _json_answer(
    status: int, fields: dict[str, str | float | int]
) -> ledger_rows.StoredAnswer:
    body = json.dumps(fields).encode()
    return ledger_rows.stored_answer(status, "application/json", body)
