"""Long-running jobs that survive the node which runs them.

A job is accepted once its row is written.  One node owns it at a time.
The epoch grows with every owner and is the fencing number: a node that
resumes after a pause can neither checkpoint nor finish a job that
another node has taken over.
"""

import dataclasses

from fireflypulley.core import actions
from fireflypulley.core import job_rows
from fireflypulley.core import membership
from fireflypulley.core import problems

MIN_CHECKPOINT_PERIOD_S = 5.0
MAX_CHECKPOINTS_PER_S = 150.0  # of all nodes together
RETRY_PERIOD_S = 3.0


@dataclasses.dataclass(slots=True)
class _Running:
    job: job_rows.Job
    confirmed: bool
    checkpointed_s: float
    started: bool = False
    restart_s: float = 0.0
    end: job_rows.JobState | None = None
    reason: str = ""
    write_asked_s: float = float("-inf")
    tokens: int = 0


class Jobs:
    """The jobs known to this node, and those that it runs."""

    def __init__(
        self,
        node_id: str,
        incarnation: int,
        members: membership.Membership,
    ) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._members = members
        self._rows: dict[str, job_rows.JobRow] = {}
        self._running: dict[str, _Running] = {}
        self._asked_s: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._running)

    def row(self, job_id: str) -> job_rows.JobRow | None:
        """Return a job's row as last seen."""
        return self._rows.get(job_id)

    def apply_rows(
        self, rows: tuple[job_rows.JobRow, ...]
    ) -> list[actions.Action]:
        """Apply rows; drop the jobs that another node has taken."""
        todo: list[actions.Action] = []
        for row in rows:
            known = self._rows.get(row.job.job_id)
            if known is not None and known.version >= row.version:
                continue
            self._rows[row.job.job_id] = row
            running = self._running.get(row.job.job_id)
            if running is None:
                continue
            if row.job.epoch > running.job.epoch or row.job.ended:
                todo += self.drop(row.job.job_id)
        return todo

    def drop(self, job_id: str) -> list[actions.Action]:
        """Stop a job that this node no longer owns."""
        if self._running.pop(job_id, None) is None:
            return []
        return [actions.DropJob(job_id)]

    def _may_take(self, job: job_rows.Job, now_s: float) -> bool:
        if job.ended or job.job_id in self._running:
            return False
        if job.owner == self._node_id:
            return True
        if job.owner in self._members.alive(now_s):
            return False
        return self._members.owns(f"job/{job.job_id}", now_s)

    def taken(
        self, job: job_rows.Job, version: int, tokens: int, now_s: float
    ) -> None:
        """Run a job whose row this node has taken."""
        self._rows[job.job_id] = job_rows.JobRow(job, version)
        running = self._running.get(job.job_id)
        if running is not None:
            running.job = job
            running.confirmed = True
            return
        self._running[job.job_id] = _Running(job, True, now_s, tokens=tokens)

    def restart(self, job_id: str, tokens: int) -> None:
        """Let a job go on from its checkpoint, unless it was cancelled."""
        running = self._running[job_id]
        if running.end is job_rows.JobState.CANCELLED:
            return
        running.end = None
        running.started = False
        running.tokens = tokens

    def receive(self, job: job_rows.Job, tokens: int, now_s: float) -> None:
        """Run a job received from a leaving node; take its row later."""
        if job.job_id in self._running or job.ended:
            return
        self._running[job.job_id] = _Running(job, False, now_s, tokens=tokens)

    def tick(self, now_s: float) -> list[actions.Action]:
        """Take, start, checkpoint and end jobs."""
        todo: list[actions.Action] = []
        for row in list(self._rows.values()):
            if self._may_take(row.job, now_s):
                todo += self._take(row, now_s)
        checkpoint_period_s = self._checkpoint_period_s(now_s)
        for running in list(self._running.values()):
            todo += self._advance(running, checkpoint_period_s, now_s)
        return todo

    def write_ends(self, now_s: float) -> list[actions.Action]:
        """Write the final rows of ended jobs, without taking new jobs."""
        todo: list[actions.Action] = []
        for running in list(self._running.values()):
            if running.end is not None:
                todo += self._advance(running, float("inf"), now_s)
        return todo

    def running(self, job_id: str) -> job_rows.Job | None:
        """Return a job if this node runs it, or None."""
        record = self._running.get(job_id)
        return None if record is None else record.job

    def _take(
        self, row: job_rows.JobRow, now_s: float
    ) -> list[actions.Action]:
        job = row.job
        asked_s = self._asked_s.get(job.job_id, float("-inf"))
        if now_s - asked_s < RETRY_PERIOD_S:
            return []
        self._asked_s[job.job_id] = now_s
        wanted = dataclasses.replace(
            job,
            state=job_rows.JobState.RUNNING,
            owner=self._node_id,
            incarnation=self._incarnation,
            epoch=job.epoch + 1,
        )
        return [actions.TakeJob(wanted, row.version)]

    def _checkpoint_period_s(self, now_s: float) -> float:
        nodes = max(1, len(self._members.alive(now_s)))
        rate_per_s = MAX_CHECKPOINTS_PER_S / nodes
        return max(MIN_CHECKPOINT_PERIOD_S, len(self._running) / rate_per_s)

    def _advance(
        self, running: _Running, checkpoint_period_s: float, now_s: float
    ) -> list[actions.Action]:
        job = running.job
        todo: list[actions.Action] = []
        if not running.confirmed:
            row = self._rows.get(job.job_id)
            if row is not None:
                todo += self._take(row, now_s)
        if not running.started and now_s >= running.restart_s:
            running.started = True
            todo.append(actions.StartJob(job, running.tokens))
        if running.end is not None and running.confirmed:
            if now_s - running.write_asked_s >= RETRY_PERIOD_S:
                running.write_asked_s = now_s
                todo.append(self._end_action(running))
        elif running.started and running.confirmed:
            if now_s - running.checkpointed_s >= checkpoint_period_s:
                running.checkpointed_s = now_s
                todo.append(actions.WriteCheckpoint(job))
        return todo

    def _end_action(self, running: _Running) -> actions.Action:
        assert running.end is not None
        row = self._rows[running.job.job_id]
        ended = dataclasses.replace(
            running.job, state=running.end, reason=running.reason
        )
        return actions.EndJob(ended, row.version)

    def answered(self, job_id: str) -> None:
        """Record that a job's text is complete."""
        running = self._running.get(job_id)
        if running is not None:
            running.end = job_rows.JobState.DONE

    def refused(
        self,
        job_id: str,
        refusal: problems.Refusal,
        tokens: int,
        now_s: float,
    ) -> None:
        """Schedule a job's retry, or end it if no retry can succeed."""
        running = self._running.get(job_id)
        if running is None:
            return
        final = refusal.retry_after_s is None
        if final or now_s >= running.job.deadline_s:
            running.end = job_rows.JobState.FAILED
            running.reason = f"{refusal.reason.value}: {refusal.detail}"
            return
        running.started = False
        running.tokens = tokens
        running.restart_s = now_s + max(
            RETRY_PERIOD_S, refusal.retry_after_s or 0
        )

    def cancel(self, job_id: str) -> None:
        """End a running job on its caller's request."""
        running = self._running.get(job_id)
        if running is not None:
            running.end = job_rows.JobState.CANCELLED

    def ended(self, job: job_rows.Job, version: int) -> None:
        """Record that a job's final row has been written."""
        self._rows[job.job_id] = job_rows.JobRow(job, version)
        self._running.pop(job.job_id, None)

    def running_ids(self) -> list[str]:
        """Return the jobs that this node runs and that have not ended."""
        return [i for i, r in self._running.items() if r.end is None]

    def unwritten(self) -> int:
        """Return the number of ended jobs whose row is not yet written."""
        return sum(1 for r in self._running.values() if r.end is not None)
