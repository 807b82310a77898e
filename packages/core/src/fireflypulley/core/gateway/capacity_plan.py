"""How many endpoints of which kind to have in which failure domain.

Reclaimable endpoints are cheap and may go, all of a domain at once.  The
plan spreads them so that the rest bears the load when the largest domain
goes, and fills what can't be had with regular ones in cheap domains.
"""

import collections
import dataclasses
import math

from fireflypulley.core.gateway import document

RUNNING_PER_ENDPOINT = 14.0
"""An engine that runs more streams starts to answer late."""
WAITING_TOKENS_PER_ENDPOINT = 60_000.0
PEAK_FACTOR = 1.3
PEAK_MEMORY_S = 12.0
SPREAD_MIN = 2
PROVIDED_S = 4.0
"""Endpoints that are there at the start register within this time."""
REFUSED_FOR_S = 4.0
SETTLE_S = 2.0
REPEAT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """A kind of endpoint in a failure domain."""

    failure_domain: str
    reclaimable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What all nodes have at a service's endpoints now."""

    running: int
    waiting_tokens: int


class CapacityPlan:
    """The wanted endpoints of one service, and the orders given."""

    def __init__(self) -> None:
        self._peak = 0.0
        self._peak_s = float("-inf")
        self._provided = 0
        self._began_s: float | None = None
        self._refused: dict[str, float] = {}
        self._ordered: dict[Pool, tuple[int, float]] = {}

    def note_demand(self, demand: Demand, now_s: float) -> None:
        """Follow the load; a peak is remembered for a while."""
        needed = demand.running / RUNNING_PER_ENDPOINT
        needed += demand.waiting_tokens / WAITING_TOKENS_PER_ENDPOINT
        if needed >= self._peak or now_s - self._peak_s > PEAK_MEMORY_S:
            self._peak = needed
            self._peak_s = now_s

    def note_ready(self, total: int, now_s: float) -> None:
        """Learn how many endpoints operators have provided.

        The load can't show at the start how many are needed, so there
        are never fewer than at first, of whichever kind.
        """
        if self._began_s is None:
            self._began_s = now_s
        if self._is_learning(now_s):
            self._provided = max(self._provided, total)

    def _is_learning(self, now_s: float) -> bool:
        return self._began_s is None or now_s - self._began_s < PROVIDED_S

    def refused(self, failure_domain: str, now_s: float) -> None:
        """Record that no reclaimable endpoint is to be had there."""
        self._refused[failure_domain] = now_s + REFUSED_FOR_S

    def ordered(self, place: Pool, count: int, now_s: float) -> None:
        """Record an order that the cloud has taken."""
        self._ordered[place] = (count, now_s)

    def _may_have(self, failure_domain: str, now_s: float) -> bool:
        return self._refused.get(failure_domain, 0.0) <= now_s

    def _needed(self) -> int:
        return math.ceil(self._peak * PEAK_FACTOR)

    def _reclaimable_count(
        self, scaling: document.Scaling, domains: int
    ) -> int:
        """Return the count for each domain that outlives one's loss."""
        surviving = max(1, domains - 1)
        count = max(
            SPREAD_MIN,
            math.ceil(self._needed() / surviving),
            math.ceil(self._provided / max(1, domains)),
        )
        return max(scaling.min_count, min(scaling.max_count, count))

    def _coming(
        self,
        place: Pool,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> int:
        """Return the endpoints there, with those just ordered."""
        count, at_s = self._ordered.get(place, (0, float("-inf")))
        if now_s - at_s < scaling.boot_s + SETTLE_S:
            return max(count, ready[place])
        return ready[place]

    def wanted(
        self,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> dict[Pool, int]:
        """Return the wanted count of each kind in each domain.

        Regular endpoints are given back once enough reclaimable ones are
        ready, and added while too few are.
        """
        prices = scaling.domain_prices
        domains = sorted(prices, key=lambda domain: (prices[domain], domain))
        if not domains:
            return {}
        count = self._reclaimable_count(scaling, len(domains))
        found = {Pool(domain, True): count for domain in domains}
        needed = max(self._needed(), math.ceil(count * len(domains) / 2))
        have = sum(ready[place] for place in found)
        coming = sum(
            self._coming(place, scaling, ready, now_s) for place in found
        )
        for domain in domains:
            place = Pool(domain, False)
            found[place] = 0
            if have < needed:
                found[place] = self._coming(place, scaling, ready, now_s)
                coming += found[place]
        if self._is_learning(now_s):
            # Some that are there may not have registered yet.
            return found
        for domain in domains:
            room = scaling.max_count - found[Pool(domain, False)]
            room -= ready[Pool(domain, True)]
            more = max(0, min(needed - coming, room))
            found[Pool(domain, False)] += more
            coming += more
        return found

    def orders(
        self,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> dict[Pool, int]:
        """Return the orders to give now, those that add first."""
        found: dict[Pool, int] = {}
        for place, count in self.wanted(scaling, ready, now_s).items():
            if self._is_due(place, count, scaling, ready, now_s):
                found[place] = count
        return dict(sorted(found.items(), key=lambda one: -one[1]))

    def _is_due(
        self,
        place: Pool,
        count: int,
        scaling: document.Scaling,
        ready: collections.Counter[Pool],
        now_s: float,
    ) -> bool:
        if place.reclaimable and not self._may_have(
            place.failure_domain, now_s
        ):
            return False
        known, at_s = self._ordered.get(place, (-1, float("-inf")))
        if count > known >= 0 or known < 0:
            return known >= 0 or ready[place] != count
        if count < known:
            return now_s - at_s >= REPEAT_S
        settled = now_s - at_s >= scaling.boot_s + SETTLE_S
        return settled and ready[place] != count
