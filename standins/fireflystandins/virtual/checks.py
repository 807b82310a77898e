"""What must always hold, checked after a run in virtual time."""

import collections
import typing

from fireflypulley.core import configuration
from fireflypulley.core import job_rows
from fireflypulley.core import problems

if typing.TYPE_CHECKING:
    from fireflystandins.virtual import system

NO_NEW_WORK_S = 3.0
POISON_CRASHES = 4
_LOST = frozenset(
    {
        problems.Reason.RETRIES_EXHAUSTED,
        problems.Reason.RETRY_BUDGET_EMPTY,
        problems.Reason.OUTCOME_UNKNOWN,
    }
)


class Checks:
    """Collects the broken promises of a world."""

    def __init__(self, world: "system.System") -> None:
        self._world = world

    def findings(self) -> list[str]:
        """Return every broken promise, with its place."""
        found = []
        found += self._at_most_once()
        found += self._ends()
        found += self._not_run()
        found += self._new_work()
        found += self._cold()
        found += self._configuration()
        found += self._poisoned()
        found += self._jobs()
        return found

    def _at_most_once(self) -> list[str]:
        total: collections.Counter[str] = collections.Counter()
        for one in self._world.endpoints.values():
            total.update(one.executions)
        return [
            f"key {key} ran {count} times"
            for key, count in total.items()
            if count > 1
        ]

    def _ends(self) -> list[str]:
        found = []
        for request_id, one in self._world.results.items():
            if one.died:
                continue
            if one.ends != 1:
                found.append(f"request {request_id} ended {one.ends} times")
            elif one.refusal is None and not one.answered:
                found.append(f"request {request_id}: answer not whole")
            elif (
                one.refusal
                and not one.job.request.at_most_once
                and one.refusal.reason in _LOST
            ):
                found.append(f"request {request_id} was accepted and lost")
        return found

    def _not_run(self) -> list[str]:
        ran = {
            request_id
            for one in self._world.endpoints.values()
            for _, request_id, _ in one.arrivals
        }
        return [
            f"request {request_id} was refused as not run, but ran"
            for request_id, one in self._world.results.items()
            if one.refusal is not None
            and one.refusal.run is problems.Run.NOT_RUN
            and request_id in ran
        ]

    def _new_work(self) -> list[str]:
        found = []
        for endpoint_id, one in self._world.endpoints.items():
            spans = [
                (began_s, ended_s, f"leaving {endpoint_id}")
                for left_id, began_s, ended_s in self._world.left
                if left_id == endpoint_id
            ]
            spans += [
                (began_s, ended_s, f"drained {domain}")
                for began_s, ended_s, domain in self._world.drains
                if domain == one.spec.failure_domain
            ]
            for began_s, ended_s, what in spans:
                found += [
                    f"{attempt} went to {what}"
                    for at_s, _, attempt in one.arrivals
                    if began_s + NO_NEW_WORK_S < at_s < ended_s
                ]
        return found

    def _cold(self) -> list[str]:
        return [
            f"{endpoint_id} got more than it bears while cold"
            for endpoint_id, one in self._world.endpoints.items()
            if one.overload_crashes
        ]

    def _poisoned(self) -> list[str]:
        sent = sum(
            1
            for one in self._world.results.values()
            if one.job.request.fingerprint == "poison"
        )
        crashes = sum(e.poison_crashes for e in self._world.endpoints.values())
        if crashes <= POISON_CRASHES + max(0, sent - 1):
            return []
        return [f"poison crashed {crashes} endpoints"]

    def _jobs(self) -> list[str]:
        found = []
        for job_id, size in self._world.job_sizes.items():
            row = self._world.store.jobs[job_id]
            progress = self._world.store.progress.get(job_id)
            if row.job.state is not job_rows.JobState.DONE:
                found.append(f"job {job_id} is {row.job.state.value}")
            elif progress is None or progress.tokens != size.output_tokens:
                found.append(f"job {job_id}: text not whole")
        return found

    def _configuration(self) -> list[str]:
        found = []
        for one in self._world.nodes.values():
            if not one.alive:
                continue
            for (kind, name), entry in self._world.store.entries.items():
                known = one.core.state.config.get(
                    configuration.EntryKind(kind), name
                )
                if known is not None and known.version > entry.version:
                    found.append(f"{one.node_id}: {kind} {name} ahead")
        return found
