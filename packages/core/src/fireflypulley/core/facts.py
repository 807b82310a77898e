"""Facts that nodes broadcast to each other until all nodes have them.

A fact replaces the known one of the same key only if its rank is higher,
so the order and number of deliveries do not matter.  Evidence is not
broadcast, but reported to the owner of its rollout.
"""

import abc
import dataclasses
import enum

NEVER_S = float("inf")
RENEWAL_S = 30.0
"""Reports that end in the same period of this length count as one, so that
those of all peers of a node are not broadcast in turn."""


class Fact(abc.ABC):
    """One piece of shared state."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def key(self) -> tuple[str, ...]:
        """Return the identity of what the fact describes."""

    @property
    @abc.abstractmethod
    def rank(self) -> tuple[float, ...]:
        """Return the precedence among the facts of one key."""

    @property
    def expires_s(self) -> float:
        """Return the Unix time from which the fact may be dropped."""
        return NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Warmth(Fact):
    """Whether an endpoint is warm; each return to cold starts an epoch."""

    endpoint_id: str
    epoch: int
    warm: bool

    @property
    def key(self) -> tuple[str, ...]:
        return ("warmth", self.endpoint_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.epoch, self.warm)


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving(Fact):
    """An endpoint that the instance list announces as leaving."""

    endpoint_id: str
    leaves_at_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("leaving", self.endpoint_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (-self.leaves_at_s,)

    @property
    def expires_s(self) -> float:
        return self.leaves_at_s + 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion(Fact):
    """The number of endpoints that crashed while running a request.

    ``starts`` names the crashed starts of endpoints, as far as the nodes
    that counted them know their starts apart.  ``is_cleared`` is whether
    the request was answered in full after a crash.
    """

    fingerprint: str
    crashes: int
    until_s: float
    starts: tuple[str, ...] = ()
    is_cleared: bool = False

    @property
    def key(self) -> tuple[str, ...]:
        return ("suspicion", self.fingerprint)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.crashes, self.is_cleared, self.until_s)

    @property
    def expires_s(self) -> float:
        return self.until_s


class Arm(enum.StrEnum):
    """The side of a rollout that served a request."""

    OLD = "old"
    NEW = "new"


class Measure(enum.StrEnum):
    """The aspect of a response that is evaluated.

    ANSWER: whether it failed, or was slower than the configured limit.
    FIRST_EVENT, PAUSE: whether the first event or the pauses between
    events took much longer than usual on the route.
    """

    ANSWER = "answer"
    FIRST_EVENT = "first_event"
    PAUSE = "pause"


@dataclasses.dataclass(frozen=True, slots=True)
class ArmCount:
    """One node's counts of one arm on one route.

    ``slow`` counts the responses that are slow by the measure.
    """

    route: str
    arm: Arm
    served: int
    failed: int
    slow: int
    measure: Measure = Measure.ANSWER


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence(Fact):
    """One node's totals for one rollout."""

    rollout_id: str
    node_id: str
    sequence: int
    counts: tuple[ArmCount, ...]
    until_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("evidence", self.rollout_id, self.node_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.sequence,)

    @property
    def expires_s(self) -> float:
        return self.until_s


@dataclasses.dataclass(frozen=True, slots=True)
class Trip(Fact):
    """The conclusion that a rollout's new version is bad."""

    rollout_id: str
    route: str
    reason: str
    until_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("trip", self.rollout_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (1,)

    @property
    def expires_s(self) -> float:
        return self.until_s


@dataclasses.dataclass(frozen=True, slots=True)
class NodeDown(Fact):
    """Whether a node is down; the higher incarnation takes precedence.

    A report that a node is down is renewed by one that ends later.
    """

    node_id: str
    incarnation: int
    down: bool
    until_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("node", self.node_id)

    @property
    def rank(self) -> tuple[float, ...]:
        renewals = self.until_s // RENEWAL_S if self.down else 0
        return (self.incarnation, self.down, renewals)

    @property
    def expires_s(self) -> float:
        return self.until_s


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLeaving(Fact):
    """A node that is shutting down and accepts no more work."""

    node_id: str
    incarnation: int
    until_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("node-leaving", self.node_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.incarnation,)

    @property
    def expires_s(self) -> float:
        return self.until_s


class SharedState:
    """The highest-ranked fact of every key."""

    def __init__(self) -> None:
        self._facts: dict[tuple[str, ...], Fact] = {}
        self.node_changes = 0

    def __len__(self) -> int:
        return len(self._facts)

    def merge(self, fact: Fact, now_s: float) -> bool:
        """Apply a fact; return whether it changed the state."""
        if fact.expires_s <= now_s:
            return False
        known = self._facts.get(fact.key)
        if known is not None and known.rank >= fact.rank:
            return False
        self._facts[fact.key] = fact
        if isinstance(fact, (NodeDown, NodeLeaving)):
            self.node_changes += 1
        return True

    def get(self, *key: str) -> Fact | None:
        """Return the fact of a key, or None."""
        return self._facts.get(key)

    def of_kind(self, *prefix: str) -> list[Fact]:
        """Return the facts whose key starts with ``prefix``."""
        size = len(prefix)
        return [f for k, f in self._facts.items() if k[:size] == prefix]

    def snapshot(self) -> tuple[Fact, ...]:
        """Return all facts, for a peer that has just connected."""
        return tuple(self._facts.values())

    def expire(self, now_s: float) -> None:
        """Drop the expired facts."""
        expired = [k for k, f in self._facts.items() if f.expires_s <= now_s]
        for key in expired:
            del self._facts[key]
