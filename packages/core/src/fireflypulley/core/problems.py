"""The reasons for refusals and retries, and the state of execution."""

import dataclasses
import enum


class Run(enum.StrEnum):
    """Whether a refused request was executed."""

    NOT_RUN = "not-run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Why a request was refused; each value has its own counter."""

    NO_CREDENTIALS = "no-credentials"
    BAD_CREDENTIALS = "bad-credentials"
    BAD_REQUEST = "bad-request"
    NO_ROUTE = "no-route"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    TOO_LARGE = "too-large"
    KEY_REQUIRED = "idempotency-key-required"
    KEY_REUSED = "idempotency-key-reused"
    IN_PROGRESS = "in-progress"
    NO_ENDPOINT = "no-endpoint"
    QUEUE_FULL = "queue-full"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DEADLINE_EXCEEDED = "deadline-exceeded"
    RETRIES_EXHAUSTED = "retries-exhausted"
    RETRY_BUDGET_EMPTY = "retry-budget-empty"
    QUARANTINED = "quarantined"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    CLAIM_LAPSED = "claim-lapsed"
    OUTCOME_UNKNOWN = "outcome-unknown"
    STORE_UNAVAILABLE = "store-unavailable"
    NOT_FOUND = "not-found"
    CALLER_LEFT = "caller-left"


class RetryReason(enum.StrEnum):
    """Why an attempt was retried; each value has its own counter."""

    UNREACHABLE = "unreachable"
    CUT = "cut"
    BUSY = "busy"
    SERVER_ERROR = "server-error"
    INVALID = "garbage"
    TIMEOUT = "timeout"
    LEAVING = "endpoint-leaving"


_STATUS = {
    Reason.NO_CREDENTIALS: 401,
    Reason.BAD_CREDENTIALS: 401,
    Reason.BAD_REQUEST: 400,
    Reason.NO_ROUTE: 404,
    Reason.NOT_FOUND: 404,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.TOO_LARGE: 413,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.IN_PROGRESS: 409,
    Reason.QUEUE_FULL: 429,
    Reason.RETRIES_EXHAUSTED: 502,
    Reason.QUARANTINED: 422,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.DEADLINE_EXCEEDED: 504,
}
_DEFAULT_STATUS = 503


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The final response to a request that has no result.

    ``retry_after_s`` is the time to wait before a retry; ``None`` means
    that a retry of the same request cannot succeed.
    """

    reason: Reason
    run: Run
    detail: str
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status code."""
        return _STATUS.get(self.reason, _DEFAULT_STATUS)
