"""Handles events of endpoints: instance lists, load reports, warm-up."""

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import handler
from fireflypulley.core import leases
from fireflypulley.core import topology
from fireflypulley.core import warmup


class EndpointHandler(handler.Handler):
    """Updates the pool and the budgets of cold endpoints."""

    def handlers(self) -> dict[type[events.Event], handler.Handle]:
        return {
            events.InstancesListed: self._on_instances,
            events.LoadReported: self._on_load,
            events.LeaseHeld: self._on_lease,
            events.LeaseRefused: self._on_lease_refused,
            events.SlotAsked: self._on_slot_asked,
            events.SlotAnswered: self._on_slot_answered,
            events.SlotReturned: self._on_slot_returned,
        }

    def _on_instances(
        self, event: events.InstancesListed, now_s: float
    ) -> handler.Actions:
        self._node.members.set_listed_nodes(event.nodes)
        known = {s.endpoint.endpoint_id for s in self._node.pool}
        assigned = tuple(
            endpoint
            for endpoint in event.endpoints
            if self._node.members.is_assigned(
                warmup.lease_name(endpoint.endpoint_id), now_s
            )
        )
        listed = {endpoint.endpoint_id for endpoint in event.endpoints}
        todo: handler.Actions = []
        for removed in self._node.pool.update(assigned, now_s):
            endpoint_id = removed.endpoint.endpoint_id
            if endpoint_id not in listed:
                fact = self._node.warmup.mark_cold(endpoint_id)
                todo += self.publish(fact, now_s)
            self._node.warmup.forget(endpoint_id)
        for endpoint in assigned:
            if endpoint.endpoint_id not in known:
                self._restore_warmth(endpoint)
        todo += self._share_leaving(now_s)
        return todo + self._serving.dispatch_all_queues(now_s)

    def _restore_warmth(self, endpoint: topology.Endpoint) -> None:
        fact = self._node.shared.get("warmth", endpoint.endpoint_id)
        if isinstance(fact, facts.Warmth):
            self._node.warmup.apply(fact)

    def _share_leaving(self, now_s: float) -> handler.Actions:
        updates: list[facts.Fact] = []
        for endpoint in self._node.pool:
            if endpoint.leaves_at_s is None:
                continue
            fact = facts.Leaving(
                endpoint.endpoint.endpoint_id, endpoint.leaves_at_s
            )
            known = self._node.shared.get(*fact.key)
            if known is None and self._node.shared.merge(fact, now_s):
                updates.append(fact)
        return [actions.Spread(tuple(updates))] if updates else []

    def _on_load(
        self, event: events.LoadReported, now_s: float
    ) -> handler.Actions:
        endpoint = self._node.pool.get(event.endpoint_id)
        if endpoint is None:
            return []
        todo: handler.Actions = []
        restarted = endpoint.record_report(event.report, now_s)
        if restarted or self._node.pool.looks_cold(endpoint):
            todo += self._serving.mark_cold(endpoint)
        self._node.warmup.record_report(event.endpoint_id)
        return todo + self._serving.dispatch_queue(
            endpoint.endpoint.service, now_s
        )

    # Budgets of cold endpoints

    def _on_lease(
        self, event: events.LeaseHeld, now_s: float
    ) -> handler.Actions:
        endpoint_id = event.name.removeprefix(warmup.LEASE_PREFIX)
        endpoint = self._node.pool.get(endpoint_id)
        if endpoint is None or self._node.warmup.is_warm(endpoint_id):
            return []
        lease = leases.Lease(
            self._node.this.node_id, event.fencing, event.expires_s
        )
        self._node.warmup.set_lease(endpoint.endpoint, lease)
        return self._serving.dispatch_queue(endpoint.endpoint.service, now_s)

    def _on_lease_refused(
        self, event: events.LeaseRefused, now_s: float
    ) -> handler.Actions:
        return []

    def _on_slot_asked(
        self, event: events.SlotAsked, now_s: float
    ) -> handler.Actions:
        endpoint = self._node.pool.get(event.endpoint_id)
        expires_s = now_s + event.hold_s + leases.GUARD_S
        granted = False
        if endpoint is not None and not endpoint.leaving:
            reserved = 0
            if event.patient:
                reserved = warmup.reserved_slots(endpoint.endpoint)
            granted = self._node.warmup.grant(
                event.endpoint_id,
                warmup.Slot(event.node_id, expires_s),
                endpoint.own_requests,
                endpoint.reported_requests,
                reserved,
                now_s,
            )
        return [
            actions.GrantSlot(
                event.node_id, event.endpoint_id, granted, expires_s
            )
        ]

    def _on_slot_answered(
        self, event: events.SlotAnswered, now_s: float
    ) -> handler.Actions:
        endpoint = self._node.pool.get(event.endpoint_id)
        if endpoint is None or not event.granted:
            return []
        warmup_state = self._node.warmup.state(event.endpoint_id)
        warmup_state.granted.append(
            warmup.Slot(event.owner_node, event.expires_s)
        )
        todo = self._serving.dispatch_queue(endpoint.endpoint.service, now_s)
        return todo + self._return_unused(event.endpoint_id)

    def _return_unused(self, endpoint_id: str) -> handler.Actions:
        warmup_state = self._node.warmup.state(endpoint_id)
        unused, warmup_state.granted = warmup_state.granted, []
        return [
            actions.ReturnSlot(s.node_id, endpoint_id, s.expires_s, None)
            for s in unused
        ]

    def _on_slot_returned(
        self, event: events.SlotReturned, now_s: float
    ) -> handler.Actions:
        slot = warmup.Slot(event.node_id, event.expires_s)
        self._node.warmup.return_slot(event.endpoint_id, slot)
        endpoint = self._node.pool.get(event.endpoint_id)
        if endpoint is None:
            return []
        todo: handler.Actions = []
        if event.answered_well is not None:
            fact = self._node.warmup.record_answer(
                endpoint.endpoint, event.answered_well
            )
            todo = self.publish(fact, now_s)
        return todo + self._serving.dispatch_queue(
            endpoint.endpoint.service, now_s
        )

    def tick(self, now_s: float) -> handler.Actions:
        todo: handler.Actions = []
        for endpoint in self._node.pool:
            endpoint_id = endpoint.endpoint.endpoint_id
            if endpoint.leaving:
                continue
            if not self._node.warmup.wants_lease(endpoint_id, now_s):
                continue
            name = warmup.lease_name(endpoint_id)
            if not self._node.members.owns(name, now_s):
                continue
            self._node.warmup.state(endpoint_id).lease_asked_s = now_s
            todo.append(actions.AskLease(name, warmup.LEASE_TTL_S))
        return todo
