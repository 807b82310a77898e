"""Nodes with real streams and a store, driven through short histories.

All bytes pass through ``history_wires``; the store is ``history_store``.
"""

import random

from twisted.internet import task

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import node_limits
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import usage
from fireflypulley.gateway import follower
from fireflypulley.gateway import peer_sync
from fireflypulley.gateway import permit_broker
from fireflypulley.gateway import row_codec
from fireflypulley.transport import memory

from . import history_endpoints
from . import history_store
from . import history_wires

STEP_S = 0.025
TICK_S = 0.25
APPLY_S = 2.0
"""Bound of the rule: time until an acknowledged change is in force."""
CONTACT_S = 3.0
"""Bound of the rule: time without a fault until a node is in touch."""
DRAIN_S = 2.0
"""Bound of the rule: time until an endpoint that left gets nothing."""
SLOW_STEP_S = 0.4
HISTORY_S = 24.0
QUIET_S = 8.0
CONFIGURATION = "configuration"
DOMAINS = ("a", "b")


class Codec(row_codec.RowCodec):
    """Rows hold a configuration's number, an evacuation or an endpoint."""

    operator_table = history_store.OPERATORS
    endpoint_table = history_store.ENDPOINTS
    status_table = "status"

    def decode_operator_row(self, row):
        if row.key == CONFIGURATION:
            return row_codec.ConfigurationEntry(
                document.Document(int(row.value))
            )
        return row_codec.EvacuationEntry(row.key, row.value is not None)

    def decode_registration(self, row):
        return history_endpoints.registration(row)

    def decode_rollout_status(self, row):
        raise AssertionError("no rollouts here")

    def encode_rollout_status(self, service, target, phase):
        raise AssertionError("no rollouts here")


class Node:
    """A node without callers and endpoints."""

    def __init__(self, wires, store, number, started_ms):
        self.wires = wires
        self.name = f"n{number}"
        self.host = f"127.0.0.{number + 1}"
        self.is_up = True
        self.is_frozen = False
        self.is_slow = False
        self.lag_s = 0.0
        self.when_thawed = []
        self.disturbed_s = wires.clock.seconds()
        self.reactor = history_wires.NodeReactor(wires, self)
        self.entry = peer_registry.NodeEntry(
            self.name, f"{self.host}:1", "a", started_ms
        )
        self.registry = peer_registry.PeerRegistry(self.entry)
        self.scheduler = scheduler.RequestScheduler(
            "a", bounds.SharedBounds(), self.name
        )
        self.link = history_store.StoreLink(store, self)
        self.follower = follower.Follower(
            self.reactor, self.link, Codec(), self.scheduler
        )
        self.memory = memory.MemoryBudget(
            self.reactor, node_limits.NodeLimits().held_bytes
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
            self.memory,
        )
        self.follower.has_relay_feed = lambda: self.sync.has_relay_feed
        self.follower.feeds_others = lambda: self.sync.feeds_others
        self.follower.health.peers_lost_store = lambda: (
            self.sync.peers_lost_store
        )

    def start(self):
        self.sync.start()
        self.follower.start()
        ticking = task.LoopingCall(self._tick)
        ticking.clock = self.reactor
        ticking.start(TICK_S, now=False)

    def _tick(self):
        self.scheduler.fleet.expire(self.reactor.seconds())
        self.sync.send_state()

    def advance(self, seconds):
        """Let time pass; a slow node acts on it now and then only."""
        self.lag_s += seconds
        if self.is_frozen:
            self.lag_s = 0.0
        elif not self.is_slow or self.lag_s >= SLOW_STEP_S:
            passed_s, self.lag_s = self.lag_s, 0.0
            self.reactor.advance(passed_s)
            self.link.changed()

    def may_use(self, endpoint):
        """Return whether a request may go to an endpoint."""
        known = self.scheduler.fleet
        member = known.get(endpoint.endpoint_id)
        now_s = self.reactor.seconds()
        return member is not None and (
            known.is_in_use(member, now_s)
            or known.is_last_resort(member, now_s)
        )

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
        self.wires = history_wires.Wires(self.clock)
        self.store = history_store.Store(self.clock)
        self.findings = []
        self.endpoint_findings = []
        self.log = []
        self.version = 0
        self.starts = 0
        self.store_disturbed_s = float("-inf")
        self.registered = history_endpoints.Endpoints(
            self.store, self.clock, self.rng, self._is_stable, self.note
        )
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
            self._write(CONFIGURATION, b"%d" % self.version)
            self.note(f"configuration {self.version}")
            return
        domain = self.rng.choice(DOMAINS)
        known = self.store.rows.get((history_store.OPERATORS, domain))
        is_active = known is None or known.value is None
        self._write(domain, b"1" if is_active else None)
        self.note(f"evacuation {domain} {is_active}")

    def _write(self, key, value):
        self.store.write(history_store.OPERATORS, (key, value))

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

    def compact_late(self):
        """Hold watches, then drop the history; reads are behind a while."""
        behind_s = self.rng.choice([0.0, 1.0, 3.0])
        self.note(f"hold watches, then compact, reads behind {behind_s}")
        self._disturb_store(1.0 + behind_s)
        self.store.holds_watches = True
        self.clock.callLater(1.0, self._release, behind_s)

    def _release(self, behind_s):
        self.store.holds_watches = False
        self.store.compact()
        self.store.reads_behind_s = behind_s
        for link in list(self.store.links):
            link.end_calls(history_store.RESET)
        self.clock.callLater(
            behind_s, setattr, self.store, "reads_behind_s", 0.0
        )

    def turn_away(self):
        """Let the store turn some nodes away, which stay in touch."""
        share = self.rng.choice([0.4, 0.7, 1.0])
        mode = self.rng.choice(
            [history_store.BUSY, history_store.RESET, history_store.SILENT]
        )
        for_s = self.rng.choice([0.5, 2.0, 5.0, 9.0])
        for node in self.nodes:
            if self.rng.random() < share and not node.link.turned_away:
                self.note(f"turn {node.name} away, {mode} {for_s}")
                node.link.turn_away(mode)
                self.clock.callLater(for_s, node.link.turn_away, "")

    def outage(self):
        """Let the store be away for all, so that entries lapse."""
        if self.store.away:
            return
        mode = self.rng.choice(
            [history_store.BUSY, history_store.RESET, history_store.SILENT]
        )
        for_s = self.rng.choice([1.0, 3.0, 5.0, 8.0])
        self.note(f"store away, {mode} {for_s}")
        self._disturb_store(for_s)
        self.store.turn_away(mode)
        self.registered.store_lost()
        self.clock.callLater(for_s, self._end_outage)

    def _end_outage(self):
        self.note("store is back")
        self.store.turn_away("")
        self.registered.store_back()

    def leave(self):
        """Let endpoints of a service leave, perhaps all."""
        self.registered.leave(self.rng.choice([1, 2, 99, 99]))

    def slow(self):
        """Let a node be slow for a while."""
        node = self.rng.choice(self.nodes)
        for_s = self.rng.choice([1.0, 3.0])
        self.note(f"slow {node.name} {for_s}")
        self._disturb(node, for_s)
        node.is_slow = True
        self.clock.callLater(for_s, setattr, node, "is_slow", False)

    def _disturb_store(self, for_s):
        until_s = self.clock.seconds() + for_s
        self.store_disturbed_s = max(self.store_disturbed_s, until_s)
        for node in self.nodes:
            self._disturb(node, for_s)

    def _is_stable(self):
        return self.clock.seconds() - self.store_disturbed_s > CONTACT_S

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
                node.advance(STEP_S)
            self.wires.deliver()
            if not any(map(self._reaches_store, self.nodes)):
                self._disturb_store(0.0)
            for node in self.nodes:
                self._check(node)

    def _reaches_store(self, node):
        is_served = not (node.link.is_cut or node.link.turned_away)
        is_well = not (node.is_frozen or node.is_slow)
        return is_served and is_well and node.name not in self.wires.cut

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
        is_in_touch = (
            now_s - node.disturbed_s > CONTACT_S and self._is_stable()
        )
        self._check_rows(node, is_in_touch)
        self._check_configuration(node)
        if is_in_touch:
            self._check_endpoints(node)

    def _check_rows(self, node, is_in_touch):
        now_s = self.clock.seconds()
        cache = node.follower.cache
        for (table, key), row in self.store.rows.items():
            claimed = cache.version(table)
            known = cache.get(table, key)
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

    def _check_configuration(self, node):
        config = node.scheduler.document
        known = node.follower.cache.get(history_store.OPERATORS, CONFIGURATION)
        if known and (config is None or config.version != int(known.value)):
            self._find(node, "has a configuration that is not in force")

    def _check_endpoints(self, node):
        """Check that what left gets nothing, and what is there something."""
        now_s = self.clock.seconds()
        for one in self.registered.started:
            is_used = node.may_use(one)
            if one.left_s is None:
                since_s = now_s - (one.registered_s or now_s)
                if since_s > APPLY_S and not is_used:
                    self._find_endpoint(node, one, "not used")
            elif is_used and one.is_binding and now_s - one.left_s > DRAIN_S:
                late_s = now_s - one.left_s
                self._find_endpoint(
                    node, one, f"used {late_s:.2f} s after it left"
                )

    def _find_endpoint(self, node, endpoint, text):
        self._add(
            self.endpoint_findings, node, f"{endpoint.endpoint_id} {text}"
        )

    def _find(self, node, text):
        self._add(self.findings, node, text)

    def _add(self, findings, node, text):
        if len(findings) < 5:
            at_s = self.clock.seconds()
            findings.append(f"{at_s:.2f} {node.name}: {text}")
