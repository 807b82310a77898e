"""Load and health of one endpoint."""

import dataclasses

UNRESPONSIVE_AFTER_S = 0.6
"""A busy engine emits events far more often than this."""
SUSPICION_BACKOFF_S = 1.0
FAILURES_BEFORE_SUSPICION = 2
PEER_LOAD_TTL_S = 2.0
MAX_SUSPICION_BACKOFF_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """A node's own load on one endpoint, as reported to its peers."""

    running: int
    waiting_tokens: int
    suspected: bool = False


NO_LOAD = ReportedLoad(0, 0)

MAX_PAUSE_S = 60.0
"""An endpoint that asks for more is tried again after this time."""


@dataclasses.dataclass(slots=True)
class EndpointLoad:
    """One endpoint's load and health.

    ``waiting_tokens`` are the prompt tokens of requests that have not had
    their first event.  ``unanswered_since_s`` is the time of the last
    activity while requests are running, else None.  Of ``held`` running
    requests this node reads nothing, since their callers read too slowly;
    they don't count as unanswered.  An endpoint that
    ``is_unreachable`` stays suspected until a connection to it succeeds
    or it answers in full.  Until ``paused_until_s`` it wants no requests
    from this node, as it has said itself.
    """

    running: int = 0
    held: int = 0
    waiting_tokens: int = 0
    unanswered_since_s: float | None = None
    suspected_until_s: float = 0.0
    failures: int = 0
    is_unreachable: bool = False
    full_until_s: float = 0.0
    paused_until_s: float = 0.0
    latency_ratio: float = 1.0
    peers: dict[str, tuple[ReportedLoad, float]] = dataclasses.field(
        default_factory=dict
    )

    def begin(self, tokens: int, now_s: float) -> None:
        """Count a request that is being sent."""
        self.running += 1
        self.waiting_tokens += tokens
        if self.unanswered_since_s is None:
            self.unanswered_since_s = now_s

    def pause(self, pause_s: float, now_s: float) -> None:
        """Record that the endpoint wants no requests for a time."""
        until_s = now_s + min(pause_s, MAX_PAUSE_S)
        self.paused_until_s = max(self.paused_until_s, until_s)

    def note_activity(self, now_s: float) -> None:
        """Record that bytes arrived from the endpoint."""
        self.unanswered_since_s = now_s if self._is_read else None

    @property
    def _is_read(self) -> bool:
        """Return whether this node reads the answer to any request."""
        return self.running > self.held

    def hold(self) -> None:
        """Record that this node stops to read one of the answers."""
        self.held += 1
        if not self._is_read:
            self.unanswered_since_s = None

    def release(self, now_s: float) -> None:
        """Record that this node reads an answer again."""
        self.held = max(0, self.held - 1)
        if self.unanswered_since_s is None and self._is_read:
            self.unanswered_since_s = now_s

    def note_first_event(self, tokens: int) -> None:
        """Subtract the prompt tokens of a request at its first event."""
        self.waiting_tokens = max(0, self.waiting_tokens - tokens)

    def end(self, is_held: bool = False) -> None:
        """Count the end of a request, held or not."""
        self.running = max(0, self.running - 1)
        if is_held:
            self.held = max(0, self.held - 1)
        if not self._is_read:
            self.unanswered_since_s = None
        if not self.running:
            self.waiting_tokens = 0

    def succeeded(self) -> None:
        """Record a complete answer."""
        self.failures = 0
        self.is_unreachable = False
        self.suspected_until_s = 0.0

    def is_probe_due(self, now_s: float) -> bool:
        """Return whether it is time to probe with a connection."""
        return self.is_unreachable and now_s >= self.suspected_until_s

    def note_probe(self, reached: bool, now_s: float) -> None:
        """Record whether a probe could open a connection."""
        if reached:
            self.is_unreachable = False
        else:
            self.failed(True, now_s)

    def failed(self, lost: bool, now_s: float) -> None:
        """Count a failure; ``lost`` if the endpoint seems unreachable."""
        self.failures += 1
        self.is_unreachable = self.is_unreachable or lost
        if lost or self.failures >= FAILURES_BEFORE_SUSPICION:
            backoff_s = SUSPICION_BACKOFF_S * self.failures
            self.suspected_until_s = now_s + min(
                MAX_SUSPICION_BACKOFF_S, backoff_s
            )

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether running requests had no activity for too long."""
        if self.unanswered_since_s is None:
            return False
        return now_s - self.unanswered_since_s > UNRESPONSIVE_AFTER_S

    def update_peer(
        self, node_id: str, shared: ReportedLoad, now_s: float
    ) -> None:
        """Record another node's load on the endpoint."""
        self.peers[node_id] = (shared, now_s)

    def _fresh(self, now_s: float) -> list[ReportedLoad]:
        return [
            shared
            for shared, at_s in self.peers.values()
            if now_s - at_s < PEER_LOAD_TTL_S
        ]

    def total_running(self, now_s: float) -> int:
        """Return the running requests of all nodes."""
        return self.running + sum(load.running for load in self._fresh(now_s))

    def total_waiting_tokens(self, now_s: float) -> int:
        """Return the waiting prompt tokens of all nodes."""
        waiting = sum(load.waiting_tokens for load in self._fresh(now_s))
        return self.waiting_tokens + waiting

    def _is_suspected_here(self, now_s: float) -> bool:
        if self.is_unreachable or now_s < self.suspected_until_s:
            return True
        return self.is_unresponsive(now_s)

    def is_suspected(self, now_s: float) -> bool:
        """Return whether this node or most reporting peers suspect it."""
        if self._is_suspected_here(now_s):
            return True
        fresh = self._fresh(now_s)
        suspecting = sum(load.suspected for load in fresh)
        return suspecting >= 2 and suspecting * 2 > len(fresh)

    def shared(self, now_s: float) -> ReportedLoad:
        """Return this node's load, to report to peers."""
        return ReportedLoad(
            self.running, self.waiting_tokens, self._is_suspected_here(now_s)
        )
