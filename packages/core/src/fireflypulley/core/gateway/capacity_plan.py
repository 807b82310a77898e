"""Plans the number of endpoints by kind and failure domain.

Reclaimable endpoints are cheap, but all those of a domain may be taken
away at once.  The plan spreads them so that the others can carry the load
if the largest domain is lost, and replaces those that are unavailable
with regular ones in cheap domains.
"""

import collections
import dataclasses
import math

from fireflypulley.core.gateway import document

RUNNING_PER_ENDPOINT = 14.0
"""An engine with more streams starts to answer late."""
WAITING_TOKENS_PER_ENDPOINT = 60_000.0
PEAK_FACTOR = 1.3
PEAK_HOLD_S = 12.0
MIN_PER_DOMAIN = 2
REGISTRATION_TIME_S = 4.0
"""Endpoints that exist at the start register within this time."""
REFUSAL_BACKOFF_S = 4.0
SETTLE_S = 2.0
ORDER_INTERVAL_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A kind of endpoint in a failure domain."""

    failure_domain: str
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """The current load of all nodes on a service's endpoints."""

    running: int
    waiting_tokens: int


class CapacityPlan:
    """Wanted endpoint counts of one service, and orders placed."""

    def __init__(self) -> None:
        self._peak = 0.0
        self._peak_s = float("-inf")
        self._provided = 0
        self._limited = 0
        self._began_s: float | None = None
        self._refused: dict[str, float] = {}
        self._ordered: dict[Pool, tuple[int, float]] = {}

    def note_demand(self, demand: Demand, now_s: float) -> None:
        """Record the load; a peak is held for ``PEAK_HOLD_S``."""
        needed = demand.running / RUNNING_PER_ENDPOINT
        needed += demand.waiting_tokens / WAITING_TOKENS_PER_ENDPOINT
        if needed >= self._peak or now_s - self._peak_s > PEAK_HOLD_S:
            self._peak = needed
            self._peak_s = now_s

    def note_ready(self, total: int, now_s: float) -> None:
        """Record how many endpoints are ready.

        At the start the load does not yet show how many are needed, so
        the number that operators provided initially, of either kind, is
        the minimum.
        """
        if self._began_s is None:
            self._began_s = now_s
        if self._is_learning(now_s):
            self._provided = max(self._provided, total)

    def note_limited(self, count: int) -> None:
        """Record how many of the endpoints name a limit.

        They are there and keep their place in the counts that are
        ordered, but the load needs others beside them.
        """
        self._limited = count

    def _is_learning(self, now_s: float) -> bool:
        return (
            self._began_s is None
            or now_s - self._began_s < REGISTRATION_TIME_S
        )

    def note_refused(self, failure_domain: str, now_s: float) -> None:
        """Record that a domain has no reclaimable endpoint available."""
        self._refused[failure_domain] = now_s + REFUSAL_BACKOFF_S

    def note_order(self, pool: Pool, count: int, now_s: float) -> None:
        """Record an order that the cloud accepted."""
        self._ordered[pool] = (count, now_s)

    def _may_order(self, failure_domain: str, now_s: float) -> bool:
        return self._refused.get(failure_domain, 0.0) <= now_s

    def _needed(self) -> int:
        return math.ceil(self._peak * PEAK_FACTOR)

    def _reclaimable_count(
        self, scaling: document.Scaling, domains: int
    ) -> int:
        """Return the count per domain that tolerates losing one domain."""
        surviving = max(1, domains - 1)
        count = max(
            MIN_PER_DOMAIN,
            math.ceil((self._needed() + self._limited) / surviving),
            math.ceil(self._provided / max(1, domains)),
        )
        return max(scaling.min_count, min(scaling.max_count, count))

    def _expected(
        self,
        pool: Pool,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> int:
        """Return the ready endpoints, or those just ordered if more."""
        count, ordered_s = self._ordered.get(pool, (0, float("-inf")))
        if now_s - ordered_s < scaling.boot_s + SETTLE_S:
            return max(count, ready[pool])
        return ready[pool]

    def wanted(
        self,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> dict[Pool, int]:
        """Return the wanted count of each kind in each domain.

        Regular endpoints are released once enough reclaimable ones are
        ready, and added while there are too few.
        """
        prices = scaling.domain_prices
        domains = sorted(prices, key=lambda domain: (prices[domain], domain))
        if not domains:
            return {}
        count = self._reclaimable_count(scaling, len(domains))
        counts = {Pool(domain, True): count for domain in domains}
        needed = max(self._needed(), math.ceil(count * len(domains) / 2))
        needed += self._limited
        ready_count = sum(ready[pool] for pool in counts)
        expected = sum(
            self._expected(pool, scaling, ready, now_s) for pool in counts
        )
        for domain in domains:
            pool = Pool(domain, False)
            counts[pool] = 0
            if ready_count < needed:
                counts[pool] = self._expected(pool, scaling, ready, now_s)
                expected += counts[pool]
        if self._is_learning(now_s):
            # Some existing endpoints may not have registered yet.
            return counts
        for domain in domains:
            room = scaling.max_count - counts[Pool(domain, False)]
            room -= ready[Pool(domain, True)]
            more = max(0, min(needed - expected, room))
            counts[Pool(domain, False)] += more
            expected += more
        return counts

    def orders(
        self,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> dict[Pool, int]:
        """Return the orders to place now, those that add most first."""
        counts: dict[Pool, int] = {}
        for pool, count in self.wanted(scaling, ready, now_s).items():
            if self._is_due(pool, count, scaling, ready, now_s):
                counts[pool] = count
        return dict(sorted(counts.items(), key=lambda one: -one[1]))

    def _is_due(
        self,
        pool: Pool,
        count: int,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> bool:
        if pool.reclaimable and not self._may_order(
            pool.failure_domain, now_s
        ):
            return False
        last_count, ordered_s = self._ordered.get(pool, (-1, float("-inf")))
        if count > last_count >= 0 or last_count < 0:
            return last_count >= 0 or ready[pool] != count
        if count < last_count:
            return now_s - ordered_s >= ORDER_INTERVAL_S
        settled = now_s - ordered_s >= scaling.boot_s + SETTLE_S
        return settled and ready[pool] != count
