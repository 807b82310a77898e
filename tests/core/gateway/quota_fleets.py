"""Nodes that share a workspace's limit, asked beyond it."""

import dataclasses

from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import runs

from . import builders
from . import fleets

RATE_PER_S = 60_000.0
BURST = 85_000.0
OVERSHOOT = 0.1
TOLERANCE = 140_000.0
WINDOW_S = 8.0
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + TOLERANCE
TOKENS = (1_000, 23_000)
EARLY_S = 0.05
WORKSPACE = document.Workspace(
    "w", ("k",), counts_tokens=True, rate_per_s=RATE_PER_S, burst=BURST
)


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """A request that went on to an endpoint."""

    sent_s: float
    admitted_s: float
    tokens: int


class QuotaNode(fleets.Node):
    """A node that admits a workspace's requests."""

    def start(self, now_s, entries, is_first):
        """Start without anything that was admitted before."""
        super().start(now_s, entries, is_first)
        clock_s = now_s + self.clock_offset_s
        self.admitted = []
        self.told_s = float("-inf")
        self.scheduler = builders.a_scheduler(
            limit_overshoot=OVERSHOOT, limit_tolerance=TOLERANCE
        )
        self.scheduler.apply_document(
            builders.a_document(workspaces=[WORKSPACE]), clock_s
        )
        self._count_nodes(clock_s)

    def _count_nodes(self, clock_s):
        alive = len(self.registry.alive(clock_s))
        known = self.registry.node_count(clock_s)
        sharing = self.registry.sharing_count(clock_s)
        self.scheduler.set_node_counts(alive, known, clock_s, sharing)

    def _tick(self, clock_s):
        super()._tick(clock_s)
        self._count_nodes(clock_s)

    def run(self, now_s, chance, is_failing):
        """Read what waits, tick, and tell early what was admitted."""
        is_due = super().run(now_s, chance, is_failing)
        is_urgent = self.scheduler.limits.has_urgent_update
        is_due = is_due or (is_urgent and now_s >= self.told_s + EARLY_S)
        if is_due:
            self.told_s = now_s
            self.scheduler.limits.limiter.mark_reported()
        return is_due

    def _serve(self, sent_s, now_s, chance, is_failing):
        tokens = int(chance.uniform(*TOKENS))
        answer = builders.admitted(
            self.scheduler,
            now_s=now_s + self.clock_offset_s,
            api_key="k",
            prompt_tokens=tokens,
        )
        if not isinstance(answer, runs.Refusal):
            self.admitted.append(Admitted(sent_s, now_s, tokens))

    def state(self):
        """Return the totals that the node tells the others."""
        incarnation = self.registry.this.started_ms
        totals = self.scheduler.limits.limiter.own_totals
        return self.node_id, incarnation, totals

    def _receive(self, state, clock_s):
        node_id, _, _ = state
        self.registry.note_seen(node_id, clock_s)
        self.scheduler.limits.limiter.update_peer(*state, clock_s)


class QuotaFleet(fleets.Fleet):
    """Nodes asked for six times what a workspace may have."""

    node_type = QuotaNode

    def __init__(self, seed, nodes, per_s=30.0):
        self.admitted = []
        super().__init__(seed, nodes, per_s)

    def _run(self, node):
        super()._run(node)
        self.admitted += node.admitted
        node.admitted.clear()

    @property
    def most_in_a_window(self):
        """Return the most tokens that were sent and admitted in a window."""
        return max(
            sum(
                one.tokens
                for one in self.admitted
                if first.sent_s <= one.sent_s
                and one.admitted_s < first.sent_s + WINDOW_S
            )
            for first in self.admitted
        )
