"""Limits the load of a cold endpoint, over all nodes.

One node holds a lease on a cold endpoint's budget and grants slots; any
other node needs a slot for each request to the endpoint.  Without the
lease no node sends there, so nodes that disagree about the membership
cannot both grant slots.
"""

import dataclasses

from fireflypulley.core import facts
from fireflypulley.core import leases
from fireflypulley.core import topology

LEASE_TTL_S = 10.0
ANSWERS_PER_SLOT = 2  # good responses per slot before the budget doubles
DENIAL_TTL_S = 0.5  # a denied node counts as waiting for this time
LEASE_PREFIX = "warmup/"


def lease_name(endpoint_id: str) -> str:
    """Return the name of the lease on an endpoint's budget."""
    return LEASE_PREFIX + endpoint_id


def reserved_slots(endpoint: topology.Endpoint) -> int:
    """Return the number of slots reserved for interactive requests.

    An endpoint with a cold capacity of one reserves none; otherwise it
    would never become warm without interactive requests.
    """
    return 1 if endpoint.cold_capacity > 1 else 0


@dataclasses.dataclass(frozen=True, slots=True)
class Slot:
    """The permission to send one request to a cold endpoint.

    ``node_id`` is the other party: to the owner, the node that holds the
    slot; to that node, the owner.
    """

    node_id: str
    expires_s: float


@dataclasses.dataclass(slots=True)
class Budget:
    """The owner's record of the slots of one cold endpoint."""

    limit: int
    lease: leases.Lease
    slots: list[Slot] = dataclasses.field(default_factory=list)
    good_answers: int = 0
    report_received: bool = False
    denied_at_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def free_slots(
        self, own_requests: int, reported_requests: int, now_s: float
    ) -> int:
        """Return how many more requests the endpoint can take.

        ``own_requests`` counts this node's requests there, and
        ``reported_requests`` those in the endpoint's last load report.
        """
        if not self.lease.is_held(now_s) or not self.report_received:
            return 0
        self.slots = [s for s in self.slots if s.expires_s > now_s]
        return self.limit - max(
            own_requests + len(self.slots), reported_requests
        )

    def own_free_slots(
        self, own_requests: int, reported_requests: int, now_s: float
    ) -> int:
        """Return how many of the free slots the owner itself may use.

        While other nodes are denied slots, it is limited to an equal
        share.
        """
        denied_nodes = [
            node_id
            for node_id, at_s in self.denied_at_s.items()
            if now_s - at_s <= DENIAL_TTL_S
        ]
        share = max(1, self.limit // (1 + len(denied_nodes)))
        if denied_nodes and own_requests >= share:
            return 0
        return self.free_slots(own_requests, reported_requests, now_s)

    def grow(self, capacity: int) -> bool:
        """Count a good response; return whether the endpoint is warm."""
        self.good_answers += 1
        if self.good_answers >= ANSWERS_PER_SLOT * self.limit:
            self.good_answers = 0
            self.limit *= 2
        return self.limit >= capacity

    def shrink(self, cold_capacity: int) -> None:
        """Reset to the smallest budget after a bad response."""
        self.limit = cold_capacity
        self.good_answers = 0


@dataclasses.dataclass(slots=True)
class WarmupState:
    """The warm-up of one endpoint, as known to this node."""

    epoch: int = 0
    warm: bool = False
    budget: Budget | None = None
    lease_asked_s: float = float("-inf")
    granted: list[Slot] = dataclasses.field(default_factory=list)
    slot_asked_s: float = float("-inf")


class Warmup:
    """The warm-up of all endpoints assigned to this node."""

    def __init__(self) -> None:
        self._states: dict[str, WarmupState] = {}

    def state(self, endpoint_id: str) -> WarmupState:
        """Return an endpoint's state; an unknown endpoint is cold."""
        return self._states.setdefault(endpoint_id, WarmupState())

    def forget(self, endpoint_id: str) -> None:
        """Drop the state of a removed endpoint."""
        self._states.pop(endpoint_id, None)

    def is_warm(self, endpoint_id: str) -> bool:
        """Return whether an endpoint can take its full load."""
        return self.state(endpoint_id).warm

    def apply(self, fact: facts.Warmth) -> None:
        """Apply a fact from another node."""
        state = self.state(fact.endpoint_id)
        if (fact.epoch, fact.warm) <= (state.epoch, state.warm):
            return
        state.epoch = fact.epoch
        state.warm = fact.warm
        if fact.warm:
            state.budget = None

    def set_lease(
        self,
        endpoint: topology.Endpoint,
        lease: leases.Lease,
    ) -> None:
        """Record the acquired or renewed lease on an endpoint's budget.

        If the fencing number is unchanged, no other node has held the
        lease in between, so the record of the slots is still valid.
        """
        state = self.state(endpoint.endpoint_id)
        budget = state.budget
        if budget is None or budget.lease.fencing != lease.fencing:
            state.budget = Budget(endpoint.cold_capacity, lease)
        else:
            budget.lease = lease

    def record_report(self, endpoint_id: str) -> None:
        """Record that a load report arrived after the lease was acquired."""
        budget = self.state(endpoint_id).budget
        if budget is not None:
            budget.report_received = True

    def wants_lease(self, endpoint_id: str, now_s: float) -> bool:
        """Return whether the lease should be requested or renewed."""
        state = self.state(endpoint_id)
        if state.warm or now_s - state.lease_asked_s < LEASE_TTL_S / 3:
            return False
        return True

    def free_slots(
        self,
        endpoint_id: str,
        own_requests: int,
        reported_requests: int,
        deadline_s: float,
        now_s: float,
    ) -> int:
        """Return how many more requests this node may send there now.

        A slot can only be used for a request whose deadline is not after
        the slot's expiry.
        """
        state = self.state(endpoint_id)
        if state.budget is not None:
            return state.budget.own_free_slots(
                own_requests, reported_requests, now_s
            )
        return sum(1 for s in state.granted if s.expires_s >= deadline_s)

    def owns_budget(self, endpoint_id: str) -> bool:
        """Return whether this node owns an endpoint's budget."""
        return self.state(endpoint_id).budget is not None

    def use_slot(self, endpoint_id: str, deadline_s: float) -> Slot | None:
        """Use and return a slot granted by the owner, if there is one."""
        state = self.state(endpoint_id)
        if state.warm or state.budget is not None:
            return None
        usable = [s for s in state.granted if s.expires_s >= deadline_s]
        if not usable:
            return None
        slot = min(usable, key=lambda s: s.expires_s)
        state.granted.remove(slot)
        return slot

    def drop_node_slots(self, node_id: str) -> None:
        """Drop the slots of a disconnected node.

        Requests that it still has running are in the endpoint's reports.
        """
        for state in self._states.values():
            if state.budget is not None:
                state.budget.slots = [
                    s for s in state.budget.slots if s.node_id != node_id
                ]

    def grant(
        self,
        endpoint_id: str,
        slot: Slot,
        own_requests: int,
        reported_requests: int,
        reserved: int,
        now_s: float,
    ) -> bool:
        """Grant a slot to another node; return False if none is free.

        The last ``reserved`` slots are not granted.
        """
        budget = self.state(endpoint_id).budget
        if budget is None:
            return False
        if (
            budget.free_slots(own_requests, reported_requests, now_s)
            < 1 + reserved
        ):
            budget.denied_at_s[slot.node_id] = now_s
            return False
        budget.denied_at_s.pop(slot.node_id, None)
        budget.slots.append(slot)
        return True

    def return_slot(self, endpoint_id: str, slot: Slot) -> None:
        """Return a slot to the budget."""
        budget = self.state(endpoint_id).budget
        if budget is not None and slot in budget.slots:
            budget.slots.remove(slot)

    def record_answer(
        self, endpoint: topology.Endpoint, succeeded: bool
    ) -> facts.Warmth | None:
        """Count a response; return a fact if the endpoint became warm."""
        state = self.state(endpoint.endpoint_id)
        if state.warm or state.budget is None:
            return None
        if not succeeded:
            state.budget.shrink(endpoint.cold_capacity)
            return None
        if not state.budget.grow(endpoint.capacity):
            return None
        state.warm = True
        state.budget = None
        return facts.Warmth(endpoint.endpoint_id, state.epoch, True)

    def mark_cold(self, endpoint_id: str) -> facts.Warmth | None:
        """Start a new cold epoch; return its fact, None if already cold."""
        state = self.state(endpoint_id)
        if not state.warm:
            return None
        state.warm = False
        state.epoch += 1
        state.budget = None
        state.granted.clear()
        return facts.Warmth(endpoint_id, state.epoch, False)
