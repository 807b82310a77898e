"""A virtual node's actions on jobs and handovers."""

import collections.abc
import typing

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import job_rows
from fireflystandins.virtual import endpoint
from fireflystandins.virtual import store
from fireflystandins.virtual import tasks

if typing.TYPE_CHECKING:
    from fireflystandins.virtual import node

_Handler = collections.abc.Callable[[typing.Any], None]


class JobActions:
    """Carries out actions on jobs, as the daemon's job runner does."""

    def __init__(self, owner: "node.VirtualNode") -> None:
        self._node = owner

    def handlers(self) -> dict[type[actions.Action], _Handler]:
        """Return the handler of each action."""
        return {
            actions.TakeJob: self._take_job,
            actions.StartJob: self._start_job,
            actions.WriteCheckpoint: self._checkpoint,
            actions.EndJob: self._end_job,
            actions.DropJob: self._drop_job,
            actions.HandOverJob: self._hand_over_job,
            actions.HandOver: self._hand_over,
        }

    def _task_of(self, job_id: str) -> tasks.Task | None:
        matching = [t for t in self._node.tasks.values() if t.job_id == job_id]
        return matching[0] if matching else None

    def _tokens_of(self, job_id: str) -> int:
        task = self._task_of(job_id)
        if task is None:
            return self._node.job_tokens.get(job_id, 0)
        attempt = task.attempt
        now_s = self._node.world.time.now_s
        return max(task.tokens, attempt.tokens(now_s) if attempt else 0)

    def _take_job(self, action: actions.TakeJob) -> None:
        rows = self._node.world.store
        job_id = action.job.job_id

        def work() -> object:
            row = rows.write_job(action.job, action.version)
            return row, rows.progress.get(job_id, store.Progress(0, 0))

        def done(result: object) -> None:
            if isinstance(result, store.Unavailable):
                return
            row, progress = result
            if row is None:
                self._node.feed(events.JobFenced(job_id))
            else:
                self._node.feed(events.JobTaken(row, progress.tokens))

        rows.call(work, done, writes=True)

    def _start_job(self, action: actions.StartJob) -> None:
        request = job_rows.request_of(action.job)
        original = self._node.world.job_workloads[action.job.job_id]
        workload = endpoint.Workload(
            request, original.prompt_tokens, original.output_tokens
        )
        task = tasks.Task(workload, action.tokens, job_id=action.job.job_id)
        self._node.tasks[request.request_id] = task
        self._node.feed(events.RequestArrived(request, action.tokens, True))

    def _checkpoint(self, action: actions.WriteCheckpoint) -> None:
        self._node.world.step("checkpoint", self._node.node_id)
        job_id = action.job.job_id
        tokens = self._tokens_of(job_id)

        def done(result: object) -> None:
            if result is False:
                self._node.feed(events.JobFenced(job_id))

        rows = self._node.world.store
        rows.call(
            lambda: rows.checkpoint(action.job, tokens), done, writes=True
        )

    def _end_job(self, action: actions.EndJob) -> None:
        rows = self._node.world.store
        tokens = self._tokens_of(action.job.job_id)

        def work() -> object:
            row = rows.write_job(action.job, action.version)
            if row is not None:
                rows.checkpoint(action.job, tokens)
            return row

        def done(result: object) -> None:
            if result is None:
                self._node.feed(events.JobFenced(action.job.job_id))
            elif not isinstance(result, store.Unavailable):
                self._node.feed(events.JobEnded(result))

        rows.call(work, done, writes=True)

    def _drop_job(self, action: actions.DropJob) -> None:
        task = self._task_of(action.job_id)
        if task is None:
            return
        request_id = task.workload.request.request_id
        self._node.feed(events.HandedOver(request_id))
        self._node.tasks.pop(request_id, None)

    def _reachable_node(self, node_id: str) -> "node.VirtualNode | None":
        other = self._node.world.nodes.get(node_id)
        if other is None or not other.alive or other.paused:
            return None
        return (
            other
            if self._node.world.can_reach(self._node.node_id, node_id)
            else None
        )

    def _hand_over_job(self, action: actions.HandOverJob) -> None:
        self._node.world.step("handover", self._node.node_id)
        other = self._reachable_node(action.to_node)
        if other is None:
            return
        tokens = self._tokens_of(action.job.job_id)
        other.feed_later(events.JobReceived(action.job, tokens))
        self._node.feed_later(
            events.JobHandedOver(action.job.job_id), 2 * tasks.HOP_S
        )

    def _hand_over(self, action: actions.HandOver) -> None:
        self._node.world.step("handover", self._node.node_id)
        other = self._reachable_node(action.to_node)
        task = self._node.tasks.get(action.request_id)
        if other is None or task is None:
            return
        if task.attempt is not None:
            now_s = self._node.world.time.now_s
            task.tokens = max(task.tokens, task.attempt.tokens(now_s))
        self._node.feed(events.HandedOver(action.request_id))
        del self._node.tasks[action.request_id]
        self._node.world.time.call_later(
            tasks.HOP_S, lambda: other.submit(task.workload, task.tokens, True)
        )
