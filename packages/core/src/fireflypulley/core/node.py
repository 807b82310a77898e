"""The one door to all decisions of a node.

``Node.handle`` takes an event and the time and returns actions.  The
daemon, the benches and the fault matrix drive the same code through it.
"""

import collections.abc
import dataclasses
import typing

from fireflypulley.core import actions
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import leases
from fireflypulley.core import serving
from fireflypulley.core import state
from fireflypulley.core import topology
from fireflypulley.core import warmup

CONFIRMED_S = 6.0
VERDICT_PERIOD_S = 1.0
EXPIRY_PERIOD_S = 10.0

_Actions = list[actions.Action]
_Handler = collections.abc.Callable[[typing.Any, float], _Actions]


class Node:
    """The decisions of one node."""

    def __init__(self, this: topology.Node, incarnation: int) -> None:
        self.state = state.create(this, incarnation)
        self.serving = serving.Serving(self.state)
        self._store_seen_s = float("-inf")
        self._verdict_asked_s: dict[str, float] = {}
        self._expired_s = 0.0
        self._leaves_at_s: float | None = None
        self._peers: tuple[str, ...] = ()
        self._handlers: dict[type[events.Event], _Handler] = {
            events.RequestArrived: self.serving.arrived,
            events.CallerLeft: self.serving.caller_left,
            events.AttemptSent: self._on_sent,
            events.AttemptFirstToken: self.serving.first_token,
            events.AttemptEnded: self.serving.ended,
            events.TransactionEnded: self._on_transaction,
            events.RowRead: self._on_row,
            events.InstancesListed: self._on_instances,
            events.LoadReported: self._on_load,
            events.EntriesRead: self._on_entries,
            events.EntryWritten: self._on_entry_written,
            events.LeaseHeld: self._on_lease,
            events.LeaseRefused: self._on_lease_refused,
            events.PeerConnected: self._on_peer,
            events.PeerHeard: self._on_peer_heard,
            events.PeerLost: self._on_peer_lost,
            events.FactsReceived: self._on_facts,
            events.SlotAsked: self._on_slot_asked,
            events.SlotAnswered: self._on_slot_answered,
            events.SlotReturned: self._on_slot_returned,
            events.Tick: self._on_tick,
            events.ShutdownStarted: self._on_shutdown,
        }

    def handle(self, event: events.Event, now_s: float) -> _Actions:
        """Take in one event; return what to do, in order."""
        return self._handlers[type(event)](event, now_s)

    # What the daemon asks

    def ready(self, now_s: float) -> bool:
        """Return whether the balancer should send callers here."""
        if self._leaves_at_s is not None:
            return False
        if not self.state.config.total_version:
            return False
        return self.confirmed(now_s)

    def confirmed(self, now_s: float) -> bool:
        """Return whether the configuration is known to be in force.

        The store or a peer must have confirmed it of late.
        """
        if now_s - self._store_seen_s < CONFIRMED_S:
            return True
        return bool(self.state.members.connected)

    @property
    def shutting_down(self) -> bool:
        """Return whether the node is to leave."""
        return self._leaves_at_s is not None

    @property
    def idle(self) -> bool:
        """Return whether nothing is left to answer or to record."""
        return not len(self.serving) and not len(self.state.ledger)

    # Requests

    def _on_sent(self, event: events.AttemptSent, now_s: float) -> _Actions:
        self.serving.sent(event, now_s)
        return []

    def _on_transaction(
        self, event: events.TransactionEnded, now_s: float
    ) -> _Actions:
        settled, found = self.state.ledger.transaction_ended(event, now_s)
        return found + self.serving.claims_settled(settled, now_s)

    def _on_row(self, event: events.RowRead, now_s: float) -> _Actions:
        settled, found = self.state.ledger.row_read(event, now_s)
        return found + self.serving.claims_settled(settled, now_s)

    # Endpoints

    def _on_instances(
        self, event: events.InstancesListed, now_s: float
    ) -> _Actions:
        members = self.state.members
        members.listed(event.nodes)
        known = {s.endpoint.endpoint_id for s in self.state.pool}
        for gone in self.state.pool.update(event.endpoints, now_s):
            self.state.warmup.forget(gone.endpoint.endpoint_id)
        for endpoint in event.endpoints:
            if endpoint.endpoint_id not in known:
                self._adopt(endpoint)
        found = self._pass_on_leaving(now_s)
        return found + self.serving.pump_all(now_s)

    def _adopt(self, endpoint: topology.Endpoint) -> None:
        fact = self.state.shared.get("warmth", endpoint.endpoint_id)
        if isinstance(fact, facts.Warmth):
            self.state.warmup.learn(fact)

    def _pass_on_leaving(self, now_s: float) -> _Actions:
        news: list[facts.Fact] = []
        for endpoint in self.state.pool:
            if endpoint.leaves_at_s is None:
                continue
            fact = facts.Leaving(
                endpoint.endpoint.endpoint_id, endpoint.leaves_at_s
            )
            known = self.state.shared.get(*fact.key)
            if known is None and self.state.shared.merge(fact, now_s):
                news.append(fact)
        return [actions.Spread(tuple(news))] if news else []

    def _on_load(self, event: events.LoadReported, now_s: float) -> _Actions:
        endpoint = self.state.pool.get(event.endpoint_id)
        if endpoint is None:
            return []
        found: _Actions = []
        if endpoint.take_report(event.report):
            found += self.serving.turned_cold(endpoint)
        self.state.warmup.note_report(event.endpoint_id)
        service = endpoint.endpoint.service
        return found + self.serving.pump(service, now_s)

    def _on_lease(self, event: events.LeaseHeld, now_s: float) -> _Actions:
        endpoint_id = event.name.removeprefix(warmup.LEASE_PREFIX)
        endpoint = self.state.pool.get(endpoint_id)
        if endpoint is None or self.state.warmup.is_warm(endpoint_id):
            return []
        lease = leases.Lease(
            self.state.this.node_id, event.fencing, event.expires_s
        )
        self.state.warmup.hold(endpoint.endpoint, lease, now_s)
        return self.serving.pump(endpoint.endpoint.service, now_s)

    def _on_lease_refused(
        self, event: events.LeaseRefused, now_s: float
    ) -> _Actions:
        return []

    def _on_slot_asked(
        self, event: events.SlotAsked, now_s: float
    ) -> _Actions:
        endpoint = self.state.pool.get(event.endpoint_id)
        expires_s = now_s + event.hold_s + leases.GUARD_S
        granted = False
        if endpoint is not None and not endpoint.leaving:
            granted = self.state.warmup.grant(
                event.endpoint_id,
                warmup.Slot(event.node_id, expires_s),
                endpoint.own,
                endpoint.reported,
                now_s,
            )
        return [
            actions.GrantSlot(
                event.node_id, event.endpoint_id, granted, expires_s
            )
        ]

    def _on_slot_answered(
        self, event: events.SlotAnswered, now_s: float
    ) -> _Actions:
        endpoint = self.state.pool.get(event.endpoint_id)
        if endpoint is None or not event.granted:
            return []
        cold = self.state.warmup.state(event.endpoint_id)
        cold.slot_expires_s.append(event.expires_s)
        found = self.serving.pump(endpoint.endpoint.service, now_s)
        return found + self._return_unused(event.endpoint_id, now_s)

    def _return_unused(self, endpoint_id: str, now_s: float) -> _Actions:
        cold = self.state.warmup.state(endpoint_id)
        unused = len(cold.slot_expires_s)
        cold.slot_expires_s.clear()
        name = warmup.lease_name(endpoint_id)
        owner = self.state.members.owner(name, now_s)
        if owner is None:
            return []
        one = actions.ReturnSlot(owner, endpoint_id, None)
        return [one] * unused

    def _on_slot_returned(
        self, event: events.SlotReturned, now_s: float
    ) -> _Actions:
        self.state.warmup.give_back(event.endpoint_id, event.node_id)
        endpoint = self.state.pool.get(event.endpoint_id)
        if endpoint is None:
            return []
        found: _Actions = []
        if event.answered_well is not None:
            fact = self.state.warmup.answered(
                endpoint.endpoint, event.answered_well
            )
            found = self._publish(fact, now_s)
        return found + self.serving.pump(endpoint.endpoint.service, now_s)

    def _publish(self, fact: facts.Fact | None, now_s: float) -> _Actions:
        if fact is None or not self.state.shared.merge(fact, now_s):
            return []
        return [actions.Spread((fact,))]

    # Configuration

    def _on_entries(self, event: events.EntriesRead, now_s: float) -> _Actions:
        self._store_seen_s = now_s
        return self._learn_entries(event.entries, None, now_s)

    def _on_entry_written(
        self, event: events.EntryWritten, now_s: float
    ) -> _Actions:
        return self._learn_entries((event.entry,), None, now_s)

    def _learn_entries(
        self,
        entries: tuple[configuration.Entry, ...],
        from_node: str | None,
        now_s: float,
    ) -> _Actions:
        news = [e for e in entries if self.state.config.merge(e)]
        if not news:
            return []
        for entry in news:
            self.state.shared.merge(entry, now_s)
        self.state.rollouts.forget_ended()
        found: _Actions = [actions.Spread(tuple(news), from_node)]
        found += [_entry_log(entry) for entry in news]
        return found + self.serving.pump_all(now_s)

    # Other nodes

    def _on_peer(self, event: events.PeerConnected, now_s: float) -> _Actions:
        fact = self.state.members.connect(
            event.node_id, event.incarnation, now_s
        )
        changed = actions.StateChanged("node", event.node_id, "connected")
        return [changed, *self._publish(fact, now_s)]

    def _on_peer_heard(
        self, event: events.PeerHeard, now_s: float
    ) -> _Actions:
        self.state.members.heard(event.node_id, now_s)
        return []

    def _on_peer_lost(self, event: events.PeerLost, now_s: float) -> _Actions:
        fact = self.state.members.lost(event.node_id, now_s)
        if fact is None:
            return []
        changed = actions.StateChanged("node", event.node_id, "lost")
        return [changed, *self._publish(fact, now_s)]

    def _on_facts(self, event: events.FactsReceived, now_s: float) -> _Actions:
        found: _Actions = []
        news: list[facts.Fact] = []
        entries: list[configuration.Entry] = []
        for fact in event.facts:
            if isinstance(fact, configuration.Entry):
                entries.append(fact)
            elif self.state.shared.merge(fact, now_s):
                news.append(fact)
                found += self._apply(fact, now_s)
        if news:
            found.append(actions.Spread(tuple(news), event.node_id))
        found += self._learn_entries(tuple(entries), event.node_id, now_s)
        return found + self.serving.pump_all(now_s)

    def _apply(self, fact: facts.Fact, now_s: float) -> _Actions:
        if isinstance(fact, facts.Warmth):
            self.state.warmup.learn(fact)
            endpoint = self.state.pool.get(fact.endpoint_id)
            if endpoint is not None and not fact.warm:
                endpoint.reset_latency()
        elif isinstance(fact, facts.Leaving):
            self.state.pool.mark_leaving(
                fact.endpoint_id, fact.leaves_at_s, now_s
            )
        elif isinstance(fact, facts.NodeDown):
            refuted = self.state.members.refute(fact)
            return self._publish(refuted, now_s)
        return []

    # Time

    def _on_shutdown(
        self, event: events.ShutdownStarted, now_s: float
    ) -> _Actions:
        self._leaves_at_s = event.leaves_at_s
        node_id = self.state.this.node_id
        return [actions.StateChanged("node", node_id, "shutting-down")]

    def _on_tick(self, event: events.Tick, now_s: float) -> _Actions:
        settled, found = self.state.ledger.tick(now_s)
        found += self.serving.claims_settled(settled, now_s)
        found += self._tick_peers(now_s)
        found += self._tick_leases(now_s)
        found += self._tick_rollouts(now_s)
        found += self.serving.tick(now_s)
        if now_s - self._expired_s >= EXPIRY_PERIOD_S:
            self._expired_s = now_s
            self.state.shared.expire(now_s)
        return found

    def _tick_peers(self, now_s: float) -> _Actions:
        found: _Actions = []
        for node_id in self.state.members.silent(now_s):
            found.append(actions.DropPeer(node_id))
            lost = events.PeerLost(node_id)
            found += self._on_peer_lost(lost, now_s)
        wanted = self.state.members.wanted_peers(now_s)
        if wanted != self._peers:
            self._peers = wanted
            found.append(actions.ConnectPeers(wanted))
        return found

    def _tick_leases(self, now_s: float) -> _Actions:
        if self.shutting_down:
            return []
        found: _Actions = []
        for endpoint in self.state.pool:
            endpoint_id = endpoint.endpoint.endpoint_id
            if endpoint.leaving:
                continue
            if not self.state.warmup.wants_lease(endpoint_id, now_s):
                continue
            name = warmup.lease_name(endpoint_id)
            if not self.state.members.owns(name, now_s):
                continue
            self.state.warmup.state(endpoint_id).lease_asked_s = now_s
            found.append(actions.AskLease(name, warmup.LEASE_TTL_S))
        return found

    def _tick_rollouts(self, now_s: float) -> _Actions:
        rollouts = self.state.rollouts
        news: list[facts.Fact] = list(rollouts.evidence(now_s))
        found: _Actions = []
        for trip in rollouts.trips(now_s):
            news.append(trip)
            found.append(
                actions.StateChanged(
                    "rollout", trip.rollout_id, "tripped", trip.reason
                )
            )
        news = [f for f in news if self.state.shared.merge(f, now_s)]
        if news:
            found.append(actions.Spread(tuple(news)))
        for verdict in rollouts.verdicts(now_s):
            found += self._write_rollout(verdict, now_s)
        for rollout in rollouts.running():
            if not self.state.members.owns(rollout.rollout_id, now_s):
                continue
            step = rollouts.next_step(rollout, now_s)
            if step is not None:
                found += self._write_rollout(step, now_s)
        return found

    def _write_rollout(
        self, rollout: configuration.Rollout, now_s: float
    ) -> _Actions:
        name = configuration.rollout_name(rollout.workspace, rollout.service)
        entry = self.state.config.get(configuration.EntryKind.ROLLOUT, name)
        asked_s = self._verdict_asked_s.get(name, float("-inf"))
        if entry is None or now_s - asked_s < VERDICT_PERIOD_S:
            return []
        self._verdict_asked_s[name] = now_s
        changed = dataclasses.replace(
            entry,
            body=rollout,
            operation_id=f"{self.state.this.node_id}-{now_s:.6f}",
        )
        return [actions.WriteEntry(changed)]


def _entry_log(entry: configuration.Entry) -> actions.Action:
    body = entry.body
    detail = f"version {entry.version}"
    if isinstance(body, configuration.Rollout):
        detail = f"{body.state.value} step {body.step} {body.reason}"
    elif isinstance(body, configuration.Domain):
        detail = "drained" if body.drained else "restored"
    return actions.StateChanged(
        entry.kind.value, entry.name, "in-force", detail.strip()
    )
