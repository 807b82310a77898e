"""Bounded queues with fair sharing between workspaces.

A request that cannot be answered before its deadline is refused on
arrival; the refusal states when the queue is expected to have drained.
"""

import collections
import dataclasses
import enum

MAX_QUEUED_PER_WORKSPACE = 256
DRAIN_RATE_DECAY = 0.97  # per dispatch
MIN_DISPATCHES = 8.0  # fewer give no reliable drain rate
SERVICE_TIME_WEIGHT = 0.05  # of each sample in the moving average
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Lane(enum.IntEnum):
    """The dispatch order of a workspace's requests.

    Requests suspected of crashing endpoints wait in a lane of their own,
    so that other requests do not queue behind them.
    """

    INTERACTIVE = 0
    BACKGROUND = 1
    ISOLATED = 2


class DrainRate:
    """The rate of dispatch per second while requests had to wait.

    A mostly empty queue is limited by its arrivals and not by its
    endpoints, so only the time with a backlog counts.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._time_s = 0.0
        self._since_s: float | None = None

    def record_backlog(self, now_s: float, waiting: int) -> None:
        """Record whether requests still wait after dispatching."""
        if not waiting:
            self._since_s = None
        elif self._since_s is None:
            self._since_s = now_s

    def count_dispatch(self, now_s: float) -> None:
        """Count one dispatch."""
        if self._since_s is None:
            return
        self._time_s = self._time_s * DRAIN_RATE_DECAY + now_s - self._since_s
        self._count = self._count * DRAIN_RATE_DECAY + 1.0
        self._since_s = now_s

    @property
    def per_s(self) -> float:
        """Return the smoothed rate, 0 while there are too few samples."""
        if self._count < MIN_DISPATCHES or self._time_s <= 0.0:
            return 0.0
        return self._count / self._time_s


@dataclasses.dataclass(slots=True)
class _Waiting:
    request_id: str
    deadline_s: float


class FairQueue:
    """The waiting requests of one service, by lane and workspace.

    Start-time fair queueing: each workspace has a virtual start time,
    advanced by the inverse of its weight for every request dispatched.
    """

    def __init__(self) -> None:
        self._queues: dict[tuple[Lane, str], collections.deque[_Waiting]]
        self._queues = collections.defaultdict(collections.deque)
        self._starts: dict[str, float] = {}
        self._virtual = 0.0
        self._size = 0
        self.rate = DrainRate()
        self._mean_s = 0.0
        self._deviation_s = 0.0

    def __len__(self) -> int:
        return self._size

    def record_service_time(self, took_s: float) -> None:
        """Record the time from a request's dispatch to its response."""
        mean_s = self._mean_s or took_s
        error_s = took_s - mean_s
        self._mean_s = mean_s + SERVICE_TIME_WEIGHT * error_s
        deviation_s = abs(error_s) - self._deviation_s
        self._deviation_s += SERVICE_TIME_WEIGHT * deviation_s

    @property
    def service_time_s(self) -> float:
        """Return a time within which most requests are answered."""
        return self._mean_s + self._deviation_s

    def length_of(self, workspace: str) -> int:
        """Return the number of a workspace's waiting requests."""
        return sum(
            len(self._queues.get((lane, workspace), ())) for lane in Lane
        )

    def wait_s(self, workspace: str, weights: dict[str, float]) -> float:
        """Return the estimated wait of a new request of a workspace.

        ``weights`` gives the weights of workspaces, 1 by default.  The
        estimate is 0 while the drain rate is unknown.
        """
        if self.rate.per_s <= 0.0:
            return 0.0
        active = {ws for (_, ws), queue in self._queues.items() if queue}
        active.add(workspace)
        total = sum(weights.get(ws, 1.0) for ws in active)
        share = weights.get(workspace, 1.0) / total
        return (self.length_of(workspace) + 1) / (self.rate.per_s * share)

    def put(
        self,
        request_id: str,
        workspace: str,
        deadline_s: float,
        lane: Lane,
        at_front: bool = False,
    ) -> None:
        """Queue a request; ``at_front`` puts a retry before others."""
        waiting = _Waiting(request_id, deadline_s)
        queue = self._queues[(lane, workspace)]
        if at_front:
            queue.appendleft(waiting)
        else:
            queue.append(waiting)
        self._size += 1
        current = self._starts.get(workspace, 0.0)
        self._starts[workspace] = max(current, self._virtual)

    def dispatch_order(self) -> list[str]:
        """Return the first request of each workspace, next one first."""
        heads = [
            (lane, self._starts[workspace], queue[0].request_id)
            for (lane, workspace), queue in self._queues.items()
            if queue
        ]
        return [request_id for _, _, request_id in sorted(heads)]

    def take(
        self, request_id: str, workspace: str, weight: float, now_s: float
    ) -> None:
        """Remove a request that is being dispatched."""
        if not self.remove(request_id, workspace):
            return
        start = self._starts[workspace]
        self._virtual = max(self._virtual, start)
        self._starts[workspace] = start + 1.0 / weight
        self.rate.count_dispatch(now_s)

    def remove(self, request_id: str, workspace: str) -> bool:
        """Remove a request; return whether it was in the queue."""
        for lane in Lane:
            queue = self._queues.get((lane, workspace))
            if not queue:
                continue
            for waiting in queue:
                if waiting.request_id == request_id:
                    queue.remove(waiting)
                    self._size -= 1
                    return True
        return False

    def expired(self, now_s: float) -> list[str]:
        """Return the waiting requests whose deadline has passed."""
        return [
            waiting.request_id
            for queue in self._queues.values()
            for waiting in queue
            if waiting.deadline_s <= now_s
        ]


def retry_after_s(wait_s: float) -> float:
    """Return the bounded time after which a refused caller may retry."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
