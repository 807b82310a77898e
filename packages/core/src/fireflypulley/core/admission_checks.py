"""Decides on arrival whether to accept a request."""

from fireflypulley.core import admission
from fireflypulley.core import dispatch
from fireflypulley.core import open_requests
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import state

NO_ENDPOINT_RETRY_S = 5.0


class AdmissionChecks:
    """The checks that a request must pass on arrival."""

    def __init__(
        self,
        node: state.NodeState,
        dispatcher: dispatch.Dispatcher,
        opened: open_requests.OpenRequests,
    ) -> None:
        self._node = node
        self._dispatcher = dispatcher
        self._open = opened

    def refusal(
        self, progress: requests.Progress, now_s: float
    ) -> problems.Refusal | None:
        """Return the refusal of a request, or None to accept it."""
        request = progress.request
        if self._node.quarantine.is_quarantined(request.fingerprint, now_s):
            return problems.Refusal(
                problems.Reason.QUARANTINED,
                progress.run,
                "this request has crashed the endpoints that ran it",
            )
        if progress.ever_sent:
            return None
        if not self._dispatcher.has_eligible_endpoint(progress, now_s):
            return problems.Refusal(
                problems.Reason.NO_ENDPOINT,
                problems.Run.NOT_RUN,
                f"no endpoint of service {request.service!r} takes work",
                NO_ENDPOINT_RETRY_S,
            )
        return self._refusal_by_queue(request, now_s)

    def _refusal_by_queue(
        self, request: requests.Request, now_s: float
    ) -> problems.Refusal | None:
        queue = self._open.queues[request.service]
        if not len(queue):
            return None
        wait_s = queue.wait_s(request.workspace, self._open.weights())
        retry_s = admission.retry_after_s(wait_s)
        waiting = queue.length_of(request.workspace)
        if waiting >= admission.MAX_QUEUED_PER_WORKSPACE:
            return problems.Refusal(
                problems.Reason.QUEUE_FULL,
                problems.Run.NOT_RUN,
                f"{waiting} requests of this workspace wait already",
                retry_s,
            )
        ready_s = now_s + wait_s + queue.service_time_s
        if ready_s >= request.deadline_s:
            return problems.Refusal(
                problems.Reason.DEADLINE_UNREACHABLE,
                problems.Run.NOT_RUN,
                f"the queue takes {wait_s:.1f} s",
                retry_s,
            )
        return None
