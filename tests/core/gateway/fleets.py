"""A model of nodes that share bounds, with faults drawn by chance."""

import bisect
import random

from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import sharing

STEP_S = 0.01
TICK_S = 0.25
RATIO = 0.2
SLACK = 20.0
WINDOW_S = 10.0
BACKS_S = (0.0, WINDOW_S / 2, WINDOW_S)
"""How long before a window those begin in which its requests count."""
MOMENT_S = 1e-6
"""Less than the time between two events."""
ATTEMPTS = 3


def _entry(node_id, started_s):
    started_ms = round(started_s * 1000) + 1
    return peer_registry.NodeEntry(node_id, f"{node_id}:1", "a", started_ms)


class Node:
    """A node: what it counts, what waits for it, what it has under way."""

    def __init__(self, node_id):
        self.node_id = node_id
        self.thaws_s = 0.0
        self.clock_offset_s = 0.0
        self.waiting = []
        self.under_way_s = []
        self.heard = []
        self.started_s = float("-inf")

    def start(self, now_s, entries, is_first):
        """Start, or start anew without anything that was known."""
        self.waiting.clear()
        self.heard.clear()
        self.under_way_s.clear()
        self.next_tick_s = now_s
        self.is_first = is_first
        previous_s = self.started_s
        self.started_s = now_s + self.clock_offset_s
        self.sharing = sharing.SharingNodes()
        self.sharing.begin()
        self.is_joined = False
        self.registry = peer_registry.PeerRegistry(_entry(self.node_id, now_s))
        clock_s = now_s + self.clock_offset_s
        for entry in entries:
            self.registry.put(entry, clock_s)
        self.budget = limits.RetryBudget(RATIO, SLACK, WINDOW_S)
        self.budget.begin(clock_s, is_first, previous_s)

    def freeze(self, now_s, for_s):
        """Stand still; what is under way arrives afterwards."""
        self.thaws_s = max(self.thaws_s, now_s + for_s)

    def run(self, now_s, chance, is_failing):
        """Read what waits, then tick."""
        clock_s = now_s + self.clock_offset_s
        for sent_s in self.waiting:
            self._serve(sent_s, now_s, chance, is_failing)
        self.waiting.clear()
        for state in self.heard:
            self._receive(state, clock_s)
        self.heard.clear()
        if now_s < self.next_tick_s:
            return False
        self.next_tick_s = now_s + TICK_S
        self.registry.forget_gone(clock_s)
        self._tick(clock_s)
        if not self.is_joined:
            self.is_joined = True
            self.sharing.join(self.started_s, self.is_first, clock_s)
        return True

    def _serve(self, sent_s, now_s, chance, is_failing):
        clock_s = now_s + self.clock_offset_s
        self.budget.note_request("s", clock_s)
        if is_failing:
            self._retry(now_s, clock_s, chance)

    def _tick(self, clock_s):
        self.budget.tick(clock_s)
        self.sharing.note(self.registry.sharing_count(clock_s), clock_s)

    def state(self):
        """Return what the node tells the others."""
        return self.node_id

    def _receive(self, state, clock_s):
        self.registry.note_seen(state, clock_s)

    def _retry(self, now_s, clock_s, chance):
        for _ in range(ATTEMPTS - 1):
            count = self.sharing.count(clock_s)
            if self.budget.spend("s", count, clock_s):
                self.under_way_s.append(now_s + chance.random() * 0.05)


class Fleet:
    """Nodes whose endpoints fail all, asked by callers at a rate."""

    node_type = Node

    def __init__(self, seed, nodes, per_s):
        self.chance = random.Random(seed)
        self.now_s = 0.0
        self.per_s = per_s
        self.sent_s = []
        self.retries_s = []
        self.nodes = [self.node_type(f"n{number}") for number in range(nodes)]
        self.weights = [1.0] * nodes
        self.cuts = []
        self.fails_from_s = 0.0
        entries = [_entry(node.node_id, 0.0) for node in self.nodes]
        for node in self.nodes:
            node.start(0.0, entries, True)

    def play(self, for_s):
        """Let time pass."""
        until_s = self.now_s + for_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._send()
            for node in self.nodes:
                if node.thaws_s <= self.now_s:
                    self._run(node)

    def _send(self):
        if self.chance.random() < self.per_s * STEP_S:
            self.sent_s.append(self.now_s)
            chosen = self.chance.choices(self.nodes, self.weights)[0]
            chosen.waiting.append(self.now_s)

    def _run(self, node):
        arrived = [one for one in node.under_way_s if one <= self.now_s]
        for one in arrived:
            node.under_way_s.remove(one)
            self._arrive(one)
        is_failing = self.now_s >= self.fails_from_s
        if not node.run(self.now_s, self.chance, is_failing):
            return
        for other in self.nodes:
            if other is not node and not self._is_cut(node, other):
                other.heard.append(node.state())

    def _arrive(self, due_s):
        self.retries_s.append(self.now_s)

    def _is_cut(self, sender, receiver):
        self.cuts = [cut for cut in self.cuts if cut[0] > self.now_s]
        return any(
            sender in senders and receiver in receivers
            for _, senders, receivers in self.cuts
        )

    def cut(self, some, for_s, both_ways=True):
        """Let nothing pass from some nodes to the others."""
        others = [node for node in self.nodes if node not in some]
        until_s = self.now_s + for_s
        self.cuts.append((until_s, some, others))
        if both_ways:
            self.cuts.append((until_s, others, some))

    def restart(self, node):
        """Kill a node and start it anew."""
        entries = [
            other.registry.this for other in self.nodes if other is not node
        ]
        node.start(self.now_s, entries, False)

    def replace(self, node):
        """Kill a node, and start one that nobody knows."""
        node.node_id = f"n{self.now_s:.2f}"
        self.restart(node)
        for other in self.nodes:
            clock_s = self.now_s + other.clock_offset_s
            other.registry.put(node.registry.this, clock_s)

    def excess(self):
        """Return by how much the worst window lies beyond its bound."""
        return max(map(self._excess, self._worst_from_s()), default=-SLACK)

    def _worst_from_s(self):
        """Return where a window may begin that is worse than those near it.

        It has one retry more as it ends, or begins with a retry, or one of
        the windows in which requests count has just lost one.
        """
        yield from self.retries_s
        for time_s in self.retries_s:
            yield time_s - WINDOW_S + MOMENT_S
        for back_s in BACKS_S:
            for time_s in self.sent_s:
                yield time_s + back_s + MOMENT_S

    def _excess(self, from_s):
        retries = _count(self.retries_s, from_s)
        requests = max(
            _count(self.sent_s, from_s - back_s) for back_s in BACKS_S
        )
        return retries - SLACK - RATIO * requests


def _count(times_s, from_s):
    first = bisect.bisect_left(times_s, from_s)
    return bisect.bisect_left(times_s, from_s + WINDOW_S) - first
