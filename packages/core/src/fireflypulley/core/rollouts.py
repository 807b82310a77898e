"""Moves traffic to a new version in steps, or rolls the move back.

Every node routes by the current share, counts the responses and reports
its totals to the rollout's owner, who pools them.  A node whose evidence
shows the version to be bad stops sending to it at once and notifies all
nodes.  Only the owner advances the steps; the verdict is in the table.
"""

import dataclasses

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core import membership
from fireflypulley.core import ownership
from fireflypulley.core import rollout_evidence

SHARES = (0.05, 0.2, 0.5, 1.0)  # of the new version, by step
MIN_ANSWERS = (10, 20, 40, 60)  # in total, to leave each step
BAD_REPORT_PERIOD_S = 0.5
GOOD_REPORT_PERIOD_S = 1.0  # plus nodes / REPORTS_PER_S
REPORTS_PER_S = 20.0  # to a rollout's owner, from all nodes, if all are good
DEADLINE_MARGIN_S = 2.0
FACT_TTL_S = 86_400.0
_RUNNING = configuration.RolloutState.RUNNING
_DONE = configuration.RolloutState.DONE
_UNDONE = configuration.RolloutState.UNDONE


@dataclasses.dataclass(slots=True)
class _ReportState:
    sequence: int = 0
    changed: bool = False
    sent_s: float = float("-inf")
    reported_bad: int = 0
    reported_to: str | None = None


class Rollouts:
    """The current rollouts, with the evidence on each."""

    def __init__(
        self,
        node_id: str,
        config: configuration.Configuration,
        shared: facts.SharedState,
    ) -> None:
        self._node_id = node_id
        self._config = config
        self._shared = shared
        self._reports: dict[str, _ReportState] = {}
        self._evidence_store = rollout_evidence.EvidenceStore(node_id, shared)

    def tripped(self, rollout: configuration.Rollout) -> bool:
        """Return whether any node has found the new version to be bad."""
        return self._shared.get("trip", rollout.rollout_id) is not None

    def share(self, rollout: configuration.Rollout, now_s: float) -> float:
        """Return the new version's current share of the requests."""
        if rollout.state is _DONE:
            return 1.0
        if rollout.state is _UNDONE or self.tripped(rollout):
            return 0.0
        if now_s > rollout.deadline_s:
            return 0.0
        return SHARES[min(rollout.step, len(SHARES) - 1)]

    def versions(
        self, workspace: str, service: str, request_id: str, now_s: float
    ) -> list[tuple[str, facts.Arm | None]]:
        """Return the versions that may serve a request, preferred first."""
        rollout = self._config.rollout(workspace, service)
        if rollout is None:
            configured = self._config.workspace(workspace)
            target = configured.service(service) if configured else None
            return [(target.version, None)] if target else []
        if rollout.state is _DONE:
            return [(rollout.to_version, None)]
        if rollout.state is _UNDONE:
            return [(rollout.from_version, None)]
        old = (rollout.from_version, facts.Arm.OLD)
        new = (rollout.to_version, facts.Arm.NEW)
        share = self.share(rollout, now_s)
        if ownership.fraction(request_id) >= share:
            return [old]
        return [new, old]

    def observe(
        self,
        workspace: str,
        service: str,
        route: str,
        arm: facts.Arm,
        failed: bool,
        slow: bool,
    ) -> None:
        """Count the end of one attempt on one arm."""
        rollout = self._config.rollout(workspace, service)
        if rollout is None or rollout.ended:
            return
        report = self._reports.setdefault(rollout.rollout_id, _ReportState())
        self._evidence_store.observe(
            rollout.rollout_id, route, arm, failed, slow
        )
        report.changed = True

    def evidence(
        self, members: membership.Membership, now_s: float
    ) -> list[facts.Evidence]:
        """Return this node's totals that are due to be reported.

        Bad responses are reported soon, good ones less often the more
        nodes there are.  A new owner is sent all totals.
        """
        good_period_s = (
            GOOD_REPORT_PERIOD_S + len(members.alive(now_s)) / REPORTS_PER_S
        )
        evidence = []
        for rollout_id, report in self._reports.items():
            owner = members.owner(rollout_id, now_s)
            counts = self._evidence_store.own_counts(rollout_id)
            bad = sum(tally.bad for tally in counts.values())
            period_s = BAD_REPORT_PERIOD_S
            if bad == report.reported_bad and owner == report.reported_to:
                period_s = good_period_s
            pending = report.changed or owner != report.reported_to
            if not pending or now_s - report.sent_s < period_s:
                continue
            report.changed = False
            report.sent_s = now_s
            report.reported_bad = bad
            report.reported_to = owner
            report.sequence += 1
            until_s = now_s + FACT_TTL_S
            evidence.append(
                self._evidence_store.fact(rollout_id, report.sequence, until_s)
            )
        return evidence

    def finding(
        self, rollout: configuration.Rollout
    ) -> rollout_evidence.Finding:
        """Return the conclusion on the new version, from all nodes."""
        return self._evidence_store.finding(rollout.rollout_id)

    def trips(self, now_s: float) -> list[facts.Trip]:
        """Return a trip for every rollout newly found to be bad."""
        trips = []
        for rollout in self.running():
            if self.tripped(rollout):
                continue
            finding = self.finding(rollout)
            if finding.bad:
                trips.append(
                    facts.Trip(
                        rollout.rollout_id,
                        finding.route,
                        finding.reason,
                        now_s + FACT_TTL_S,
                    )
                )
        return trips

    def running(self) -> list[configuration.Rollout]:
        """Return the rollouts that have not ended."""
        return [r for r in self._config.rollouts() if not r.ended]

    def verdicts(self, now_s: float) -> list[configuration.Rollout]:
        """Return the rollouts to be recorded as undone.

        These are tripped or past their deadline.  Any node may write
        them.
        """
        verdicts = []
        for rollout in self.running():
            trip = self._shared.get("trip", rollout.rollout_id)
            if isinstance(trip, facts.Trip):
                reason = f"{trip.reason} on route {trip.route}"
                verdicts.append(self._ended(rollout, _UNDONE, reason, now_s))
            elif now_s > rollout.deadline_s + DEADLINE_MARGIN_S:
                reason = "not complete by the deadline"
                verdicts.append(self._ended(rollout, _UNDONE, reason, now_s))
        return verdicts

    def _ended(
        self,
        rollout: configuration.Rollout,
        state: configuration.RolloutState,
        reason: str,
        now_s: float,
    ) -> configuration.Rollout:
        return dataclasses.replace(
            rollout, state=state, reason=reason, step_since_s=now_s
        )

    def next_step(
        self, rollout: configuration.Rollout, now_s: float
    ) -> configuration.Rollout | None:
        """Return the rollout at its next step, or None if not yet due.

        A step requires enough responses, and evidence that is in favor of
        the new version on every route.  The schedule spreads the
        steps over half of the time between start and deadline.
        """
        if rollout.ended or self.tripped(rollout):
            return None
        if now_s >= rollout.deadline_s:
            return None
        finding = self.finding(rollout)
        if not finding.good:
            return None
        last = len(SHARES) - 1
        if finding.answers < MIN_ANSWERS[min(rollout.step, last)]:
            return None
        total_s = rollout.deadline_s - rollout.started_s
        step_period_s = total_s / (2.0 * len(SHARES))
        if now_s - rollout.step_since_s < step_period_s:
            return None
        if rollout.step >= len(SHARES) - 1:
            return self._ended(rollout, _DONE, "complete", now_s)
        return dataclasses.replace(
            rollout, step=rollout.step + 1, step_since_s=now_s
        )

    def drop_ended(self) -> None:
        """Drop the evidence on rollouts that have ended."""
        running = {r.rollout_id for r in self.running()}
        for rollout_id in list(self._reports):
            if rollout_id not in running:
                del self._reports[rollout_id]
        self._evidence_store.retain_only(running)
