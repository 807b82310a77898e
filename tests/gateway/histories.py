"""Nodes with real streams and a store, driven through short histories.

All bytes pass through ``Wires``, which may cut, silence or close them.
Each node has a clock of its own, so that it can stand still.
"""

import dataclasses
import random

from twisted.internet import address
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import row_versions
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import usage
from fireflypulley.gateway import follower
from fireflypulley.gateway import peer_sync
from fireflypulley.gateway import permit_broker
from fireflypulley.gateway import row_codec
from fireflypulley.platform import base
from fireflypulley.platform import http_client
from fireflypulley.transport import sockets

STEP_S = 0.025
TICK_S = 0.25
DELAY_S = 0.002
APPLY_S = 2.0
"""Bound of the rule: time until an acknowledged change is in force."""
CONTACT_S = 3.0
"""Bound of the rule: time without a fault until a node is in touch."""
HISTORY_S = 24.0
QUIET_S = 8.0
OPERATORS = "operators"
ENDPOINTS = "endpoints"
CONFIGURATION = "configuration"
DOMAINS = ("a", "b")


class Codec(row_codec.RowCodec):
    """Rows hold the number of a configuration, or an evacuation."""

    operator_table = OPERATORS
    endpoint_table = ENDPOINTS
    status_table = "status"

    def decode_operator_row(self, row):
        if row.key == CONFIGURATION:
            return row_codec.ConfigurationEntry(
                document.Document(int(row.value))
            )
        return row_codec.EvacuationEntry(row.key, row.value is not None)

    def decode_registration(self, row):
        raise AssertionError("no endpoints here")

    def decode_rollout_status(self, row):
        raise AssertionError("no rollouts here")

    def encode_rollout_status(self, service, target, phase):
        raise AssertionError("no rollouts here")


class _Handle:
    """Accepts the options of a socket."""

    def setsockopt(self, *option):
        pass


@dataclasses.dataclass(eq=False)
class _End:
    """One end of a connection between two nodes, as a transport."""

    wires: "Wires"
    node: "Node"
    protocol: object = None
    other: "_End | None" = None
    is_open: bool = True
    is_silent: bool = False
    is_finished: bool = False
    unread: list = dataclasses.field(default_factory=list)
    unsent_since_s: float | None = None

    def write(self, data):
        if self.is_open:
            self.wires.send(self, data)

    def abortConnection(self):
        self.wires.abort(self)

    def loseConnection(self):
        self.wires.close(self)

    def registerProducer(self, producer, streaming):
        """Do nothing: nothing waits here, so that no producer is stopped."""

    def unregisterProducer(self):
        pass

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return _Handle()

    def getPeer(self):
        return address.IPv4Address("TCP", self.other.node.host, 1)

    getHost = getPeer


class _NodeReactor(task.Clock):
    """The clock and the connections of one node."""

    def __init__(self, wires, node):
        super().__init__()
        self._wires = wires
        self._node = node

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        connector = _Connector(host, port)
        factory.startedConnecting(connector)
        self._wires.connect(self._node, connector, factory, timeout)
        return connector


class _Connector:
    def __init__(self, host, port):
        self.host = host
        self.port = port
        self.is_stopped = False
        self.is_connected = False

    def getDestination(self):
        return address.IPv4Address("TCP", self.host, self.port)

    def stopConnecting(self):
        self.is_stopped = True


class Wires:
    """The network between the nodes."""

    def __init__(self, clock):
        self.clock = clock
        self.nodes = {}
        self.cut = set()
        self.ends = []

    def _reaches(self, node, other):
        return (
            node.is_up
            and other.is_up
            and not self.cut & {node.name, other.name}
            and (node.name, other.name) not in self.cut
            and (other.name, node.name) not in self.cut
        )

    def connect(self, node, connector, factory, timeout_s):
        self.clock.callLater(
            DELAY_S, self._connect, node, connector, factory, timeout_s
        )
        node.reactor.callLater(timeout_s, self._give_up, connector, factory)

    def _give_up(self, connector, factory):
        if not connector.is_connected:
            connector.is_stopped = True
            reason = failure.Failure(error.TimeoutError())
            factory.clientConnectionFailed(connector, reason)

    def _connect(self, node, connector, factory, timeout_s):
        other = self._listening(connector.host)
        if connector.is_stopped or not node.is_up:
            return
        if other is None or not self._reaches(node, other):
            return
        if other.is_frozen:
            other.when_thawed.append(
                lambda: self._connect(node, connector, factory, timeout_s)
            )
            return
        connector.is_connected = True
        here, there = _End(self, node), _End(self, other)
        here.other, there.other = there, here
        self.ends += [here, there]
        there.protocol = other.server_factory().buildProtocol(None)
        here.protocol = factory.buildProtocol(None)
        there.protocol.makeConnection(there)
        here.protocol.makeConnection(here)

    def _listening(self, host):
        for node in self.nodes.values():
            if node.host == host and node.is_up:
                return node
        return None

    def send(self, end, data):
        end.other.unread.append((self.clock.seconds() + DELAY_S, data))
        if end.unsent_since_s is None:
            end.unsent_since_s = self.clock.seconds()

    def abort(self, end):
        """Close an end; the other one learns of it if it can be reached."""
        if not end.is_open:
            return
        end.is_open = False
        end.node.reactor.callLater(0, self._lose, end, error.ConnectionAborted)
        if self._is_passable(end):
            self.clock.callLater(DELAY_S, self._reset, end.other)

    def close(self, end):
        """Close an end in order, after what it has sent."""
        if not end.is_open:
            return
        end.is_open = False
        end.is_finished = True
        end.node.reactor.callLater(0, self._lose, end, error.ConnectionDone)
        self.clock.callLater(2 * DELAY_S, self._finish, end.other)

    def _finish(self, end):
        if end.is_open and end.node.is_up:
            while end.unread:
                end.protocol.dataReceived(end.unread.pop(0)[1])
            end.is_open = False
            self._lose(end, error.ConnectionDone)

    def _is_passable(self, end):
        is_silent = end.is_silent or end.other.is_silent
        return not is_silent and self._reaches(end.node, end.other.node)

    def _reset(self, end):
        if end.is_open and end.node.is_up:
            end.is_open = False
            end.node.reactor.callLater(
                0, self._lose, end, error.ConnectionLost
            )

    def _lose(self, end, reason):
        if end in self.ends:
            self.ends.remove(end)
        end.protocol.connectionLost(failure.Failure(reason()))

    def deliver(self):
        """Deliver what may arrive, and end what stays unacknowledged."""
        now_s = self.clock.seconds()
        for end in list(self.ends):
            source = end.other
            if source.is_open and self._is_passable(source):
                self._read(end, source, now_s)
            waited_s = now_s - (source.unsent_since_s or now_s)
            if waited_s > sockets.USER_TIMEOUT_MS / 1000:
                self._time_out(source)
        for end in list(self.ends):
            # The peer's process is gone; its system answers with a reset.
            is_reset = not (end.other.is_open or end.other.is_finished)
            if is_reset and self._is_passable(end):
                self._reset(end)

    def _read(self, end, source, now_s):
        source.unsent_since_s = None
        if end.node.is_frozen:
            return
        while end.is_open and end.unread and end.unread[0][0] <= now_s:
            _, data = end.unread.pop(0)
            end.protocol.dataReceived(data)

    def _time_out(self, end):
        if end.is_open and not end.node.is_frozen:
            end.is_open = False
            end.node.reactor.callLater(0, self._lose, end, error.TimeoutError)

    def stop_node(self, node):
        """Lose all connections of a node, whose process is gone."""
        for end in list(self.ends):
            if end.node is node:
                self.ends.remove(end)
                end.is_open = False

    def silence(self, rng, share):
        """Let a share of the open connections go silent for good."""
        for end in self.ends:
            if rng.random() < share:
                end.is_silent = True


class Store:
    """The rows of the store, and its watches."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.number = 0
        self.rows = {}
        self.history = []
        self.acknowledged_s = {}
        self.links = []
        self.compacted = 0

    @property
    def version(self):
        return row_versions.join(self.era, self.number)

    def write(self, key, value):
        self.number += 1
        row = rows.FollowedRow(OPERATORS, key, self.version, value)
        self.rows[key] = row
        self.history.append(row)
        self.acknowledged_s[row.version] = self.clock.seconds()
        for link in list(self.links):
            link.changed()

    def compact(self):
        self.history.clear()
        self.compacted = self.version

    def since(self, after):
        """Return the changed rows, or None if the history is gone."""
        if not self.compacted <= after <= self.version:
            return None
        newest = {row.key: row for row in self.history if row.version > after}
        return tuple(sorted(newest.values(), key=lambda row: row.version))

    def present(self):
        return tuple(r for r in self.rows.values() if r.value is not None)


class StoreLink(base.ControlStore):
    """The calls of one node to the store."""

    def __init__(self, store, node):
        self._store = store
        self._node = node
        self._calls = []
        self.is_cut = False
        store.links.append(self)

    async def read(self, table):
        return await self._call(None, 0.0, http_client.TIMEOUT_S)

    async def watch(self, table, after, wait_s):
        return await self._call(after, wait_s, base.watch_timeout_s(wait_s))

    async def transact(self, writes):
        raise base.Unavailable("no writes here")

    def _call(self, after, wait_s, timeout_s):
        answer = defer.Deferred()
        now_s = self._node.reactor.seconds()
        call = _Call(answer, after, now_s + wait_s, False)
        self._calls.append(call)
        timer = self._node.reactor.callLater(timeout_s, self._fail, call)
        answer.addBoth(_cancel, timer)
        self._node.reactor.callLater(DELAY_S, self.changed)
        return answer

    def _fail(self, call):
        if call in self._calls:
            self._calls.remove(call)
            call.answer.errback(base.Unavailable("no answer"))

    def silence(self):
        """Let the open connections go silent for good."""
        for call in self._calls:
            call.is_silent = True
            self._node.reactor.callLater(
                sockets.SILENCE_DETECTED_S, self._lose, call
            )

    def _lose(self, call):
        if call.is_silent:
            self._fail(call)

    def stop(self):
        self._store.links.remove(self)
        self._calls.clear()

    def changed(self):
        """Answer the calls that can be answered."""
        now_s = self._node.reactor.seconds()
        if self.is_cut or self._node.is_frozen or not self._node.is_up:
            return
        for call in list(self._calls):
            if call in self._calls and not call.is_silent:
                self._try(call, now_s)

    def _try(self, call, now_s):
        store = self._store
        if call.after is None:
            found = store.present()
        else:
            found = store.since(call.after)
            if found == () and now_s < call.until_s:
                return
        self._calls.remove(call)
        if found is None:
            call.answer.errback(base.HistoryLost("watch"))
            return
        snapshot = base.Snapshot(store.version, found)
        self._node.reactor.callLater(DELAY_S, call.answer.callback, snapshot)


@dataclasses.dataclass(eq=False)
class _Call:
    answer: defer.Deferred
    after: int | None
    until_s: float
    is_silent: bool


def _cancel(result, timer):
    if timer.active():
        timer.cancel()
    return result


class Node:
    """A node without callers and endpoints."""

    def __init__(self, wires, store, number, started_ms):
        self.wires = wires
        self.name = f"n{number}"
        self.host = f"127.0.0.{number + 1}"
        self.is_up = True
        self.is_frozen = False
        self.when_thawed = []
        self.disturbed_s = wires.clock.seconds()
        self.reactor = _NodeReactor(wires, self)
        self.entry = peer_registry.NodeEntry(
            self.name, f"{self.host}:1", "a", started_ms
        )
        self.registry = peer_registry.PeerRegistry(self.entry)
        self.scheduler = scheduler.RequestScheduler(
            "a", bounds.SharedBounds(), self.name
        )
        self.link = StoreLink(store, self)
        self.follower = follower.Follower(
            self.reactor, self.link, Codec(), self.scheduler
        )
        self.sync = peer_sync.PeerSync(
            self.reactor,
            self.registry,
            b"key",
            self.scheduler,
            usage.UsageCounts(5.0),
            self.follower,
            lambda: False,
            permit_broker.PermitBroker(
                self.reactor, self.scheduler, lambda: None
            ),
        )
        self.follower.has_relay_feed = lambda: self.sync.has_relay_feed
        self.follower.feeds_others = lambda: self.sync.feeds_others
        self.follower.peers_lost_store = lambda: self.sync.peers_lost_store

    def start(self):
        self.sync.start()
        self.follower.start()
        ticking = task.LoopingCall(self.sync.send_state)
        ticking.clock = self.reactor
        ticking.start(TICK_S, now=False)

    def server_factory(self):
        return self.sync.hub.server_factory()

    def stop(self):
        self.is_up = False
        self.link.stop()
        self.wires.stop_node(self)

    def thaw(self):
        self.is_frozen = False
        waiting, self.when_thawed = self.when_thawed, []
        for call in waiting:
            call()


class System:
    """Nodes and a store, and what went wrong with them."""

    def __init__(self, seed, node_count):
        self.rng = random.Random(seed)
        self.clock = task.Clock()
        self.wires = Wires(self.clock)
        self.store = Store(self.clock)
        self.findings = []
        self.log = []
        self.version = 0
        self.starts = 0
        for number in range(node_count):
            self.start_node(number)
        for node in self.nodes:
            node.start()

    @property
    def nodes(self):
        return list(self.wires.nodes.values())

    def start_node(self, number):
        self.starts += 1
        node = Node(self.wires, self.store, number, self.starts)
        for other in self.nodes:
            if other.name != node.name:
                other.registry.put(node.entry, other.reactor.seconds())
                node.registry.put(other.entry, 0.0)
        self.wires.nodes[node.name] = node
        return node

    # What happens

    def change(self):
        """Write as the operator."""
        if self.rng.random() < 0.7:
            self.version += self.rng.randint(1, 3)
            self.store.write(CONFIGURATION, b"%d" % self.version)
            self.note(f"configuration {self.version}")
            return
        domain = self.rng.choice(DOMAINS)
        known = self.store.rows.get(domain)
        is_active = known is None or known.value is None
        self.store.write(domain, b"1" if is_active else None)
        self.note(f"evacuation {domain} {is_active}")

    def restart(self):
        """Kill a node; another process starts in its place."""
        node = self.rng.choice(self.nodes)
        number = int(node.name[1:])
        node.stop()
        del self.wires.nodes[node.name]
        self.note(f"kill {node.name}")
        down_s = self.rng.choice([0.1, 0.6, 2.0])
        self.clock.callLater(down_s, lambda: self.start_node(number).start())

    def freeze(self):
        """Stop a node for a while."""
        node = self.rng.choice(self.nodes)
        if not node.is_frozen:
            for_s = self.rng.choice([0.5, 1.5, 2.5, 4.0])
            self.note(f"freeze {node.name} {for_s}")
            self._disturb(node, for_s)
            node.is_frozen = True
            self.clock.callLater(for_s, node.thaw)

    def cut_store(self):
        """Cut a node from the store for a while."""
        node = self.rng.choice(self.nodes)
        for_s = self.rng.choice([0.5, 1.5, 3.0, 6.0])
        self.note(f"cut {node.name} from the store {for_s}")
        self._disturb(node, for_s)
        node.link.is_cut = True
        self.clock.callLater(for_s, setattr, node.link, "is_cut", False)

    def cut_stores(self):
        """Cut most nodes from the store at once for a while."""
        for_s = self.rng.choice([0.5, 1.5, 3.0, 6.0])
        for node in self.nodes:
            if self.rng.random() < 0.7:
                self.note(f"cut {node.name} from the store {for_s}")
                self._disturb(node, for_s)
                node.link.is_cut = True
                self.clock.callLater(
                    for_s, setattr, node.link, "is_cut", False
                )

    def cut_node(self):
        """Cut a node from all others, and perhaps from the store."""
        node = self.rng.choice(self.nodes)
        for_s = self.rng.choice([0.5, 1.5, 2.2, 3.0, 5.0])
        with_store = self.rng.random() < 0.5
        self.note(f"cut {node.name} {for_s} with store: {with_store}")
        self._disturb(node, for_s)
        self.wires.cut.add(node.name)
        self.clock.callLater(for_s, self.wires.cut.discard, node.name)
        if with_store:
            node.link.is_cut = True
            self.clock.callLater(for_s, setattr, node.link, "is_cut", False)

    def silence(self):
        """Let open connections go silent, which counts as their reset."""
        share = self.rng.choice([0.3, 0.6, 1.0])
        self.note(f"silence {share}")
        self.wires.silence(self.rng, share)
        for node in self.nodes:
            self._disturb(node, 0.0)
            if self.rng.random() < share:
                node.link.silence()

    def compact(self):
        """Drop the history of the store."""
        self.note("compact")
        self.store.compact()

    def _disturb(self, node, for_s):
        until_s = self.clock.seconds() + for_s
        node.disturbed_s = max(node.disturbed_s, until_s)

    def note(self, text):
        self.log.append(f"{self.clock.seconds():.2f} {text}")

    # Time and checks

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for node in self.nodes:
                if not node.is_frozen:
                    node.reactor.advance(STEP_S)
                    node.link.changed()
            self.wires.deliver()
            for node in self.nodes:
                self._check(node)

    def play(self, kinds):
        """Play a history of changes and faults, then a quiet time."""
        self.run(2.0)
        ends_s = self.clock.seconds() + HISTORY_S
        while self.clock.seconds() < ends_s:
            self.run(self.rng.choice([0.05, 0.1, 0.4, 1.0, 2.0]))
            for _ in range(self.rng.choice([0, 1, 1, 2])):
                self.change()
            if self.rng.random() < 0.6 and self.nodes:
                getattr(self, self.rng.choice(kinds))()
        self.run(QUIET_S)

    def _check(self, node):
        now_s = self.clock.seconds()
        cache = node.follower.cache
        claimed = cache.version(OPERATORS)
        is_in_touch = now_s - node.disturbed_s > CONTACT_S
        for key, row in self.store.rows.items():
            known = cache.get(OPERATORS, key)
            known_version = known.version if known else 0
            if known_version >= row.version:
                continue
            if row.value is None and (known is None or known.value is None):
                continue
            if row.version <= claimed:
                self._find(node, f"claims {claimed}, lacks {key}")
            age_s = now_s - self.store.acknowledged_s[row.version]
            if is_in_touch and age_s > APPLY_S:
                self._find(node, f"lacks {key} after {age_s:.1f} s")
        config = node.scheduler.document
        known = cache.get(OPERATORS, CONFIGURATION)
        if known and (config is None or config.version != int(known.value)):
            self._find(node, "has a configuration that is not in force")

    def _find(self, node, text):
        if len(self.findings) < 5:
            at_s = self.clock.seconds()
            self.findings.append(f"{at_s:.2f} {node.name}: {text}")
