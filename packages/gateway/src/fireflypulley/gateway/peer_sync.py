"""Exchange of state between gateway nodes over their streams."""

import collections.abc
import random

from twisted.internet import interfaces

from fireflypulley.core import facts
from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import duty_claims
from fireflypulley.core.gateway import loads
from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import overlay
from fireflypulley.core.gateway import peer_numbers
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import sharing
from fireflypulley.core.gateway import usage
from fireflypulley.core import topology
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import follower
from fireflypulley.gateway import permit_broker
from fireflypulley.gateway import permit_streams
from fireflypulley.gateway import report_replication
from fireflypulley.gateway import row_replication
from fireflypulley.gateway import tunnel_transport
from fireflypulley.gateway import tunnels
from fireflypulley.nodes import hub
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.transport import memory

MIN_SEND_INTERVAL_S = 0.05
STREAM_SILENCE_LIMIT_S = 2.0
FEED_SILENCE_LIMIT_S = 1.0
"""A relay that sent no state for this long no longer feeds this node.  It
sends four in that time; the node reads the store itself soon enough then to
have a change in force in time."""
ROTATION_INTERVAL_S = 1.0
"""Interval at which a node without a relay tries the next one."""
DIAL_TEMPLATE = "tcp:{host}:{port}"


class PeerSync(hub.HubListener):
    """Sends this node's state, and forwards states, facts and rows."""

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        registry: peer_registry.PeerRegistry,
        key: bytes,
        node_scheduler: scheduler.RequestScheduler,
        counts: usage.UsageCounts,
        store_follower: follower.Follower,
        holds_duty: collections.abc.Callable[[], bool],
        permits: permit_broker.PermitBroker,
        budget: memory.MemoryBudget | None = None,
    ) -> None:
        self._reactor = reactor
        self._peer_registry = registry
        self._scheduler = node_scheduler
        self._usage = counts
        self._follower = store_follower
        self._holds_duty = holds_duty
        self._permits = permits
        this = registry.this
        self._states = node_states.StateRegistry(
            this.node_id, usage.KEPT_WINDOWS
        )
        self._recent: list[peer_registry.NodeEntry] = []
        self._overlay = overlay.Overlay(this, ())
        self._wanted: tuple[str, ...] = ()
        self._sequence = 0
        self._has_heard_state = False
        self._stream_last_seen_s: dict[str, float] = {}
        self.duty_claims = duty_claims.DutyClaims(reactor.seconds())
        self._state_sent_s = float("-inf")
        node = topology.Node(this.node_id, this.address, this.failure_domain)
        self.hub = hub.Hub(
            reactor,
            node,
            this.started_ms,
            keys.SharedKey(key),
            DIAL_TEMPLATE,
            self,
            self._resolve,
            (
                permit_broker.FEATURE,
                crash_detector.FEATURE,
                tunnel_transport.FEATURE,
                tunnel_transport.SINGLE_FEATURE,
                tunnel_transport.COUNT_FEATURE,
                report_replication.USAGE_FEATURE,
                report_replication.LEAVING_FEATURE,
            ),
        )
        self._replicator = row_replication.RowReplicator(
            reactor, store_follower.cache, self.hub, self._states
        )
        self.limits = report_replication.LimitReplicator(
            node_scheduler.limited.limits, self.hub, permit_broker.FEATURE
        )
        self.crashes = report_replication.CrashReplicator(
            node_scheduler.prompt_crashes, self.hub, crash_detector.FEATURE
        )
        self.leaving = report_replication.LeavingReplicator(
            node_scheduler.leaving, self.hub
        )
        self.usage_reports = report_replication.UsageReplicator(
            counts.settled, self.hub
        )
        self.tunnel_dialer = tunnels.TunnelDialer(
            reactor,
            self.hub,
            keys.SharedKey(key),
            self._tunnel_peers,
            carriers.Carriers(this.failure_domain),
            budget,
        )
        store_follower.on_update = self._send_rows
        permits.attach(
            permit_streams.PermitStreams(
                reactor,
                registry,
                self.duty_claims,
                self.hub,
                lambda: self._overlay,
            )
        )

    def _resolve(self, node_id: str) -> topology.Node | None:
        entry = self._peer_registry.get(node_id)
        if entry is None:
            return None
        return topology.Node(
            entry.node_id, entry.address, entry.failure_domain
        )

    def start(self) -> None:
        """Start to connect to the known nodes."""
        self.hub.start()
        self._update_node_counts()
        self.nodes_changed()

    def stop(self) -> None:
        """Close all streams."""
        self.hub.stop()

    @property
    def has_heard_peers(self) -> bool:
        """Return whether another node has sent its state, if there is any."""
        return self._has_heard_state or not self._peer_registry.node_ids

    def _tunnel_peers(self) -> list[peer_registry.NodeEntry]:
        """Return the live nodes in random order.

        So one node does not carry all tunnels.
        """
        alive = self._peer_registry.alive(self._reactor.seconds())
        entries = [self._peer_registry.get(node_id) for node_id in alive]
        peers = [entry for entry in entries if entry is not None]
        random.shuffle(peers)
        return peers

    # Selection of streams

    @property
    def is_mesh(self) -> bool:
        """Return whether every node has a stream to every other."""
        return self._overlay.is_mesh

    @property
    def feeds_others(self) -> bool:
        """Return whether other nodes read the store through this one."""
        return self._overlay.is_relay and not self._overlay.is_mesh

    @property
    def has_relay_feed(self) -> bool:
        """Return whether a relay sends this node the rows of the store."""
        if self._overlay.is_relay:
            return False
        now_s = self._reactor.seconds()
        for node_id in self._overlay.relays & set(self.hub.peers):
            state = self._states.get(node_id)
            last_seen_s = self._stream_last_seen_s.get(node_id, float("-inf"))
            is_recent = now_s - last_seen_s < FEED_SILENCE_LIMIT_S
            if state is not None and is_recent and not state.store_doubted:
                return True
        return False

    @property
    def peers_lost_store(self) -> bool:
        """Return whether none of the other nodes that read the store reach it.

        Return False unless most nodes are alive: a minority can't tell an
        outage of the store from a failure that affects only some nodes.
        """
        now_s = self._reactor.seconds()
        alive = self._peer_registry.alive(now_s)
        if 2 * len(alive) <= self._peer_registry.node_count(now_s):
            return False
        readers = self._overlay.relays
        states = [
            self._states.get(node_id)
            for node_id in alive
            if node_id in readers
            and node_id != self._peer_registry.this.node_id
        ]
        return bool(states) and all(
            state is not None and state.store_doubted for state in states
        )

    def nodes_changed(self) -> None:
        """Update the overlay and the streams after the nodes have changed."""
        now_s = self._reactor.seconds()
        recent = self._peer_registry.recent(now_s)
        if recent != self._recent:
            self._recent = recent
            self._overlay = overlay.Overlay(self._peer_registry.this, recent)
        self._peer_registry.alive_within_s = (
            peer_registry.RELAYED_ALIVE_WITHIN_S
        )
        if self._overlay.is_mesh:
            self._peer_registry.alive_within_s = peer_registry.ALIVE_WITHIN_S
        self._keep_streams(now_s)

    def _keep_streams(self, now_s: float) -> None:
        alive = set(self._peer_registry.alive(now_s))
        connected = set(self.hub.peers)
        rotation = int(now_s / ROTATION_INTERVAL_S)
        wanted = self._overlay.wanted(connected, alive, rotation)
        if self._overlay.is_relay:
            wanted += self._unreachable_node(rotation)
        if wanted != self._wanted:
            self._wanted = wanted
            self.hub.set_wanted_peers(wanted)
        if self._overlay.may_drop_others(connected, alive):
            self.hub.close_unwanted()
        for node_id in self.hub.peers:
            last_seen_s = self._stream_last_seen_s.get(node_id, now_s)
            if now_s - last_seen_s > STREAM_SILENCE_LIMIT_S:
                self.hub.drop_peer(node_id)

    def _unreachable_node(self, rotation: int) -> tuple[str, ...]:
        """Return a node that was not seen recently, if any, to connect to.

        Without these attempts, two groups of nodes would stay separate
        after a partition.
        """
        recent = {entry.node_id for entry in self._recent}
        unreachable = [
            node_id
            for node_id in self._peer_registry.node_ids
            if node_id not in recent
        ]
        return (
            (unreachable[rotation % len(unreachable)],) if unreachable else ()
        )

    # Sending

    def send_state(self) -> None:
        """Send the states to the peers, and close silent streams."""
        now_s = self._reactor.seconds()
        self._state_sent_s = now_s
        forgotten = self._peer_registry.forget_gone(now_s)
        self._states.forget(forgotten)
        self._update_node_counts()
        self.duty_claims.note(
            self._peer_registry.this.node_id, self._holds_duty(), now_s
        )
        self._states.update_own(self._state(now_s))
        self._scheduler.limits.limiter.mark_reported()
        self._forward_states()
        self.publish(self._scheduler.rollouts.updates(now_s))
        self.publish(self._scheduler.crash_tracker.updates(now_s))
        self.nodes_changed()

    def _update_node_counts(self) -> None:
        now_s = self._reactor.seconds()
        alive = len(self._peer_registry.alive(now_s))
        known = self._peer_registry.node_count(now_s)
        sharing_count = self._peer_registry.sharing_count(now_s)
        try:
            self._scheduler.set_node_counts(alive, known, now_s, sharing_count)
        except sharing.BadCount as problem:
            decision_log.note("nodes", state="refused", detail=str(problem))

    def _forward_states(self) -> None:
        for for_relay in (True, False):
            receivers = [
                node_id
                for node_id in self.hub.peers
                if (node_id in self._overlay.relays) is for_relay
            ]
            pending = self._states.pending(for_relay)
            if receivers:
                self.hub.send_to(receivers, messages.States(pending))
        self._states.mark_sent()

    def send_state_early(self) -> None:
        """Send the states early if much of the shared limits was spent.

        Only in a full mesh: many nodes together always spend much, and
        the relays would do little else than forward their states.
        """
        if (
            not self._overlay.is_mesh
            or not self._scheduler.limits.has_urgent_update
        ):
            return
        if self._reactor.seconds() - self._state_sent_s >= MIN_SEND_INTERVAL_S:
            self.send_state()

    def publish(self, updates: collections.abc.Sequence[facts.Fact]) -> None:
        """Send facts to all peers."""
        if updates:
            self.hub.broadcast(messages.Facts(tuple(updates)), None)

    def _send_rows(self, table: str) -> None:
        """Send new rows to the peers that don't read the store."""
        self._replicator.push(table, self._overlay.relays)

    def _state(self, now_s: float) -> node_states.NodeState:
        self._sequence += 1
        this = self._peer_registry.this
        return node_states.NodeState(
            this.node_id,
            this.started_ms,
            self._sequence,
            {
                endpoint_id: (
                    load.running,
                    load.waiting_tokens,
                    load.suspected,
                )
                for endpoint_id, load in self._scheduler.loads.own_loads(
                    now_s
                ).items()
            },
            self._scheduler.limits.limiter.own_totals,
            self._usage.own,
            self._follower.cache.versions(),
            self._scheduler.old_running(),
            self._holds_duty(),
            self._follower.health.is_failing,
        )

    # hub.HubListener

    def peer_up(self, node_id: str, incarnation: int) -> None:
        now_s = self._reactor.seconds()
        self._stream_last_seen_s[node_id] = now_s
        self._replicator.reset_peer(node_id)
        # Before the states, which a starting node takes callers after.
        self.limits.send_all(node_id, now_s)
        self.crashes.send_all(node_id, now_s)
        self.leaving.send_all(node_id, now_s)
        self.usage_reports.send_all(node_id, now_s)
        decision_log.note("peer", peer=node_id, state="connected")
        known_nodes = [self._peer_registry.this]
        for other in self._peer_registry.node_ids:
            entry = self._peer_registry.get(other)
            if entry is not None:
                known_nodes.append(entry)
        self.hub.send(node_id, messages.Introduction(tuple(known_nodes)))
        self._states.update_own(self._state(now_s))
        is_relay = node_id in self._overlay.relays
        states = self._states.all_states(is_relay)
        self.hub.send(node_id, messages.States(states))
        known_facts = self._scheduler.shared.snapshot()
        if known_facts:
            self.hub.send(node_id, messages.Facts(known_facts))

    def peer_down(self, node_id: str) -> None:
        self._stream_last_seen_s.pop(node_id, None)
        decision_log.note("peer", peer=node_id, state="lost")

    def message_received(
        self, node_id: str, message: messages.Message
    ) -> None:
        now_s = self._reactor.seconds()
        last_seen_s = self._stream_last_seen_s.get(node_id, now_s)
        self._stream_last_seen_s[node_id] = now_s
        if isinstance(message, messages.States):
            for state in message.states:
                self._receive_state(node_id, state, now_s)
            self._replicator.send_missing(node_id)
        elif isinstance(message, messages.Rows):
            self._follower.apply_rows(
                message.table,
                message.rows,
                message.version,
                message.is_whole,
                message.after,
                node_id,
                # It may have been on its way since the message before it.
                last_seen_s - message.age_s,
            )
        elif isinstance(message, messages.Facts):
            self._receive_facts(node_id, message.facts, now_s)
        elif isinstance(message, messages.Introduction):
            self._receive_nodes(node_id, message.nodes, now_s)
        elif isinstance(message, messages.LimitReports):
            self.limits.receive(node_id, message.limits, now_s)
        elif isinstance(message, messages.CrashReports):
            self.crashes.receive(node_id, message.reports, now_s)
        elif isinstance(message, messages.LeavingReports):
            self.leaving.receive(node_id, message.reports, now_s)
        elif isinstance(message, messages.UsageReports):
            self.usage_reports.receive(node_id, message.reports, now_s)
        elif isinstance(
            message, messages.PermitRequest | messages.PermitResponse
        ):
            self._receive_permit_message(node_id, message)

    def _receive_permit_message(
        self,
        node_id: str,
        message: messages.PermitRequest | messages.PermitResponse,
    ) -> None:
        try:
            if isinstance(message, messages.PermitRequest):
                self._permits.receive_request(message)
            else:
                self._permits.receive_response(message)
        except peer_numbers.BadNumber as problem:
            _log_refused(node_id, problem)

    def _receive_facts(
        self,
        node_id: str,
        received: tuple[facts.Fact, ...],
        now_s: float,
    ) -> None:
        merge = self._scheduler.shared.merge
        new_facts = tuple(fact for fact in received if merge(fact, now_s))
        if new_facts and not self._overlay.is_mesh:
            self.hub.broadcast(messages.Facts(new_facts), node_id)

    def _receive_nodes(
        self,
        node_id: str,
        nodes: tuple[peer_registry.NodeEntry, ...],
        now_s: float,
    ) -> None:
        if len(nodes) > sharing.MAX_NODES:
            problem = peer_numbers.BadNumber(f"{len(nodes)} nodes")
            _log_refused(node_id, problem)
            return
        new_nodes = tuple(
            node for node in nodes if self._put_node(node_id, node, now_s)
        )
        if not new_nodes:
            return
        self.nodes_changed()
        if not self._overlay.is_mesh:
            self.hub.broadcast(messages.Introduction(new_nodes), node_id)

    def _put_node(
        self, from_node: str, node: peer_registry.NodeEntry, now_s: float
    ) -> bool:
        """Apply an entry; return whether it is new."""
        try:
            return self._peer_registry.put(node, now_s)
        except peer_numbers.BadNumber as problem:
            _log_refused(from_node, problem)
            return False

    def _receive_state(
        self, from_node: str, state: node_states.NodeState, now_s: float
    ) -> None:
        from_relay = from_node in self._overlay.relays
        try:
            state.check_order(now_s)
        except peer_numbers.BadNumber as problem:
            _log_refused(from_node, problem)
            if from_node == state.node_id:
                # Whatever it says, it is there and uses its part.
                self._peer_registry.note_seen(from_node, now_s)
            return
        if not self._states.update(state, from_relay):
            return
        self._has_heard_state = True
        node_id, incarnation = state.node_id, state.incarnation
        self._peer_registry.note_seen(node_id, now_s)
        try:
            self._scheduler.loads.update_peer(
                node_id, self._reported_loads(node_id), now_s
            )
        except peer_numbers.BadNumber as problem:
            _log_refused(node_id, problem)
        self._scheduler.update_old_running(node_id, state.old_running, now_s)
        try:
            self._scheduler.limits.limiter.update_peer(
                node_id, incarnation, state.spent, now_s
            )
        except peer_numbers.BadNumber as problem:
            _log_refused(node_id, problem)
        self._usage.update_peer(node_id, incarnation, state.usage)
        if state.store_doubted:
            self._follower.health.note_peer_failure()
        elif from_node == node_id:
            self._note_confirmed(state)
        self.duty_claims.note(node_id, state.holds_duty, now_s)

    def _note_confirmed(self, state: node_states.NodeState) -> None:
        """Record the tables of which a relay has no newer rows.

        A node that reads the store itself is confirmed by that alone.
        """
        relays = self._overlay.relays
        if self._overlay.is_relay or state.node_id not in relays:
            return
        known = self._states.get(state.node_id)
        reported = known.versions if known is not None else {}
        for table, version in self._follower.cache.versions().items():
            if reported.get(table, version + 1) <= version:
                self._follower.note_confirmed(table, state.node_id)

    def _reported_loads(self, node_id: str) -> dict[str, loads.ReportedLoad]:
        state = self._states.get(node_id)
        reported = state.loads if state is not None else None
        return {
            endpoint_id: loads.ReportedLoad(running, waiting, bool(suspected))
            for endpoint_id, (running, waiting, suspected) in (
                (reported or {}).items()
            )
        }


def _log_refused(node_id: str, problem: peer_numbers.BadNumber) -> None:
    decision_log.note(
        "peer", peer=node_id, state="refused", detail=str(problem)
    )
