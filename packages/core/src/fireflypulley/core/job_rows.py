"""The stored rows of jobs."""

import dataclasses
import enum

from fireflypulley.core import requests
from fireflypulley.core import topology

URGENT_FRACTION = 0.25
URGENT_MIN_S = 600.0


class JobState(enum.StrEnum):
    """The state of a job; the last three are final."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"


ENDED = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job's row; times are Unix times.

    ``owner`` is the id of the node that took the job, and
    ``incarnation`` the incarnation of that node.
    """

    job_id: str
    workspace: str
    route: str
    service: str
    fingerprint: str
    submitted_s: float
    deadline_s: float
    state: JobState = JobState.WAITING
    owner: str = ""
    incarnation: int = 0
    epoch: int = 0
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Return whether the job's state is final."""
        return self.state in ENDED

    @property
    def urgent_from_s(self) -> float:
        """Return when the job stops waiting for idle endpoints."""
        duration_s = self.deadline_s - self.submitted_s
        lead_s = max(URGENT_MIN_S, URGENT_FRACTION * duration_s)
        return self.deadline_s - lead_s


@dataclasses.dataclass(frozen=True, slots=True)
class JobRow:
    """A job's row as read, with its version."""

    job: Job
    version: int


def request_of(job: Job) -> requests.Request:
    """Return the request that runs a job in its epoch."""
    return requests.Request(
        request_id=f"{job.job_id}-{job.epoch}",
        workspace=job.workspace,
        route=job.route,
        service=job.service,
        kind=topology.ServiceKind.MODEL,
        deadline_s=job.deadline_s,
        fingerprint=job.fingerprint,
        background=True,
        urgent_from_s=job.urgent_from_s,
    )


def cancelled(job: Job) -> Job:
    """Return a job as cancelled by its caller."""
    return dataclasses.replace(job, state=JobState.CANCELLED)
