"""When the holder of the duty orders endpoints."""

import pytest
from twisted.internet import task

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import desk
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import supply
from fireflypulley.gateway import orders
from fireflypulley.platform import base

from ..core.gateway import builders

FENCE = base.Fence("n1", 1)
SCALING = document.Scaling(0, 8, 4.0, 0.3, {"a": 1.0, "b": 1.0})


class Cloud(base.CloudCalls):
    """Takes every order for regular endpoints."""

    def __init__(self):
        self.orders = []

    async def report_usage(self, fence, window, counts):
        raise AssertionError("not used here")

    async def order(self, fence, order):
        if order.reclaimable:
            raise base.OrderRefused("none to be had")
        self.orders.append(order)


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def known():
    found = desk.Desk("a", bounds.SharedBounds())
    found.put_in_force(builders.a_document(scaling=SCALING), 0.0)
    for place in range(4):
        domain = "ab"[place % 2]
        found.fleet.put(
            builders.entry(f"e{place}", domain, reclaimable=True), 0.0
        )
    return found


def _run(clock, placing, seconds):
    for _ in range(round(seconds / 0.25)):
        clock.advance(0.25)
        placing.tick(FENCE)


# Guards against a late replacement: endpoints whose entry is gone counted
# as ready for as long as they were kept.
def test_an_endpoint_that_was_removed_is_replaced_at_once(clock, known):
    cloud = Cloud()
    placing = orders.Orders(clock, known, cloud)
    _run(clock, placing, supply.PROVIDED_S + 1.0)
    assert not any(order.count for order in cloud.orders)
    for endpoint_id in ("e0", "e1", "e2", "e3"):
        known.fleet.remove(endpoint_id, clock.seconds(), False)
    _run(clock, placing, 2 * orders.ORDER_EVERY_S)
    assert any(order.count for order in cloud.orders)
