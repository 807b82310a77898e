"""Handles events of jobs, and hands work over during shutdown."""

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import handler
from fireflypulley.core import serving
from fireflypulley.core import state

HANDOVER_MARGIN_S = 5.0  # before the node leaves
HANDOVER_RETRY_S = 2.0


class JobHandler(handler.Handler):
    """Runs this node's jobs; on shutdown, hands open work over."""

    def __init__(
        self, node: state.NodeState, requests: serving.Serving
    ) -> None:
        super().__init__(node, requests)
        self._leaves_at_s: float | None = None
        self._asked_s: dict[str, float] = {}

    def handlers(self) -> dict[type[events.Event], handler.Handle]:
        return {
            events.JobsRead: self._on_read,
            events.JobTaken: self._on_taken,
            events.JobReceived: self._on_received,
            events.JobFenced: self._on_fenced,
            events.JobAnswered: self._on_answered,
            events.JobRefused: self._on_refused,
            events.JobCancelled: self._on_cancelled,
            events.JobEnded: self._on_ended,
            events.JobHandedOver: self._on_handed_over,
            events.HandedOver: self._serving.handed_over,
            events.ShutdownStarted: self._on_shutdown,
        }

    @property
    def shutting_down(self) -> bool:
        """Return whether a shutdown has started."""
        return self._leaves_at_s is not None

    def _on_shutdown(
        self, event: events.ShutdownStarted, now_s: float
    ) -> handler.Actions:
        self._leaves_at_s = event.leaves_at_s
        node_id = self._node.this.node_id
        changed = actions.StateChanged("node", node_id, "shutting-down")
        fact = self._node.members.leaving_fact(now_s)
        return [changed, *self.publish(fact, now_s)]

    def _on_read(
        self, event: events.JobsRead, now_s: float
    ) -> handler.Actions:
        return self._node.jobs.apply_rows(event.rows)

    def _on_taken(
        self, event: events.JobTaken, now_s: float
    ) -> handler.Actions:
        job = event.row.job
        self._node.jobs.taken(job, event.row.version, event.tokens, now_s)
        if event.restarts:
            self._node.jobs.restart(job.job_id, event.tokens)
        return [actions.StateChanged("job", job.job_id, "taken")]

    def _on_received(
        self, event: events.JobReceived, now_s: float
    ) -> handler.Actions:
        self._node.jobs.receive(event.job, event.tokens, now_s)
        return [actions.StateChanged("job", event.job.job_id, "received")]

    def _on_fenced(
        self, event: events.JobFenced, now_s: float
    ) -> handler.Actions:
        changed = actions.StateChanged("job", event.job_id, "fenced")
        return [changed, *self._node.jobs.drop(event.job_id)]

    def _on_answered(
        self, event: events.JobAnswered, now_s: float
    ) -> handler.Actions:
        self._node.jobs.answered(event.job_id)
        return []

    def _on_refused(
        self, event: events.JobRefused, now_s: float
    ) -> handler.Actions:
        self._node.jobs.refused(
            event.job_id, event.refusal, event.tokens, now_s
        )
        return []

    def _on_cancelled(
        self, event: events.JobCancelled, now_s: float
    ) -> handler.Actions:
        self._node.jobs.cancel(event.job_id)
        return []

    def _on_ended(
        self, event: events.JobEnded, now_s: float
    ) -> handler.Actions:
        job = event.row.job
        self._node.jobs.ended(job, event.row.version)
        return [actions.StateChanged("job", job.job_id, job.state.value)]

    def _on_handed_over(
        self, event: events.JobHandedOver, now_s: float
    ) -> handler.Actions:
        changed = actions.StateChanged("job", event.job_id, "handed-over")
        return [changed, *self._node.jobs.drop(event.job_id)]

    def tick(self, now_s: float) -> handler.Actions:
        if self._leaves_at_s is None:
            return self._node.jobs.tick(now_s)
        todo = self._node.jobs.write_ends(now_s)
        for job_id in self._node.jobs.running_ids():
            todo += self._hand_over_job(job_id, now_s)
        if now_s >= self._leaves_at_s - HANDOVER_MARGIN_S:
            for request_id in self._serving.movable_requests():
                todo += self._hand_over(request_id, now_s)
        return todo

    def _target(self, key: str, now_s: float) -> str | None:
        asked_s = self._asked_s.get(key, float("-inf"))
        if now_s - asked_s < HANDOVER_RETRY_S:
            return None
        self._asked_s[key] = now_s
        return self._node.members.successor(key, now_s)

    def _hand_over_job(self, job_id: str, now_s: float) -> handler.Actions:
        target = self._target(f"job/{job_id}", now_s)
        job = self._node.jobs.running(job_id)
        if target is None or job is None:
            return []
        return [actions.HandOverJob(job, target)]

    def _hand_over(self, request_id: str, now_s: float) -> handler.Actions:
        target = self._target(request_id, now_s)
        if target is None:
            return []
        return [actions.HandOver(request_id, target)]
