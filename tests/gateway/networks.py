"""Nodes connected by in-memory streams, on one clock."""

import json

from twisted.internet import task

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import usage
from fireflypulley.gateway import follower
from fireflypulley.gateway import peer_sync
from fireflypulley.gateway import permit_broker
from fireflypulley.nodes import codec
from fireflypulley.nodes import messages

DELAY_S = 0.002
TICK_S = 0.25
OPERATORS = "operators"
ENDPOINTS = "endpoints"


class Hub:
    """The streams of one node; a network delivers their messages."""

    def __init__(self, network, node_id, listener):
        self._network = network
        self._node_id = node_id
        self._listener = listener
        self._wanted = ()
        self.dialed = set()
        self.open = set()
        self.messages_sent = 0
        self.bytes_sent = 0

    def start(self):
        pass

    def stop(self):
        for other in list(self.open):
            self._network.close(self._node_id, other)

    @property
    def peers(self):
        return sorted(self.open)

    def peers_with(self, feature):
        return self.peers

    def set_wanted_peers(self, node_ids):
        self._wanted = node_ids
        self.dial_missing()

    def dial_missing(self):
        for other in self._wanted:
            if other not in self.open:
                self._network.dial(self._node_id, other)

    def close_unwanted(self):
        for other in list(self.open & self.dialed):
            if other not in self._wanted:
                self._network.close(self._node_id, other)

    def drop_peer(self, node_id):
        self._network.close(self._node_id, node_id)

    def send(self, node_id, message):
        self.send_to([node_id], message)

    def send_to(self, node_ids, message):
        data = codec.encode(message)
        for node_id in node_ids:
            self.messages_sent += 1
            self.bytes_sent += len(data)
            self._network.deliver_later(self._node_id, node_id, data)

    def broadcast(self, message, except_node):
        self.send_to(
            [peer for peer in self.peers if peer != except_node], message
        )

    def up(self, other):
        self.open.add(other)
        self._listener.peer_up(other, 1)

    def down(self, other):
        self.open.discard(other)
        self.dialed.discard(other)
        self._listener.peer_down(other)

    def deliver(self, other, data):
        for message in codec.Reader(codec.MAX_MESSAGE_BYTES).feed(data):
            self._listener.message_received(other, message)


class RowCodec:
    """Names the tables; the nodes under test decode no rows."""

    operator_table = OPERATORS
    endpoint_table = ENDPOINTS

    def decode_operator_row(self, row):
        raise AssertionError("not used here")

    def decode_registration(self, row):
        raise AssertionError("not used here")


class Node:
    """A node without callers and endpoints."""

    def __init__(self, network, node_id, started_ms=1):
        self.network = network
        self.clock = network.clock
        self.node_id = node_id
        entry = peer_registry.NodeEntry(
            node_id, f"{node_id}:1", "a", started_ms
        )
        self.entry = entry
        self.peer_registry = peer_registry.PeerRegistry(entry)
        limits = bounds.SharedBounds(limit_tolerance=1000.0)
        self.scheduler = scheduler.RequestScheduler("a", limits, node_id)
        workspaces = (
            document.Workspace("w", (), rate_per_s=100.0, burst=400.0),
        )
        self.scheduler.limits.apply(workspaces, 1.0, 0.0)
        self.usage = usage.UsageCounts(5.0)
        self.follower = follower.Follower(
            network.clock, None, RowCodec(), self.scheduler
        )
        self.applied_rows = []
        self.follower._apply = self.applied_rows.append
        self.holds = False
        self.permits = permit_broker.PermitBroker(
            network.clock, self.scheduler, lambda: 1 if self.holds else None
        )
        self.peer_sync = peer_sync.PeerSync(
            network.clock,
            self.peer_registry,
            b"key",
            self.scheduler,
            self.usage,
            self.follower,
            lambda: self.holds,
            self.permits,
        )
        self.hub = Hub(network, node_id, self.peer_sync)
        self.peer_sync.hub = self.peer_sync._replicator._hub = self.hub
        self.peer_sync.limits._hub = self.permits._links._hub = self.hub
        self.peer_sync.crashes._hub = self.hub
        self.peer_sync.leaving._hub = self.hub
        self.peer_sync.usage_reports._hub = self.hub
        self.ticking = task.LoopingCall(self._tick)
        self.ticking.clock = network.clock

    def _tick(self):
        self.hub.dial_missing()
        self.peer_sync.send_state()

    def start(self):
        self.peer_sync.start()
        self.ticking.start(TICK_S)

    def read_row(self, version):
        """Apply a row as if it had been read from the store."""
        row = rows.FollowedRow(OPERATORS, "k", version, json.dumps(1).encode())
        self.follower.apply_rows(
            OPERATORS, (row,), version, version == 1, version - 1
        )

    @property
    def alive(self):
        return self.peer_registry.alive(self.clock.seconds())


class Network:
    """Delivers messages between nodes that are not partitioned."""

    def __init__(self, count, delay_s=DELAY_S):
        self.clock = task.Clock()
        self.delay_s = delay_s
        self.is_partitioned = lambda source, target: False
        self.nodes = {}
        for number in range(count):
            self.add(f"n{number:03}")

    def add(self, node_id, started_ms=1):
        node = Node(self, node_id, started_ms)
        for other in self.nodes.values():
            node.peer_registry.put(other.entry, self.clock.seconds())
            other.peer_registry.put(node.entry, self.clock.seconds())
        self.nodes[node_id] = node
        return node

    def start(self):
        for node in self.nodes.values():
            node.start()

    def kill(self, node_id):
        node = self.nodes.pop(node_id)
        node.ticking.stop()
        for other in list(node.hub.open):
            self.close(node_id, other)

    def run(self, seconds, step_s=0.05):
        for _ in range(round(seconds / step_s)):
            self.clock.advance(step_s)

    def _can_reach(self, source, target):
        both = source in self.nodes and target in self.nodes
        return both and not self.is_partitioned(source, target)

    def dial(self, source, target):
        if not self._can_reach(source, target):
            return
        self.clock.callLater(self.delay_s, self._connected, source, target)

    def _connected(self, source, target):
        if (
            not self._can_reach(source, target)
            or target in self.nodes[source].hub.open
        ):
            return
        self.nodes[source].hub.dialed.add(target)
        self.nodes[source].hub.up(target)
        self.nodes[target].hub.up(source)

    def close(self, source, target):
        for this, peer in ((source, target), (target, source)):
            node = self.nodes.get(this)
            if node is not None and peer in node.hub.open:
                node.hub.down(peer)

    def deliver_later(self, source, target, data):
        if self._can_reach(source, target):
            self.clock.callLater(
                self.delay_s, self._arrived, source, target, data
            )

    def _arrived(self, source, target, data):
        if (
            self._can_reach(source, target)
            and source in self.nodes[target].hub.open
        ):
            self.nodes[target].hub.deliver(source, data)


def states_in(data):
    """Return the states of an encoded message, if it holds any."""
    (message,) = codec.Reader(codec.MAX_MESSAGE_BYTES).feed(data)
    return message.states if isinstance(message, messages.States) else ()
