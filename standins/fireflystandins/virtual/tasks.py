"""A virtual node's state of a request."""

import dataclasses

from fireflystandins.virtual import endpoint

HOP_S = 0.0005


@dataclasses.dataclass
class Task:
    """A request at a node; stands in for the daemon's task."""

    workload: endpoint.Workload
    tokens: int = 0
    attempt: endpoint.Attempt | None = None
    endpoint_id: str = ""
    job_id: str = ""
