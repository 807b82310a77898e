"""Planned endpoint counts during reclaims and shortages."""

import collections

import pytest

from fireflypulley.core.gateway import capacity_plan
from fireflypulley.core.gateway import document

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}
SCALING = document.Scaling(1, 3, 4.0, 0.18, PRICES)


class Cloud:
    """A cloud that delivers orders after the boot time."""

    def __init__(self, **regular):
        self.plan = capacity_plan.CapacityPlan()
        self.now_s = 0.0
        self.ready = collections.Counter(
            {capacity_plan.Pool(d, False): n for d, n in regular.items()}
        )
        self.arriving = []
        self.unavailable = set()
        self.cost = 0.0
        self.fewest = 10**6
        self.scaling = SCALING
        self.ordered_regular = 0

    def reclaim(self, domain):
        """Take a domain's reclaimable endpoints away."""
        self.ready[capacity_plan.Pool(domain, True)] = 0

    def run(self, seconds, running=0):
        """Run the plan at a constant load."""
        for _ in range(int(seconds / 0.5)):
            self.now_s += 0.5
            self._arrive()
            demand = capacity_plan.Demand(running, 0)
            self.plan.note_demand(demand, self.now_s)
            self.plan.note_ready(sum(self.ready.values()), self.now_s)
            orders = self.plan.orders(self.scaling, self.ready, self.now_s)
            for pool, count in orders.items():
                self._order(pool, count)
            self.fewest = min(self.fewest, sum(self.ready.values()))
            self.cost += 0.5 * sum(
                count
                * PRICES[pool.failure_domain]
                * (0.18 if pool.reclaimable else 1.0)
                for pool, count in self.ready.items()
            )

    def _arrive(self):
        for one in [one for one in self.arriving if one[0] <= self.now_s]:
            self.arriving.remove(one)
            self.ready[one[1]] = one[2]

    def _order(self, pool, count):
        if pool.reclaimable and pool.failure_domain in self.unavailable:
            self.plan.note_refused(pool.failure_domain, self.now_s)
            return
        self.plan.note_order(pool, count, self.now_s)
        if not pool.reclaimable and count > self.ready[pool]:
            self.ordered_regular += count
        if count < self.ready[pool]:
            self.ready[pool] = count
        else:
            self.arriving.append((self.now_s + 4.0, pool, count))

    def total(self, reclaimable):
        """Return the endpoints of a kind."""
        return sum(
            count
            for pool, count in self.ready.items()
            if pool.reclaimable is reclaimable
        )


def test_ready_reclaimable_endpoints_replace_regular_ones():
    cloud = Cloud(a=2, b=1, c=1, d=1)
    cloud.run(3.0)
    assert cloud.total(False) == 5
    cloud.run(20.0)
    assert cloud.total(False) == 0
    assert cloud.total(True) == 2 * len(PRICES)
    assert cloud.fewest >= 5


def test_enough_remain_after_two_reclaims_without_replacement():
    cloud = Cloud(a=2, b=1, c=1, d=1)
    cloud.run(20.0, running=20)
    cloud.unavailable = set(PRICES)
    cloud.reclaim("d")
    cloud.run(6.0, running=20)
    cloud.reclaim("c")
    cloud.run(8.0, running=20)
    assert sum(cloud.ready.values()) >= 4
    cloud.unavailable = set()
    cloud.run(30.0, running=20)
    assert cloud.total(False) == 0
    assert cloud.total(True) == 2 * len(PRICES)


def test_regular_endpoints_are_ordered_if_no_reclaimable_are_available():
    cloud = Cloud(b=1)
    cloud.unavailable = set(PRICES)
    cloud.run(20.0)
    assert cloud.total(True) == 0
    assert cloud.total(False) >= 4


def test_higher_load_adds_endpoints():
    cloud = Cloud(a=2, b=1, c=1, d=1)
    cloud.run(20.0, running=20)
    calm = cloud.total(True)
    cloud.run(20.0, running=110)
    assert cloud.total(True) > calm


def test_no_domain_exceeds_the_limits():
    cloud = Cloud(a=3, b=3, c=3, d=3)
    for running in (0, 500, 0, 500):
        cloud.run(15.0, running=running)
        for domain in PRICES:
            there = (
                cloud.ready[capacity_plan.Pool(domain, True)]
                + cloud.ready[capacity_plan.Pool(domain, False)]
            )
            assert there <= SCALING.max_count + 2


def test_a_minute_of_low_load_costs_less_than_a_third_of_regular_price():
    cloud = Cloud(a=2, b=1, c=1, d=1)
    cloud.run(12.0, running=15)
    cloud.cost = 0.0
    cloud.run(60.0, running=15)
    regular = 60.0 * (2 * 1.0 + 0.8 + 1.25 + 0.9)
    assert cloud.cost == pytest.approx(60.0 * 0.18 * 2 * 3.95, rel=0.01)
    assert cloud.cost < regular / 3


def test_reclaimable_endpoints_match_the_number_provided():
    """Before any load, the number needed is unknown."""
    scaling = document.Scaling(1, 46, 4.0, 0.18, PRICES)
    cloud = Cloud(a=12, b=11, c=11, d=11)
    cloud.scaling = scaling
    cloud.run(30.0)
    assert cloud.total(False) == 0
    assert cloud.total(True) == 48
    assert cloud.fewest >= 45


def test_no_regular_endpoints_are_added_before_existing_ones_register():
    cloud = Cloud()
    cloud.run(1.0)
    cloud.ready.update({capacity_plan.Pool("a", False): 2})
    cloud.run(1.0)
    cloud.ready.update({capacity_plan.Pool(d, False): 1 for d in "bcd"})
    cloud.run(6.0)
    assert cloud.ordered_regular == 0
