"""Limits that all nodes share: workspaces' rates and the retry budget.

Each node tells the others how much it has let pass.  A node charges what
it hears to its own bucket, so all buckets follow the whole traffic.
"""

import collections
import collections.abc
import dataclasses

from fireflypulley.core import ownership

TURN_TTL_S = 1.0
INITIAL_FRACTION = 0.25
"""Of the burst; a node that starts does not know what was spent before."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """What a workspace may spend: a rate and a burst."""

    rate_per_s: float
    burst: float

    def scaled(self, factor: float) -> "Limit":
        """Return the part of the limit that this node may use."""
        return Limit(self.rate_per_s * factor, self.burst * factor)


@dataclasses.dataclass(slots=True)
class _Bucket:
    limit: Limit
    level: float
    filled_s: float

    def fill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        self.level += passed_s * self.limit.rate_per_s
        self.level = min(self.limit.burst, self.level)


class SharedLimiter:
    """Token buckets by workspace, charged by all nodes.

    A bucket exists from the moment at which its limit is known, so that
    what others spend counts before this node spends anything.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._own: dict[str, float] = {}
        self._unreported = 0.0
        self._peer_totals: dict[tuple[str, int], dict[str, float]] = {}

    def set_limits(self, limits: dict[str, Limit], now_s: float) -> None:
        """Put limits in force; a lower one takes what is above it."""
        for name in list(self._buckets):
            if name not in limits:
                del self._buckets[name]
        for name, limit in limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                level = limit.burst * INITIAL_FRACTION
                self._buckets[name] = _Bucket(limit, level, now_s)
                continue
            bucket.fill(now_s)
            bucket.limit = limit
            bucket.level = min(bucket.level, limit.burst)

    def spend(self, name: str, amount: float, now_s: float) -> float:
        """Charge a request; return 0, or how long it must wait.

        A request larger than the burst needs a full bucket.  A workspace
        without a limit never waits.
        """
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0.0
        bucket.fill(now_s)
        needed = min(amount, bucket.limit.burst)
        if bucket.level + 1e-9 >= needed:
            bucket.level -= amount
            self._own[name] = self._own.get(name, 0.0) + amount
            self._unreported += amount
            return 0.0
        rate_per_s = max(bucket.limit.rate_per_s, 1e-9)
        return (needed - bucket.level) / rate_per_s

    def refund(self, name: str, amount: float) -> None:
        """Return what a request was charged that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            self._own[name] = self._own.get(name, 0.0) - amount
            bucket.level += amount

    def left(self, name: str) -> float:
        """Return what was left when a limit was last charged."""
        bucket = self._buckets.get(name)
        return 0.0 if bucket is None else bucket.level

    def levels(
        self, now_s: float
    ) -> collections.abc.Iterator[tuple[str, float, Limit]]:
        """Give what is left of each limit, by workspace."""
        for name, bucket in sorted(self._buckets.items()):
            bucket.fill(now_s)
            yield name, bucket.level, bucket.limit

    @property
    def own_totals(self) -> dict[str, float]:
        """Return what this node has let pass since its start."""
        return dict(self._own)

    @property
    def unreported(self) -> float:
        """Return what was let pass since the peers were last told."""
        return self._unreported

    def mark_reported(self) -> None:
        """Record that the peers know this node's totals."""
        self._unreported = 0.0

    def update_peer(
        self,
        node_id: str,
        incarnation: int,
        totals: dict[str, float],
        now_s: float,
    ) -> None:
        """Charge what another node has let pass since last told."""
        known = self._peer_totals.get((node_id, incarnation))
        if known is None:
            self._peer_totals[(node_id, incarnation)] = dict(totals)
            return
        for name, total in totals.items():
            amount = total - known.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.fill(now_s)
                bucket.level -= amount
            known[name] = total


class RetryBudget:
    """Repeats that a service may get from this node in a window.

    All nodes together may repeat ``ratio`` of the requests and ``slack``
    more; a node spends its own ratio and its part of the slack.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._requests: dict[str, collections.deque[float]]
        self._requests = collections.defaultdict(collections.deque)
        self._repeats: dict[str, collections.deque[float]]
        self._repeats = collections.defaultdict(collections.deque)

    def _trim(self, times: collections.deque[float], now_s: float) -> int:
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
        return len(times)

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._requests[service].append(now_s)
        self._trim(self._requests[service], now_s)

    def spend(self, service: str, nodes: int, now_s: float) -> bool:
        """Return whether one more repeat may be sent, and count it."""
        requests = self._trim(self._requests[service], now_s)
        repeats = self._trim(self._repeats[service], now_s)
        slack = self._slack / max(1, nodes)
        if repeats + 1 > self._ratio * requests + slack:
            return False
        self._repeats[service].append(now_s)
        return True


class ColdRateLimiter:
    """Paces requests to cold endpoints, each node its part of the rate.

    A node whose part is less than one a second begins at a moment of its
    own, and loses a turn that it doesn't take; or the first requests of
    many nodes would come all at once.
    """

    def __init__(self, node_id: str = "") -> None:
        self._node_id = node_id
        self._next_s: dict[str, float] = {}

    def may_send(
        self, endpoint_id: str, rate_per_s: float, nodes: int, now_s: float
    ) -> bool:
        """Return whether this node may send one request there now."""
        pause_s = self._pause_s(rate_per_s, nodes)
        next_s = self._next_s.get(endpoint_id, float("-inf"))
        if pause_s > TURN_TTL_S and now_s > next_s + TURN_TTL_S:
            point = ownership.fraction(f"{self._node_id}/{endpoint_id}")
            next_s = self._next_s[endpoint_id] = now_s + point * pause_s
        return now_s >= next_s

    def note_sent(
        self, endpoint_id: str, rate_per_s: float, nodes: int, now_s: float
    ) -> None:
        """Count a request to a cold endpoint."""
        pause_s = self._pause_s(rate_per_s, nodes)
        self._next_s[endpoint_id] = now_s + pause_s

    def _pause_s(self, rate_per_s: float, nodes: int) -> float:
        return nodes / max(rate_per_s, 0.1)
