"""Orders replicas while this node holds the duty."""

import collections
import collections.abc

from twisted.internet import interfaces

from fireflypulley.core.gateway import capacity_plan
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.platform import base

ORDER_INTERVAL_S = 0.5
RETRY_DELAY_S = 1.0

_FindFence = collections.abc.Callable[[], base.Fence | None]


class ReplicaScaler:
    """Compares the endpoints in use with the plan, and orders changes."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        cloud: base.FencedCloud,
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._cloud = cloud
        self._plans: dict[str, capacity_plan.CapacityPlan] = {}
        self._next_round_s = 0.0
        self._is_ordering = False

    def tick(self, find_fence: _FindFence) -> None:
        """Record the load, and send the orders that are due.

        ``find_fence`` returns None while this node does not hold the duty.
        """
        now_s = self._reactor.seconds()
        config = self._scheduler.document
        if config is None:
            return
        for service in config.services:
            if service.scaling is not None:
                self._note_load(service, now_s)
        if self._is_ordering or now_s < self._next_round_s:
            return
        if find_fence() is None:
            return
        self._next_round_s = now_s + ORDER_INTERVAL_S
        self._is_ordering = True
        background.start(
            self._send_orders(config, find_fence),
            self._end_round,
            orders=True,
        )

    def _end_round(self) -> None:
        self._is_ordering = False

    def _plan(self, service: str) -> capacity_plan.CapacityPlan:
        return self._plans.setdefault(service, capacity_plan.CapacityPlan())

    def _note_load(self, service: document.Service, now_s: float) -> None:
        plan = self._plan(service.name)
        plan.note_demand(
            self._scheduler.loads.demand(service.name, now_s), now_s
        )
        plan.note_ready(sum(self._count_ready(service.name).values()), now_s)
        limited = [
            member
            for member in self._scheduler.fleet.in_use(service.name, now_s)
            if self._scheduler.limited.limit_of(member) is not None
        ]
        plan.note_limited(len(limited))

    def _count_ready(
        self, service: str
    ) -> collections.Counter[capacity_plan.Pool]:
        now_s = self._reactor.seconds()
        specs = [
            member.registration
            for member in self._scheduler.fleet.in_use(service, now_s)
        ]
        return collections.Counter(
            capacity_plan.Pool(spec.failure_domain, spec.reclaimable)
            for spec in specs
        )

    async def _send_orders(
        self, config: document.Document, find_fence: _FindFence
    ) -> None:
        for service in config.services:
            if service.scaling is None:
                continue
            now_s = self._reactor.seconds()
            # The cloud does not tell versions apart: its counts include
            # both, and it may remove endpoints of either.
            in_use = self._scheduler.fleet.in_use(service.name, now_s)
            if not self._scheduler.rollouts.is_settled(
                service.name, in_use, now_s
            ):
                continue
            plan = self._plan(service.name)
            ready = self._count_ready(service.name)
            due = plan.orders(service.scaling, ready, now_s)
            for pool, count in due.items():
                # The orders before may have lasted longer than the lease.
                fence = find_fence()
                if fence is None:
                    decision_log.note("order", state="lease-ended")
                    return
                await self._send_order(service.name, plan, pool, count, fence)

    async def _send_order(
        self,
        service: str,
        plan: capacity_plan.CapacityPlan,
        pool: capacity_plan.Pool,
        count: int,
        fence: base.Fence,
    ) -> None:
        order = base.CountOrder(
            service, pool.failure_domain, count, pool.reclaimable
        )
        state, detail = "given", ""
        try:
            await self._cloud.order(fence, order)
            plan.note_order(pool, count, self._reactor.seconds())
        except base.OrderRefused as problem:
            plan.note_refused(pool.failure_domain, self._reactor.seconds())
            state, detail = "refused", str(problem)
        except base.Unavailable as problem:
            self._next_round_s = self._reactor.seconds() + RETRY_DELAY_S
            state, detail = "unanswered", str(problem)
        decision_log.note(
            "order",
            service=service,
            failure_domain=pool.failure_domain,
            reclaimable=pool.reclaimable,
            count=count,
            state=state,
            detail=detail,
            fencing=fence.fencing,
        )
