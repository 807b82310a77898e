"""Workspaces' rates over all nodes.

Each node reports to the others how much it has admitted.  A node charges
these reports to its own token bucket, so each bucket follows the traffic
of all nodes.
"""

import collections.abc
import dataclasses

from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import peer_numbers
from fireflypulley.core.gateway import standstill

OUT_OF_TOUCH_S = 1.0
"""What a node reports after a longer silence, it spent out of touch."""
MAX_TOTAL = 1e15
"""What a node admits since its start is no more."""
INITIAL_FRACTION = 0.25
"""Initial level as a fraction of the burst; a starting node does not know
what was spent before."""


class BadTotals(peer_numbers.BadNumber):
    """Totals that no node can have admitted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A workspace's limit: a rate and a burst."""

    rate_per_s: float
    burst: float

    def scaled(self, factor: float) -> "Limit":
        """Return the limit with rate and burst multiplied by a factor."""
        return Limit(self.rate_per_s * factor, self.burst * factor)


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket; ``level`` is as of ``filled_s``."""

    limit: Limit
    level: float
    filled_s: float

    def fill(self, now_s: float) -> None:
        """Add what the rate has given since the last call."""
        passed_s = max(0.0, now_s - self.filled_s)
        self.filled_s = now_s
        self.level += passed_s * self.limit.rate_per_s
        self.level = min(self.limit.burst, self.level)


@dataclasses.dataclass(slots=True)
class SharedBucket(Bucket):
    """A bucket that others spend from too, not all of them in touch.

    ``limit`` is the part of the ``whole`` one that this node and those in
    touch may use.  ``apart`` is what the whole limit has allowed the others
    meanwhile; they will report it when they are in touch again.
    """

    whole: Limit
    apart: float = 0.0
    apart_until_s: float = float("-inf")

    @property
    def _apart_per_s(self) -> float:
        return self.whole.rate_per_s - self.limit.rate_per_s

    def fill_parts(self, now_s: float) -> None:
        """Add what the rate has given this node, and those out of touch."""
        passed_s = max(0.0, now_s - self.filled_s)
        self.apart += passed_s * self._apart_per_s
        self.fill(now_s)

    def set_share(self, whole: Limit, share: float, now_s: float) -> None:
        """Let this node and those in touch use a share from now on."""
        self.fill_parts(now_s)
        self.whole = whole
        self.limit = whole.scaled(share)
        self.level = min(self.level, self.limit.burst)
        self.apart_until_s = now_s + limits.JOINING_S

    def stand_still(self, nodes: int, now_s: float) -> None:
        """Leave what the rate gave meanwhile to the others.

        They have spent what isn't known here yet, so this node has its
        part of the burst at most.
        """
        passed_s = max(0.0, now_s - self.filled_s)
        self.apart += passed_s * self.whole.rate_per_s
        self.filled_s = now_s
        self.level = min(self.level, self.whole.burst / nodes)
        self.apart_until_s = now_s + limits.JOINING_S

    def charge(self, amount: float, was_apart: bool, now_s: float) -> None:
        """Charge what another node has spent."""
        self.fill_parts(now_s)
        if not self._apart_per_s and now_s > self.apart_until_s:
            self.apart = 0.0
        if was_apart:
            paid = min(max(0.0, amount), self.apart)
            self.apart -= paid
            amount -= paid
        self.level -= amount


class SharedLimiter:
    """Token buckets by workspace, charged by all nodes.

    A bucket exists as soon as its limit is known, so that other nodes'
    spending counts before this node spends anything.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, SharedBucket] = {}
        self._nodes = 1
        self._standstill = standstill.Standstill()
        self._heard_s: dict[str, float] = {}
        self._own: dict[str, float] = {}
        self._unreported = 0.0
        self._peer_totals: dict[tuple[str, int], dict[str, float]] = {}

    def set_limits(
        self,
        new_limits: dict[str, Limit],
        now_s: float,
        share: float = 1.0,
        nodes: int = 1,
    ) -> None:
        """Apply limits; a lower burst caps the bucket's level.

        ``share`` is the fraction of the ``nodes`` that are in touch.
        """
        self._nodes = max(1, nodes)
        for name in list(self._buckets):
            if name not in new_limits:
                del self._buckets[name]
        for name, limit in new_limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                part = limit.scaled(share)
                level = part.burst * INITIAL_FRACTION
                bucket = SharedBucket(part, level, now_s, limit)
                self._buckets[name] = bucket
            bucket.set_share(limit, share, now_s)

    def tick(self, now_s: float) -> None:
        """Record that the node runs; called several times a second."""
        self._pass_standstill(self._standstill.tick(now_s), now_s)

    def _pass_standstill(self, stood_s: float, now_s: float) -> None:
        if not stood_s:
            return
        for bucket in self._buckets.values():
            bucket.stand_still(self._nodes, now_s)

    def spend(self, name: str, amount: float, now_s: float) -> float:
        """Charge a request; return 0, or the time to wait in seconds.

        A request larger than the burst needs a full bucket.  A workspace
        without a limit never waits.
        """
        self._pass_standstill(self._standstill.observe(now_s), now_s)
        bucket = self._buckets.get(name)
        if bucket is None:
            return 0.0
        bucket.fill_parts(now_s)
        needed = min(amount, bucket.limit.burst)
        if bucket.level + 1e-9 >= needed:
            bucket.level -= amount
            self._own[name] = self._own.get(name, 0.0) + amount
            self._unreported += amount
            return 0.0
        rate_per_s = max(bucket.limit.rate_per_s, 1e-9)
        return (needed - bucket.level) / rate_per_s

    def refund(self, name: str, amount: float) -> None:
        """Refund the charge of a request that did not run."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            # It may have been admitted before the workspace had a limit.
            own = self._own.get(name, 0.0) - amount
            self._own[name] = max(0.0, own)
            bucket.level += amount

    def left(self, name: str) -> float:
        """Return the bucket's level as of its last update."""
        bucket = self._buckets.get(name)
        return 0.0 if bucket is None else bucket.level

    def levels(
        self, now_s: float
    ) -> collections.abc.Iterator[tuple[str, float, Limit]]:
        """Yield each workspace with its bucket's level and limit."""
        for name, bucket in sorted(self._buckets.items()):
            bucket.fill_parts(now_s)
            yield name, bucket.level, bucket.limit

    @property
    def own_totals(self) -> dict[str, float]:
        """Return what this node has admitted since its start."""
        return dict(self._own)

    @property
    def unreported(self) -> float:
        """Return what was admitted since the last report to the peers."""
        return self._unreported

    def mark_reported(self) -> None:
        """Record that this node's totals were sent to the peers."""
        self._unreported = 0.0

    def update_peer(
        self,
        node_id: str,
        incarnation: int,
        totals: dict[str, float],
        now_s: float,
    ) -> None:
        """Charge what another node has admitted since its last report.

        The first report of a node's start is not charged; later reports
        are compared with it.  Raise ``BadTotals``, and charge nothing, if
        a total is no amount.
        """
        for name, total in totals.items():
            if isinstance(total, bool) or not 0.0 <= total <= MAX_TOTAL:
                raise BadTotals(f"{name}: {total}")
        self._pass_standstill(self._standstill.observe(now_s), now_s)
        silent_s = now_s - self._heard_s.get(node_id, now_s)
        self._heard_s[node_id] = now_s
        known = self._peer_totals.get((node_id, incarnation))
        if known is None:
            self._peer_totals[(node_id, incarnation)] = dict(totals)
            return
        for name, total in totals.items():
            amount = total - known.get(name, 0.0)
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.charge(amount, silent_s > OUT_OF_TOUCH_S, now_s)
            known[name] = total
