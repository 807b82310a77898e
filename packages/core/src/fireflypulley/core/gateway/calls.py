"""Requests as the gateway sees them, and outcomes of their attempts."""

import dataclasses
import enum

from fireflypulley.core.gateway import document

RETRY_ELSEWHERE_S = 0.05
"""Time to wait after a refusal by a node that is stopping."""
RETRY_WHEN_FULL_S = 1.0
"""Time to wait after a refusal by a node that holds all it may hold."""


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that several requests may have in common."""

    part_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestMetadata:
    """The values of a request's headers.

    ``timeout_s`` is how long the caller waits, None if not stated.
    """

    request_id: str = ""
    api_key: str | None = None
    timeout_s: float | None = None
    prompt_tokens: int | None = None
    output_tokens: int = 0
    prefix: tuple[PromptPart, ...] = ()
    last_event_id: int | None = None

    @property
    def total_tokens(self) -> int | None:
        """Return prompt and output tokens, None if not stated."""
        if self.prompt_tokens is None:
            return None
        return self.prompt_tokens + self.output_tokens

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Return the prompt parts that other requests may share."""
        return self.prefix[:-1]


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that the configuration allows.

    ``deadline_s`` is the latest time for its final answer.
    """

    metadata: RequestMetadata
    route: document.Route
    service: document.Service
    workspace: document.Workspace | None
    fingerprint: str
    arrived_s: float
    deadline_s: float

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, "" if there is none."""
        return self.workspace.name if self.workspace else ""

    @property
    def shared_part_ids(self) -> frozenset[str]:
        """Return the ids of the prompt parts that others may share."""
        return frozenset(part.part_id for part in self.metadata.shared_parts)

    @property
    def priority(self) -> int:
        """Return the workspace's priority if it has one, else the route's."""
        if self.workspace and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def usage_tokens(self) -> float:
        """Return the amount to charge to the workspace's limit."""
        if self.workspace is None or not self.workspace.counts_tokens:
            return 1.0
        total = self.metadata.total_tokens
        return self.workspace.default_tokens if total is None else total


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended.

    NOT_RUN: the endpoint reported that it did not run the request.
    MISDIRECTED: another endpoint has the address; nothing was run.
    UNREACHED: no byte was sent.  WITHHELD: nothing was sent, since the
    endpoint's limit had no room.  FAILED: the endpoint reported a failure.
    CUT: the connection broke.  GARBAGE: the bytes are no valid answer.
    AMBIGUOUS: a part of another answer could be in it, unseen.
    UNRELATED: the run does not follow the event that the caller says it
    has; the endpoint or the caller is wrong.
    SILENT: nothing arrived in time.  SLOW: the attempt was given up
    while another endpoint could still answer in time.
    """

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    UNREACHED = "unreached"
    WITHHELD = "withheld"
    FAILED = "failed"
    CUT = "cut"
    GARBAGE = "garbage"
    AMBIGUOUS = "ambiguous"
    UNRELATED = "unrelated"
    SILENT = "silent"
    SLOW = "slow"

    @property
    def certainly_not_run(self) -> bool:
        """Return whether the endpoint certainly did not run the request."""
        return self in _CERTAINLY_NOT_RUN


_CERTAINLY_NOT_RUN = frozenset(
    {
        Outcome.NOT_RUN,
        Outcome.MISDIRECTED,
        Outcome.UNREACHED,
        Outcome.WITHHELD,
    }
)


class RefusalReason(enum.Enum):
    """Why the gateway itself refuses a request."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    STOPPING = "stopping"
    NODE_FULL = "node_full"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_KEY = "no_key"
    OVER_LIMIT = "over_limit"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINTS_FULL = "endpoints_full"
    ENDPOINTS_LIMITED = "endpoints_limited"
    NO_TIME_LEFT = "no_time_left"
    QUARANTINED = "quarantined"
    PART_QUARANTINED = "part_quarantined"
    RETRY_BUDGET_EMPTY = "retry_budget_empty"
    TIMEOUT = "timeout"
    OUTCOME_UNKNOWN = "outcome_unknown"


STATUS_BY_REFUSAL = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.HEADERS_TOO_LARGE: 431,
    RefusalReason.BODY_TOO_LARGE: 413,
    RefusalReason.STOPPING: 503,
    RefusalReason.NODE_FULL: 503,
    RefusalReason.NO_CONFIGURATION: 503,
    RefusalReason.NO_ROUTE: 404,
    RefusalReason.NO_KEY: 401,
    RefusalReason.OVER_LIMIT: 429,
    RefusalReason.NO_ENDPOINT: 503,
    RefusalReason.ENDPOINTS_FULL: 503,
    RefusalReason.ENDPOINTS_LIMITED: 503,
    RefusalReason.NO_TIME_LEFT: 503,
    RefusalReason.QUARANTINED: 502,
    RefusalReason.PART_QUARANTINED: 503,
    RefusalReason.RETRY_BUDGET_EMPTY: 503,
    RefusalReason.TIMEOUT: 504,
    RefusalReason.OUTCOME_UNKNOWN: 502,
}
"""429 and 503 guarantee that the request was not run; 502 and 504 do not."""
RETRY_AFTER_UNREAD_S = {
    RefusalReason.STOPPING: RETRY_ELSEWHERE_S,
    RefusalReason.NODE_FULL: RETRY_WHEN_FULL_S,
}
"""When to come back after a refusal by a node that handled nothing."""
