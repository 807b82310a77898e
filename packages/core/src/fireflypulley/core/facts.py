"""Facts that nodes pass on to each other until all of them know.

A fact replaces an older one of the same key when its rank is higher, so
the order and number of deliveries do not matter.
"""

import abc
import dataclasses
import enum

NEVER_S = float("inf")


class Fact(abc.ABC):
    """One piece of shared state."""

    __slots__ = ()

    @property
    @abc.abstractmethod
    def key(self) -> tuple[str, ...]:
        """Return what the fact is about."""

    @property
    @abc.abstractmethod
    def rank(self) -> tuple[float, ...]:
        """Return the place among the facts of one key."""

    @property
    def expires_s(self) -> float:
        """Return the Unix time at which the fact may be forgotten."""
        return NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Warmth(Fact):
    """Whether an endpoint is warm; each fall back to cold is an epoch."""

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
    """An endpoint that will leave, seen by one node in the list."""

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
    """How many endpoints crashed while a request ran on them."""

    fingerprint: str
    crashes: int
    until_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("suspicion", self.fingerprint)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.crashes, self.until_s)

    @property
    def expires_s(self) -> float:
        return self.until_s


class Arm(enum.StrEnum):
    """The side of a rollout that served a request."""

    OLD = "old"
    NEW = "new"


class Measure(enum.StrEnum):
    """What is looked at in an answer.

    ANSWER: whether it failed, or came later than the route's bound.
    FIRST_EVENT, PAUSE: whether the first event or the pauses between
    events took much longer than is usual on the route.
    """

    ANSWER = "answer"
    FIRST_EVENT = "first_event"
    PAUSE = "pause"


@dataclasses.dataclass(frozen=True, slots=True)
class ArmCount:
    """What one node saw of one arm on one route.

    ``slow`` counts the answers that the measure finds slow.
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
    """The finding that a rollout's new version is bad."""

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
    """A node's state of life; its own incarnation settles disputes."""

    node_id: str
    incarnation: int
    down: bool
    until_s: float

    @property
    def key(self) -> tuple[str, ...]:
        return ("node", self.node_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.incarnation, self.down)

    @property
    def expires_s(self) -> float:
        return self.until_s


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLeaving(Fact):
    """A node that shuts down and takes no more work."""

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
        """Take in a fact; return whether it was news."""
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
        """Return the fact of a key, if known."""
        return self._facts.get(key)

    def of_kind(self, *prefix: str) -> list[Fact]:
        """Return the facts whose key starts with ``prefix``."""
        size = len(prefix)
        return [f for k, f in self._facts.items() if k[:size] == prefix]

    def snapshot(self) -> tuple[Fact, ...]:
        """Return all facts, for a peer that has just connected."""
        return tuple(self._facts.values())

    def expire(self, now_s: float) -> None:
        """Forget the facts whose time has passed."""
        expired = [k for k, f in self._facts.items() if f.expires_s <= now_s]
        for key in expired:
            del self._facts[key]
