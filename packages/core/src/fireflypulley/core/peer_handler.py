"""Handles events of node streams and facts from other nodes."""

from fireflypulley.core import actions
from fireflypulley.core import config_handler
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import handler
from fireflypulley.core import serving
from fireflypulley.core import state

EXPIRY_PERIOD_S = 10.0
PEER_CHOICE_PERIOD_S = 1.0


class PeerHandler(handler.Handler):
    """Updates the membership and applies the facts that peers send."""

    def __init__(
        self,
        node: state.NodeState,
        requests: serving.Serving,
        config: config_handler.ConfigHandler,
    ) -> None:
        super().__init__(node, requests)
        self._config = config
        self._peers: tuple[str, ...] = ()
        self._last_expiry_s = 0.0
        self._last_choice_s = float("-inf")

    def handlers(self) -> dict[type[events.Event], handler.Handle]:
        return {
            events.PeerConnected: self._on_connected,
            events.HeartbeatReceived: self._on_heartbeat,
            events.PeerLost: self._on_lost,
            events.FactsReceived: self._on_facts,
        }

    def _on_connected(
        self, event: events.PeerConnected, now_s: float
    ) -> handler.Actions:
        fact = self._node.members.connect(
            event.node_id, event.incarnation, now_s
        )
        changed = actions.StateChanged("node", event.node_id, "connected")
        return [changed, *self.publish(fact, now_s)]

    def _on_heartbeat(
        self, event: events.HeartbeatReceived, now_s: float
    ) -> handler.Actions:
        self._node.members.record_heartbeat(event.node_id, now_s)
        return []

    def _on_lost(
        self, event: events.PeerLost, now_s: float
    ) -> handler.Actions:
        fact = self._node.members.disconnect(event.node_id, now_s)
        if fact is None:
            return []
        self._node.warmup.drop_node_slots(event.node_id)
        changed = actions.StateChanged("node", event.node_id, "lost")
        return [changed, *self.publish(fact, now_s)]

    def _on_facts(
        self, event: events.FactsReceived, now_s: float
    ) -> handler.Actions:
        todo: handler.Actions = []
        updates: list[facts.Fact] = []
        entries: list[configuration.Entry] = []
        for fact in event.facts:
            if isinstance(fact, configuration.Entry):
                entries.append(fact)
            elif self._node.shared.merge(fact, now_s):
                if not isinstance(fact, facts.Evidence):
                    updates.append(fact)
                todo += self._apply(fact, now_s)
        if updates:
            todo.append(actions.Spread(tuple(updates), event.node_id))
        todo += self._config.apply_entries(
            tuple(entries), event.node_id, now_s
        )
        return todo + self._serving.dispatch_all_queues(now_s)

    def _apply(self, fact: facts.Fact, now_s: float) -> handler.Actions:
        if isinstance(fact, facts.Warmth):
            self._node.warmup.apply(fact)
            endpoint = self._node.pool.get(fact.endpoint_id)
            if endpoint is not None and not fact.warm:
                endpoint.measured_speed.reset()
        elif isinstance(fact, facts.Leaving):
            self._node.pool.mark_leaving(
                fact.endpoint_id, fact.leaves_at_s, now_s
            )
        elif isinstance(fact, facts.NodeDown):
            refuted = self._node.members.refute(fact)
            return self.publish(refuted, now_s)
        return []

    def _choose_peers(self, now_s: float) -> handler.Actions:
        chosen = self._node.members.wanted_peers(now_s)
        if chosen == self._peers:
            return []
        self._peers = chosen
        return [actions.ConnectPeers(chosen)]

    def tick(self, now_s: float) -> handler.Actions:
        todo: handler.Actions = []
        for node_id in self._node.members.timed_out_peers(now_s):
            todo.append(actions.DropPeer(node_id))
            todo += self._on_lost(events.PeerLost(node_id), now_s)
        for fact in self._node.members.missing_peers(self._peers, now_s):
            changed = actions.StateChanged("node", fact.node_id, "missing")
            todo += [changed, *self.publish(fact, now_s)]
        if now_s - self._last_choice_s >= PEER_CHOICE_PERIOD_S:
            self._last_choice_s = now_s
            todo += self._choose_peers(now_s)
        if now_s - self._last_expiry_s >= EXPIRY_PERIOD_S:
            self._last_expiry_s = now_s
            self._node.shared.expire(now_s)
        return todo
