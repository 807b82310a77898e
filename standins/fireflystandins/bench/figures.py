"""Figures of a run, with units and bounds."""

import collections
import dataclasses

from fireflypulley.core import topology
from fireflystandins.virtual import system

FIRST_TOKEN_TARGET_S = 0.33
TOKEN_GAP_TARGET_S = 0.055


@dataclasses.dataclass(frozen=True)
class Figure:
    """A measured value; its bound starts with ``<=`` or ``>=``."""

    name: str
    value: float
    unit: str
    bound: str = ""

    @property
    def is_within_bound(self) -> bool:
        """Return whether the value is within its bound."""
        if not self.bound:
            return True
        limit = float(self.bound[2:])
        if self.bound.startswith("<="):
            return self.value <= limit
        return self.value >= limit

    def __str__(self) -> str:
        mark = "" if self.is_within_bound else "  NOT MET"
        bound = self.bound or "-"
        return f"{self.name} {self.value:.4g} {self.unit} {bound}{mark}"


def percentile(values: list[float], part: float) -> float:
    """Return a percentile, or 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The results of a run's model requests."""

    sent: int
    answered: int
    refused: dict[str, int]
    refused_with_room: int
    first_token_s: tuple[float, ...]
    gaps_s: tuple[float, ...]
    recomputed_tokens: int
    regenerated_tokens: int
    tokens: int
    attempts: int
    lost: int

    def first_token(self, part: float) -> float:
        """Return a percentile of the time to the first token."""
        return percentile(list(self.first_token_s), part)

    def token_gap(self, part: float) -> float:
        """Return a percentile of the time between tokens."""
        return percentile(list(self.gaps_s), part)

    @property
    def refused_share(self) -> float:
        """Return the share of requests that were refused."""
        return sum(self.refused.values()) / max(1, self.sent)

    @property
    def recomputed_share(self) -> float:
        """Return the share of tokens that were computed again."""
        return self.recomputed_tokens / max(1, self.tokens)

    @property
    def retry_share(self) -> float:
        """Return the retries per request."""
        return (self.attempts - self.sent) / max(1, self.sent)


def outcome(
    world: system.System,
    workspace: str = "",
    from_s: float = float("-inf"),
    until_s: float = float("inf"),
) -> Outcome:
    """Return the outcome of a system's model requests."""
    results = [
        result
        for result in world.results.values()
        if result.workload.request.kind is topology.ServiceKind.MODEL
        and workspace in ("", result.workload.request.workspace)
        and from_s <= result.arrived_s < until_s
    ]
    refused = collections.Counter(
        result.refusal.reason.value for result in results if result.refusal
    )
    return Outcome(
        sent=len(results),
        answered=sum(result.answered for result in results),
        refused=dict(refused),
        refused_with_room=world.refused_with_room,
        first_token_s=tuple(
            result.first_s - result.arrived_s
            for result in results
            if result.first_s
        ),
        gaps_s=tuple(gap for result in results for gap in result.gaps_s),
        recomputed_tokens=sum(result.recomputed for result in results),
        regenerated_tokens=sum(result.regenerated for result in results),
        tokens=sum(
            result.workload.prompt_tokens + result.workload.output_tokens
            for result in results
        ),
        attempts=sum(result.attempts for result in results),
        lost=sum(
            not result.answered and not result.refusal for result in results
        ),
    )
