"""How much load an endpoint in cold start gets, over all nodes.

One node holds a lease on a cold endpoint's budget and hands out slots;
every other node sends there only on a slot.  Without the lease nobody
sends, so two views of the membership cannot grant twice.
"""

import dataclasses

from fireflypulley.core import facts
from fireflypulley.core import leases
from fireflypulley.core import topology

LEASE_TTL_S = 10.0
ANSWERS_PER_SLOT = 2
LEASE_PREFIX = "warmup/"


def lease_name(endpoint_id: str) -> str:
    """Return the name of the lease on an endpoint's budget."""
    return LEASE_PREFIX + endpoint_id


@dataclasses.dataclass(slots=True)
class Slot:
    """One request's room on a cold endpoint, held by another node."""

    node_id: str
    expires_s: float


@dataclasses.dataclass(slots=True)
class Budget:
    """The owner's account of one cold endpoint."""

    limit: int
    lease: leases.Lease
    slots: list[Slot] = dataclasses.field(default_factory=list)
    good_answers: int = 0
    reported_since_lease: bool = False

    def room(self, own: int, reported: int, now_s: float) -> int:
        """Return how many more requests the endpoint bears.

        ``own`` counts this node's requests there and ``reported`` the
        requests that the endpoint itself last reported.
        """
        if not self.lease.held(now_s) or not self.reported_since_lease:
            return 0
        self.slots = [s for s in self.slots if s.expires_s > now_s]
        return self.limit - max(own + len(self.slots), reported)

    def grow(self, capacity: int) -> bool:
        """Count a good answer; return whether the endpoint is warm."""
        self.good_answers += 1
        if self.good_answers >= ANSWERS_PER_SLOT * self.limit:
            self.good_answers = 0
            self.limit *= 2
        return self.limit >= capacity

    def shrink(self, cold_capacity: int) -> None:
        """Return to the smallest budget after a bad answer."""
        self.limit = cold_capacity
        self.good_answers = 0


@dataclasses.dataclass(slots=True)
class ColdState:
    """What this node knows of one endpoint's warm-up."""

    epoch: int = 0
    warm: bool = False
    budget: Budget | None = None
    lease_asked_s: float = float("-inf")
    slot_expires_s: list[float] = dataclasses.field(default_factory=list)
    slot_asked_s: float = float("-inf")


class Warmup:
    """The warm-up of all endpoints that this node follows."""

    def __init__(self) -> None:
        self._states: dict[str, ColdState] = {}

    def state(self, endpoint_id: str) -> ColdState:
        """Return an endpoint's state, cold when it is new."""
        return self._states.setdefault(endpoint_id, ColdState())

    def forget(self, endpoint_id: str) -> None:
        """Drop an endpoint that is gone."""
        self._states.pop(endpoint_id, None)

    def is_warm(self, endpoint_id: str) -> bool:
        """Return whether an endpoint bears its full load."""
        return self.state(endpoint_id).warm

    def learn(self, fact: facts.Warmth) -> None:
        """Take in what another node found."""
        state = self.state(fact.endpoint_id)
        if (fact.epoch, fact.warm) <= (state.epoch, state.warm):
            return
        state.epoch = fact.epoch
        state.warm = fact.warm
        if fact.warm:
            state.budget = None

    def hold(
        self,
        endpoint: topology.Endpoint,
        lease: leases.Lease,
        now_s: float,
    ) -> None:
        """Take or renew the lease on an endpoint's budget."""
        state = self.state(endpoint.endpoint_id)
        budget = state.budget
        if budget is None or budget.lease.fencing != lease.fencing:
            state.budget = Budget(endpoint.cold_capacity, lease)
        elif not budget.lease.held(now_s):
            state.budget = Budget(endpoint.cold_capacity, lease)
        else:
            budget.lease = lease

    def note_report(self, endpoint_id: str) -> None:
        """Record that a load report came after the lease was taken."""
        budget = self.state(endpoint_id).budget
        if budget is not None:
            budget.reported_since_lease = True

    def wants_lease(self, endpoint_id: str, now_s: float) -> bool:
        """Return whether the lease should be asked for or renewed."""
        state = self.state(endpoint_id)
        if state.warm or now_s - state.lease_asked_s < LEASE_TTL_S / 3:
            return False
        return True

    def room(
        self,
        endpoint_id: str,
        own: int,
        reported: int,
        deadline_s: float,
        now_s: float,
    ) -> int:
        """Return how many more requests this node may send there now.

        A slot serves only a request that ends before the slot does.
        """
        state = self.state(endpoint_id)
        if state.budget is not None:
            return state.budget.room(own, reported, now_s)
        return sum(1 for e in state.slot_expires_s if e >= deadline_s)

    def take(self, endpoint_id: str, deadline_s: float) -> bool:
        """Use a slot granted by the owner; return whether one was used."""
        state = self.state(endpoint_id)
        if state.warm or state.budget is not None:
            return False
        fitting = [e for e in state.slot_expires_s if e >= deadline_s]
        if not fitting:
            return False
        state.slot_expires_s.remove(min(fitting))
        return True

    def node_lost(self, node_id: str) -> None:
        """Drop the slots of a node whose connections are gone.

        What it may still run shows in the endpoint's reports.
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
        own: int,
        reported: int,
        now_s: float,
    ) -> bool:
        """Give a slot to another node; return False when there is none."""
        budget = self.state(endpoint_id).budget
        if budget is None or budget.room(own, reported, now_s) < 1:
            return False
        budget.slots.append(slot)
        return True

    def give_back(self, endpoint_id: str, node_id: str) -> None:
        """Take a slot back from the node that held it."""
        budget = self.state(endpoint_id).budget
        if budget is None:
            return
        for slot in budget.slots:
            if slot.node_id == node_id:
                budget.slots.remove(slot)
                return

    def answered(
        self, endpoint: topology.Endpoint, well: bool
    ) -> facts.Warmth | None:
        """Count an answer; return the fact when the endpoint is warm."""
        state = self.state(endpoint.endpoint_id)
        if state.warm or state.budget is None:
            return None
        if not well:
            state.budget.shrink(endpoint.cold_capacity)
            return None
        if not state.budget.grow(endpoint.capacity):
            return None
        state.warm = True
        state.budget = None
        return facts.Warmth(endpoint.endpoint_id, state.epoch, True)

    def turned_cold(self, endpoint_id: str) -> facts.Warmth | None:
        """Start a new cold epoch; return the fact, None if already cold."""
        state = self.state(endpoint_id)
        if not state.warm:
            return None
        state.warm = False
        state.epoch += 1
        state.budget = None
        state.slot_expires_s.clear()
        return facts.Warmth(endpoint_id, state.epoch, False)
