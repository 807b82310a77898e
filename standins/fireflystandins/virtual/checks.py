"""The invariants that are checked after a run in virtual time."""

import collections
import typing

from fireflypulley.core import configuration
from fireflypulley.core import job_rows
from fireflypulley.core import problems

if typing.TYPE_CHECKING:
    from fireflystandins.virtual import system

NOTICE_GRACE_S = 3.0
POISON_CRASHES = 4
_LOST_REASONS = frozenset(
    {
        problems.Reason.RETRIES_EXHAUSTED,
        problems.Reason.RETRY_BUDGET_EMPTY,
        problems.Reason.OUTCOME_UNKNOWN,
    }
)


class Checks:
    """Collects the violated invariants of a system."""

    def __init__(self, world: "system.System") -> None:
        self._world = world

    def violations(self) -> list[str]:
        """Return the violations, each with its place."""
        violations = []
        violations += self._repeated_executions()
        violations += self._incomplete_results()
        violations += self._false_not_run()
        violations += self._work_after_notice()
        violations += self._cold_overloads()
        violations += self._configuration_ahead()
        violations += self._poison_crashes()
        violations += self._unfinished_jobs()
        return violations

    def _repeated_executions(self) -> list[str]:
        total: collections.Counter[str] = collections.Counter()
        for endpoint in self._world.endpoints.values():
            total.update(endpoint.executions)
        return [
            f"key {key} ran {count} times"
            for key, count in total.items()
            if count > 1
        ]

    def _incomplete_results(self) -> list[str]:
        violations = []
        for request_id, result in self._world.results.items():
            if result.interrupted:
                continue
            if result.ends != 1:
                violations.append(
                    f"request {request_id} ended {result.ends} times"
                )
            elif result.refusal is None and not result.answered:
                violations.append(f"request {request_id}: response incomplete")
            elif (
                result.refusal
                and not result.workload.request.at_most_once
                and result.refusal.reason in _LOST_REASONS
            ):
                violations.append(
                    f"request {request_id} was accepted and lost"
                )
        return violations

    def _false_not_run(self) -> list[str]:
        ran = {
            request_id
            for endpoint in self._world.endpoints.values()
            for _, request_id, _ in endpoint.arrivals
        }
        return [
            f"request {request_id} was refused as not run, but ran"
            for request_id, result in self._world.results.items()
            if result.refusal is not None
            and result.refusal.run is problems.Run.NOT_RUN
            and request_id in ran
        ]

    def _work_after_notice(self) -> list[str]:
        violations = []
        for endpoint_id, endpoint in self._world.endpoints.items():
            spans = [
                (began_s, ended_s, f"leaving {endpoint_id}")
                for reclaimed_id, began_s, ended_s in self._world.reclaims
                if reclaimed_id == endpoint_id
            ]
            spans += [
                (began_s, ended_s, f"drained {domain}")
                for began_s, ended_s, domain in self._world.drains
                if domain == endpoint.spec.failure_domain
            ]
            for began_s, ended_s, cause in spans:
                violations += [
                    f"{attempt_id} went to {cause}"
                    for at_s, _, attempt_id in endpoint.arrivals
                    if began_s + NOTICE_GRACE_S < at_s < ended_s
                ]
        return violations

    def _cold_overloads(self) -> list[str]:
        return [
            f"{endpoint_id} got more than it bears while cold"
            for endpoint_id, endpoint in self._world.endpoints.items()
            if endpoint.overload_crashes
        ]

    def _poison_crashes(self) -> list[str]:
        sent = sum(
            1
            for result in self._world.results.values()
            if result.workload.request.fingerprint == "poison"
        )
        crashes = sum(e.poison_crashes for e in self._world.endpoints.values())
        if crashes <= POISON_CRASHES + max(0, sent - 1):
            return []
        return [f"poison crashed {crashes} endpoints"]

    def _unfinished_jobs(self) -> list[str]:
        violations = []
        for job_id, workload in self._world.job_workloads.items():
            row = self._world.store.jobs[job_id]
            progress = self._world.store.progress.get(job_id)
            if row.job.state is not job_rows.JobState.DONE:
                violations.append(f"job {job_id} is {row.job.state.value}")
            elif progress is None or progress.tokens != workload.output_tokens:
                violations.append(f"job {job_id}: text incomplete")
        return violations

    def _configuration_ahead(self) -> list[str]:
        violations = []
        for node in self._world.nodes.values():
            if not node.alive:
                continue
            for (kind, name), entry in self._world.store.entries.items():
                current = node.core.state.config.get(
                    configuration.EntryKind(kind), name
                )
                if current is not None and current.version > entry.version:
                    violations.append(f"{node.node_id}: {kind} {name} ahead")
        return violations
