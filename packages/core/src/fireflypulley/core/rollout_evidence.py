"""The evidence on the two versions of a rollout, pooled from all nodes."""

import collections
import collections.abc
import dataclasses

from fireflypulley.core import facts
from fireflypulley.core import sequential


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the responses of one version on one route."""

    served: int = 0
    failed: int = 0
    slow: int = 0

    @property
    def bad(self) -> int:
        """Return the number of failed and slow responses."""
        return self.failed + self.slow

    def add(self, served: int, failed: int, slow: int) -> None:
        """Add counts of responses."""
        self.served += served
        self.failed += failed
        self.slow += slow


INITIAL_SLOW_RATE = 0.15
"""The fraction of a good version's responses that may be much slower than
usual: its prompt caches are still empty, and its endpoints may be of a
slower machine class."""

Counts = dict[tuple[str, facts.Arm, facts.Measure], Tally]
"""Tallies by route, arm of the rollout and measure."""


_SLOW_REASONS = {
    facts.Measure.ANSWER: "slow answers",
    facts.Measure.FIRST_EVENT: "late first events",
    facts.Measure.PAUSE: "long pauses",
}


def _tallies() -> Counts:
    return collections.defaultdict(Tally)


def _base_rate(measure: facts.Measure, bad: int, total: int) -> float:
    """Return the rate of bad responses that a good version may have."""
    base = sequential.base_rate(bad, total)
    if measure is facts.Measure.ANSWER:
        return base
    return max(base, INITIAL_SLOW_RATE)


@dataclasses.dataclass(frozen=True, slots=True)
class _Baseline:
    bad: int
    total: int


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The conclusion from the evidence on one rollout.

    A ``suspect`` version is more likely bad than good, though the
    evidence may not suffice to call it bad.
    """

    bad: bool
    good: bool
    answers: int
    route: str = ""
    reason: str = ""
    suspect: bool = False


class EvidenceStore:
    """A node's counts by rollout, pooled with those of other nodes."""

    def __init__(self, node_id: str, shared: facts.SharedState) -> None:
        self._node_id = node_id
        self._shared = shared
        self._own_counts: dict[str, Counts] = {}
        self._baselines: dict[tuple[str, str, str], _Baseline] = {}

    def observe(
        self,
        rollout_id: str,
        route: str,
        arm: facts.Arm,
        failed: bool,
        slow: bool,
        measure: facts.Measure = facts.Measure.ANSWER,
    ) -> None:
        """Count the end of an attempt, or one measurement during it."""
        tallies = self._own_counts.setdefault(rollout_id, _tallies())
        tallies[(route, arm, measure)].add(1, failed, slow)

    def own_counts(self, rollout_id: str) -> Counts:
        """Return this node's counts."""
        return self._own_counts.get(rollout_id, {})

    def fact(
        self, rollout_id: str, sequence: int, until_s: float
    ) -> facts.Evidence:
        """Return this node's counts as a fact for the rollout's owner."""
        counts = tuple(
            facts.ArmCount(
                route, arm, tally.served, tally.failed, tally.slow, measure
            )
            for (route, arm, measure), tally in sorted(
                self.own_counts(rollout_id).items()
            )
        )
        return facts.Evidence(
            rollout_id, self._node_id, sequence, counts, until_s
        )

    def pooled(self, rollout_id: str) -> Counts:
        """Return the counts of all nodes."""
        pooled = _tallies()
        for key, tally in self.own_counts(rollout_id).items():
            pooled[key].add(tally.served, tally.failed, tally.slow)
        for fact in self._shared.of_kind("evidence", rollout_id):
            if not isinstance(fact, facts.Evidence):
                continue
            if fact.node_id == self._node_id:
                continue
            for count in fact.counts:
                key = (count.route, count.arm, count.measure)
                pooled[key].add(count.served, count.failed, count.slow)
        return pooled

    def finding(self, rollout_id: str) -> Finding:
        """Return the conclusion on the new version, from all nodes."""
        pooled = self.pooled(rollout_id)
        answers = 0
        good = True
        suspect = False
        for (route, arm, measure), new in pooled.items():
            if arm is not facts.Arm.NEW:
                continue
            if measure is facts.Measure.ANSWER:
                answers += new.served
            old = pooled.get((route, facts.Arm.OLD, measure), Tally())
            for reason, bad, base_bad in (
                ("failures", new.failed, old.failed),
                (_SLOW_REASONS[measure], new.slow, old.slow),
            ):
                base = _base_rate(measure, base_bad, old.served)
                ratio = sequential.log_ratio(bad, new.served, base)
                key = (rollout_id, route, reason)
                turned_bad = self._has_turned_bad(key, bad, new.served, base)
                if ratio >= sequential.BAD_LOG_RATIO or turned_bad:
                    return Finding(True, False, answers, route, reason, True)
                good = good and ratio < 0.0
                suspect = suspect or ratio >= sequential.SUSPECT_LOG_RATIO
        good = good and answers > 0
        return Finding(False, good, answers, suspect=suspect)

    def _has_turned_bad(
        self, key: tuple[str, str, str], bad: int, total: int, base: float
    ) -> bool:
        """Return whether a version that was good has turned bad.

        Only the evidence since the baseline is tested, and the baseline
        is advanced each time that evidence is good.  A long history of
        good responses therefore does not hide recent bad ones.
        """
        baseline = self._baselines.get(key, _Baseline(0, 0))
        ratio = sequential.log_ratio(
            bad - baseline.bad, total - baseline.total, base
        )
        if ratio <= sequential.GOOD_LOG_RATIO:
            self._baselines[key] = _Baseline(bad, total)
        return ratio >= sequential.TURNED_BAD_LOG_RATIO

    def retain_only(self, rollout_ids: collections.abc.Set[str]) -> None:
        """Drop the evidence on all rollouts but these."""
        for rollout_id in list(self._own_counts):
            if rollout_id not in rollout_ids:
                del self._own_counts[rollout_id]
        for key in list(self._baselines):
            if key[0] not in rollout_ids:
                del self._baselines[key]
