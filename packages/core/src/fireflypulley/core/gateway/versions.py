"""Rolls a service's traffic out to another version, or rolls it back.

In TRIAL a limited share of the requests goes to the new version.  In
MOVING every new request goes there and the old version finishes its
running requests, since its endpoints stop at once when the rollout is
DONE.  Every node counts the answers that it sees; any node that finds the
pooled evidence bad stops sending at once and notifies all.  Only the
holder of the duty advances a rollout to the next phase.
"""

import collections.abc
import dataclasses
import enum

from fireflypulley.core import facts
from fireflypulley.core.gateway import fleet
from fireflypulley.core import ownership
from fireflypulley.core import rollout_evidence

TRIAL_SHARE = 0.3
LATE_TRIAL_SHARE = 0.06
TRIAL_ANSWERS = 30
"""After this many answers a trial continues with the smaller share."""
MOVE_BEFORE_END_S = 4.0
"""Time before the deadline for requests on the old version to end."""
WATCH_UNTIL_END_S = 1.4
"""Time before the deadline until which a moved version is watched; one
that turns bad under all the traffic shows it by then."""
DONE_BEFORE_END_S = 0.8
UNUSED_LEAVE_WITHIN_S = 15.0
MIN_MOVE_ANSWERS = 3
PEER_TTL_S = 1.5
FACT_TTL_S = 3600.0
EVIDENCE_INTERVAL_S = 0.25


class Phase(enum.StrEnum):
    """The phase of a rollout."""

    TRIAL = "trial"
    MOVING = "moving"
    DONE = "done"
    UNDONE = "undone"


VERDICTS = frozenset({Phase.DONE, Phase.UNDONE})
_RANKS = {
    Phase.TRIAL: 0,
    Phase.MOVING: 1,
    Phase.DONE: 2,
    Phase.UNDONE: 3,
}


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseReached(facts.Fact):
    """A rollout has reached a phase; phases never go back.

    A verdict that is published (the store has it) is final: the endpoints
    of the other version leave.
    """

    rollout_id: str
    phase: Phase
    until_s: float
    is_published: bool = False

    @property
    def key(self) -> tuple[str, ...]:
        return ("phase", self.rollout_id)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.is_published, _RANKS[self.phase])

    @property
    def expires_s(self) -> float:
        return self.until_s


@dataclasses.dataclass(slots=True)
class Rollout:
    """An order to roll a service out to a version, as known here.

    ``order_version`` is the version of the row that holds the order;
    ``verdict`` is what this node knows the store to have.
    """

    rollout_id: str
    service: str
    target: str
    began_s: float
    duration_s: float
    order_version: int = 0
    sequence: int = 0
    told_s: float = float("-inf")
    is_changed: bool = False
    verdict: Phase | None = None

    @property
    def deadline_s(self) -> float:
        """Return the time by which the rollout is done or undone."""
        return self.began_s + self.duration_s

    def arm(self, version: str) -> facts.Arm:
        """Return whether a version is the old or the new one."""
        return facts.Arm.NEW if version == self.target else facts.Arm.OLD


class RolloutTracker:
    """The current rollouts, by service."""

    def __init__(self, node_id: str, shared: facts.SharedState) -> None:
        self._shared = shared
        self._evidence = rollout_evidence.EvidenceStore(node_id, shared)
        self._rollouts: dict[str, Rollout] = {}
        self._old_running: dict[str, tuple[dict[str, int], float]] = {}

    def __iter__(self) -> collections.abc.Iterator[Rollout]:
        return iter(list(self._rollouts.values()))

    def order(self, rollout: Rollout) -> None:
        """Add an order; adding the same one again changes nothing."""
        known = self._rollouts.get(rollout.service)
        if known is None or known.rollout_id != rollout.rollout_id:
            self._rollouts[rollout.service] = rollout

    def withdraw(self, service: str) -> None:
        """Drop a rollout whose order was withdrawn."""
        self._rollouts.pop(service, None)
        self._evidence.retain_only({one.rollout_id for one in self})

    def phase(self, rollout: Rollout) -> Phase:
        """Return the phase of a rollout as known to this node."""
        fact = self._reached(rollout)
        return Phase.TRIAL if fact is None else fact.phase

    def _reached(self, rollout: Rollout) -> PhaseReached | None:
        fact = self._shared.get("phase", rollout.rollout_id)
        return fact if isinstance(fact, PhaseReached) else None

    def _is_published(self, rollout: Rollout) -> bool:
        """Return whether the store is known to have a verdict."""
        fact = self._reached(rollout)
        return fact is not None and fact.is_published

    def is_under_way(self, service: str) -> bool:
        """Return whether a service has a rollout that is not decided."""
        rollout = self._rollouts.get(service)
        if rollout is None:
            return False
        return self.phase(rollout) in (Phase.TRIAL, Phase.MOVING)

    def is_settled(
        self, service: str, members: list[fleet.Member], now_s: float
    ) -> bool:
        """Return whether no version of a service is about to leave.

        After a verdict the endpoints of the other version leave by
        themselves; those that do not are waited for no longer than
        ``UNUSED_LEAVE_WITHIN_S`` after the deadline.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return True
        if self.is_under_way(service):
            return False
        if now_s >= rollout.deadline_s + UNUSED_LEAVE_WITHIN_S:
            return True
        unused = facts.Arm.OLD
        if self.phase(rollout) is Phase.UNDONE:
            unused = facts.Arm.NEW
        return not any(
            rollout.arm(member.registration.version) is unused
            for member in members
        )

    def restore_verdict(
        self,
        service: str,
        target: str,
        phase: Phase,
        verdict_version: int,
        now_s: float,
    ) -> PhaseReached | None:
        """Restore a verdict that this or an earlier holder published.

        A verdict published before the order belongs to an earlier
        rollout.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.target != target:
            return None
        if verdict_version <= rollout.order_version:
            return None
        return self.confirm(rollout, phase, now_s)

    def confirm(
        self, rollout: Rollout, phase: Phase, now_s: float
    ) -> PhaseReached | None:
        """Record that a verdict is published; return it if it is news."""
        if phase not in VERDICTS:
            return None
        fact = PhaseReached(
            rollout.rollout_id, phase, now_s + FACT_TTL_S, is_published=True
        )
        is_news = self._shared.merge(fact, now_s)
        rollout.verdict = self.phase(rollout)
        return fact if is_news else None

    def evidence(self, rollout: Rollout) -> tuple[int, bool]:
        """Return the new version's answer count, and whether it is bad."""
        finding = self._evidence.finding(rollout.rollout_id)
        return finding.answers, finding.bad

    # Routing

    def allowed(
        self,
        service: str,
        request_id: str,
        members: list[fleet.Member],
        in_use: collections.abc.Iterable[fleet.Member] | None = None,
    ) -> list[fleet.Member]:
        """Return the endpoints whose version may run a request.

        A node that has undone a rollout by its own evidence may not know
        that it is done; then only the new version is left of all that are
        ``in_use``, by default the members.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return members
        new = [
            member
            for member in members
            if member.registration.version == rollout.target
        ]
        old = [member for member in members if member not in new]
        phase = self.phase(rollout)
        if phase is Phase.UNDONE:
            others = members if in_use is None else in_use
            if old or not self._may_be_done(rollout, others):
                return old
            return new
        if phase in (Phase.MOVING, Phase.DONE) or not old:
            return new
        point = ownership.fraction(f"{request_id}/trial")
        if new and point < self._trial_share(rollout):
            return new
        return old

    def _may_be_done(
        self, rollout: Rollout, in_use: collections.abc.Iterable[fleet.Member]
    ) -> bool:
        """Return whether others may have done what this node has undone."""
        if self._is_published(rollout):
            return False
        return not any(
            member.registration.service == rollout.service
            and member.registration.version != rollout.target
            for member in in_use
        )

    def _trial_share(self, rollout: Rollout) -> float:
        if self._evidence.finding(rollout.rollout_id).answers < TRIAL_ANSWERS:
            return TRIAL_SHARE
        return LATE_TRIAL_SHARE

    # Evidence

    def is_baseline(self, service: str, version: str) -> bool:
        """Return whether a version serves as the latency baseline."""
        rollout = self._rollouts.get(service)
        if rollout is None or not self.is_under_way(service):
            return True
        return rollout.arm(version) is facts.Arm.OLD

    def observe(
        self,
        service: str,
        version: str,
        route: str,
        failed: bool,
        slow: bool,
        measure: facts.Measure = facts.Measure.ANSWER,
    ) -> None:
        """Count one answer of a version, or a measurement of it."""
        rollout = self._rollouts.get(service)
        if rollout is None or not self.is_under_way(service):
            return
        self._evidence.observe(
            rollout.rollout_id,
            route,
            rollout.arm(version),
            failed,
            slow,
            measure,
        )
        rollout.is_changed = True

    def updates(self, now_s: float) -> list[facts.Fact]:
        """Return facts to publish to other nodes: evidence and rollbacks."""
        updates: list[facts.Fact] = []
        for rollout in self:
            if not self.is_under_way(rollout.service):
                continue
            until_s = now_s + FACT_TTL_S
            if self._evidence.finding(rollout.rollout_id).bad:
                updates.append(self._reach(rollout, Phase.UNDONE, now_s))
            if rollout.is_changed and (
                now_s - rollout.told_s >= EVIDENCE_INTERVAL_S
            ):
                rollout.is_changed = False
                rollout.told_s = now_s
                rollout.sequence += 1
                updates.append(
                    self._evidence.fact(
                        rollout.rollout_id, rollout.sequence, until_s
                    )
                )
        return updates

    def _reach(
        self, rollout: Rollout, phase: Phase, now_s: float
    ) -> PhaseReached:
        fact = PhaseReached(rollout.rollout_id, phase, now_s + FACT_TTL_S)
        self._shared.merge(fact, now_s)
        return fact

    # The duty holder's part

    def update_old_running(
        self, node_id: str, counts: dict[str, int], now_s: float
    ) -> None:
        """Record a node's requests on old versions, by service."""
        self._old_running[node_id] = (counts, now_s)

    def _others_old_running(self, service: str, now_s: float) -> int:
        return sum(
            counts.get(service, 0)
            for counts, at_s in self._old_running.values()
            if now_s - at_s < PEER_TTL_S
        )

    def advance(
        self, rollout: Rollout, own_old_running: int, now_s: float
    ) -> PhaseReached | None:
        """Advance a rollout if it is time; return the phase reached.

        A verdict that is published is told again once it has lapsed.
        """
        if rollout.verdict is not None:
            return self.confirm(rollout, rollout.verdict, now_s)
        left_s = rollout.deadline_s - now_s
        phase = self.phase(rollout)
        finding = self._evidence.finding(rollout.rollout_id)
        if phase is Phase.TRIAL and left_s <= MOVE_BEFORE_END_S:
            enough = finding.answers >= MIN_MOVE_ANSWERS
            may_move = enough and not finding.suspect
            next_phase = Phase.MOVING if may_move else Phase.UNDONE
            return self._reach(rollout, next_phase, now_s)
        if phase is Phase.MOVING:
            old = own_old_running
            old += self._others_old_running(rollout.service, now_s)
            is_watched = left_s <= WATCH_UNTIL_END_S
            if (not old and is_watched) or left_s <= DONE_BEFORE_END_S:
                return self._reach(rollout, Phase.DONE, now_s)
        return None
