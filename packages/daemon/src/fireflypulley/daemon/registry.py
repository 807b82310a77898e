"""The request tasks of a node, by request id and by key."""

import collections.abc

from fireflypulley.callers import gateway
from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import topology
from fireflypulley.daemon import driver
from fireflypulley.daemon import tasks


class Registry:
    """Finds tasks, and executes the core's actions on them."""

    def __init__(self, loop: driver.Driver, retention_s: float) -> None:
        self._loop = loop
        self._retention_s = retention_s
        self._tasks: dict[str, tasks.RequestTask] = {}
        self._tasks_by_key: dict[str, tasks.RequestTask] = {}
        self._ended: dict[str, tasks.RequestTask] = {}
        loop.set_handler(actions.SendAttempt, self._send)
        loop.set_handler(actions.CancelAttempt, self._cancel)
        loop.set_handler(actions.Finish, self._finish)
        loop.set_handler(actions.Refuse, self._refuse)
        loop.set_handler(actions.Replay, self._replay)

    def __iter__(self) -> collections.abc.Iterator[tasks.RequestTask]:
        return iter(list(self._tasks.values()))

    def add(self, task: tasks.RequestTask) -> None:
        """Register a new task."""
        self._tasks[task.request.request_id] = task
        self._tasks_by_key[task.key] = task

    def by_key(self, key: str) -> tasks.RequestTask | None:
        """Return the task of a key, running or recently ended."""
        return self._tasks_by_key.get(key)

    def keys_of_callers(self) -> list[str]:
        """Return the keys that callers have named, running or ended."""
        return [
            key
            for key, task in self._tasks_by_key.items()
            if task.request.idempotency_key
        ]

    def by_id(self, request_id: str) -> tasks.RequestTask | None:
        """Return a running task."""
        return self._tasks.get(request_id)

    def drop(self, task: tasks.RequestTask) -> None:
        """Remove a task."""
        task.memory.close()
        self._tasks.pop(task.request.request_id, None)
        if self._tasks_by_key.get(task.key) is task:
            del self._tasks_by_key[task.key]

    def caller_left(self, sink: gateway.Sink) -> None:
        """Handle the disconnect of a caller.

        A request with an idempotency key continues, since its caller
        may reconnect.  A job's request continues as well.
        """
        for task in self:
            if not task.detach(sink):
                continue
            if task.request.idempotency_key or task.job_id:
                continue
            self._loop.feed(events.CallerLeft(task.request.request_id))
            if self._loop.core.serving.progress(task.request.request_id):
                continue
            self.drop(task)

    # Actions

    def _send(self, action: actions.SendAttempt) -> None:
        task = self._tasks.get(action.request_id)
        endpoint = self._endpoint(action.endpoint_id)
        if task is not None and endpoint is not None:
            task.send(action, endpoint)

    def _endpoint(self, endpoint_id: str) -> topology.Endpoint | None:
        state = self._loop.core.state.pool.get(endpoint_id)
        return None if state is None else state.endpoint

    def _cancel(self, action: actions.CancelAttempt) -> None:
        task = self._tasks.get(action.request_id)
        if task is not None:
            task.cancel_attempt()

    def _finish(self, action: actions.Finish) -> None:
        task = self._tasks.pop(action.request_id, None)
        if task is not None:
            self._retain(task)
            task.finish()

    def _replay(self, action: actions.Replay) -> None:
        task = self._tasks.pop(action.request_id, None)
        if task is not None:
            self._retain(task)
            task.replay(action.answer)

    def _refuse(self, action: actions.Refuse) -> None:
        task = self._tasks.get(action.request_id)
        if task is not None:
            self.drop(task)
            task.refuse(action.refusal)

    def _retain(self, task: tasks.RequestTask) -> None:
        if not task.request.idempotency_key:
            self.drop(task)
            return
        task.memory.close()
        self._ended[task.request.request_id] = task

    def tick(self, reactor_s: float) -> None:
        """End idle attempts and drop answers past the retention time."""
        for task in self:
            task.check_idle(reactor_s)
        oldest_s = self._loop.now_s() - self._retention_s
        for request_id, task in list(self._ended.items()):
            if task.ended_s < oldest_s:
                del self._ended[request_id]
                self.drop(task)
