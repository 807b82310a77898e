"""The requests that a node has accepted but not yet answered."""

import collections
import collections.abc

from fireflypulley.core import actions
from fireflypulley.core import admission
from fireflypulley.core import dispatch
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import state


class OpenRequests:
    """The open requests by id, and the queues in which they wait."""

    def __init__(
        self, node: state.NodeState, dispatcher: dispatch.Dispatcher
    ) -> None:
        self._node = node
        self._dispatcher = dispatcher
        self._open: dict[str, requests.Progress] = {}
        self.queues: dict[str, admission.FairQueue]
        self.queues = collections.defaultdict(admission.FairQueue)

    def __len__(self) -> int:
        return len(self._open)

    def __iter__(self) -> collections.abc.Iterator[requests.Progress]:
        return iter(list(self._open.values()))

    def get(self, request_id: str) -> requests.Progress | None:
        """Return an open request, or None."""
        return self._open.get(request_id)

    def require(self, request_id: str) -> requests.Progress:
        """Return an open request; raises ``KeyError`` if there is none."""
        return self._open[request_id]

    def add(self, progress: requests.Progress) -> None:
        """Add an accepted request."""
        request = progress.request
        self._open[request.request_id] = progress
        self._node.shares.request_opened(request.workspace)

    def weights(self) -> dict[str, float]:
        """Return the weights of the workspaces with open requests."""
        return {
            name: self.weight(name)
            for name in {p.request.workspace for p in self._open.values()}
        }

    def weight(self, workspace: str) -> float:
        """Return a workspace's weight."""
        configured = self._node.config.workspace(workspace)
        return 1.0 if configured is None else configured.weight

    def enqueue(
        self, progress: requests.Progress, now_s: float, at_front: bool
    ) -> None:
        """Queue a request until an endpoint is available."""
        request = progress.request
        progress.phase = requests.Phase.QUEUED
        lane = admission.Lane.INTERACTIVE
        if request.background:
            lane = admission.Lane.BACKGROUND
        if self._node.quarantine.is_suspect(request.fingerprint, now_s):
            lane = admission.Lane.ISOLATED
        self.queues[request.service].put(
            request.request_id,
            request.workspace,
            request.deadline_s,
            lane,
            at_front,
        )

    def close(self, request: requests.Request) -> None:
        """Remove a request that has ended."""
        if self._open.pop(request.request_id, None) is not None:
            self._node.shares.request_closed(request.workspace)

    def abandon(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action]:
        """Remove a request with its attempt, queue entry and claim."""
        request = progress.request
        todo: list[actions.Action] = []
        if progress.attempt is not None:
            todo.append(
                actions.CancelAttempt(
                    request.request_id, progress.attempt.attempt_id
                )
            )
            todo += self._dispatcher.end_attempt(progress, succeeded=None)
        self.queues[request.service].remove(
            request.request_id, request.workspace
        )
        if progress.claim_requested:
            todo += self._end_claim(progress, now_s)
        self.close(request)
        return todo

    def _end_claim(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action]:
        request_id = progress.request.request_id
        if progress.ever_sent:
            return self._node.ledger.finish(request_id, None, now_s)
        return self._node.ledger.release(request_id, now_s)

    def refuse(
        self,
        progress: requests.Progress,
        reason: problems.Reason,
        detail: str,
        now_s: float,
    ) -> list[actions.Action]:
        """Refuse a request, stating whether it may have been executed."""
        request = progress.request
        run = progress.run
        retry_s: float | None = None
        if reason is not problems.Reason.QUARANTINED:
            queue = self.queues[request.service]
            wait_s = queue.wait_s(request.workspace, self.weights())
            retry_s = admission.retry_after_s(wait_s)
        todo = self.abandon(progress, now_s)
        refusal = problems.Refusal(reason, run, detail, retry_s)
        return [*todo, self.count_refusal(request.request_id, refusal)]

    def count_refusal(
        self, request_id: str, refusal: problems.Refusal
    ) -> actions.Action:
        """Count a refusal and return its action."""
        self._node.counters.refused[refusal.reason] += 1
        return actions.Refuse(request_id, refusal)
