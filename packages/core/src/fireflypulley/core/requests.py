"""The state of a request and of its attempts.

A refusal derives from this state whether the request was executed: if no
attempt has sent a byte of it, it was not.
"""

import dataclasses
import enum

from fireflypulley.core import facts
from fireflypulley.core import problems
from fireflypulley.core import topology
from fireflypulley.core import warmup


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The metadata of a request; the core does not see the body.

    ``deadline_s`` is a Unix time.  ``fingerprint`` is equal for equal
    requests; ``prefix`` is equal for prompts with the same beginning.
    Background requests use only idle endpoints until ``urgent_from_s``.
    """

    request_id: str
    workspace: str
    route: str
    service: str
    kind: topology.ServiceKind
    deadline_s: float
    fingerprint: str
    prefix: str = ""
    at_most_once: bool = False
    idempotency_key: str = ""
    background: bool = False
    urgent_from_s: float = 0.0


class Phase(enum.StrEnum):
    """The processing phase of a request."""

    QUEUED = "queued"
    CLAIMING = "claiming"
    DISPATCHED = "dispatched"
    SENT = "sent"
    STREAMING = "streaming"
    ENDED = "ended"


class Outcome(enum.StrEnum):
    """How an attempt ended.

    UNREACHABLE: nothing was sent.  CUT: the connection was lost after
    the request was sent.  INVALID: the response was malformed or too
    large.
    """

    COMPLETE = "complete"
    UNREACHABLE = "unreachable"
    BUSY = "busy"
    SERVER_ERROR = "server-error"
    CUT = "cut"
    INVALID = "garbage"
    TIMEOUT = "timeout"
    CANCELLED = "cancelled"


RETRY_REASONS = {
    Outcome.UNREACHABLE: problems.RetryReason.UNREACHABLE,
    Outcome.BUSY: problems.RetryReason.BUSY,
    Outcome.SERVER_ERROR: problems.RetryReason.SERVER_ERROR,
    Outcome.CUT: problems.RetryReason.CUT,
    Outcome.INVALID: problems.RetryReason.INVALID,
    Outcome.TIMEOUT: problems.RetryReason.TIMEOUT,
}


@dataclasses.dataclass(slots=True)
class Attempt:
    """One try of a request at one endpoint."""

    attempt_id: str
    endpoint_id: str
    arm: facts.Arm | None
    started_s: float
    sent_s: float | None = None
    first_token_s: float | None = None
    isolated: bool = False
    slot: warmup.Slot | None = None
    observed: bool = False
    over_share: bool = False


@dataclasses.dataclass(slots=True)
class Progress:
    """A request with its attempts so far."""

    request: Request
    arrived_s: float
    phase: Phase = Phase.QUEUED
    attempt: Attempt | None = None
    attempt_count: int = 0
    ever_sent: bool = False
    claimed_s: float | None = None
    claim_requested: bool = False
    tokens: int = 0
    avoided_endpoints: set[str] = dataclasses.field(default_factory=set)
    old_version_only: bool = False

    def begin(self, attempt: Attempt) -> None:
        """Set a new running attempt."""
        self.attempt = attempt
        self.attempt_count += 1
        self.phase = Phase.DISPATCHED

    def is_current(self, attempt_id: str) -> bool:
        """Return whether an event belongs to the running attempt."""
        return (
            self.attempt is not None and self.attempt.attempt_id == attempt_id
        )

    def mark_sent(self, now_s: float) -> None:
        """Record that bytes of the request were sent."""
        self.ever_sent = True
        self.phase = Phase.SENT
        if self.attempt is not None and self.attempt.sent_s is None:
            self.attempt.sent_s = now_s

    def mark_streaming(self, now_s: float) -> None:
        """Record the first token of the running attempt."""
        self.phase = Phase.STREAMING
        if self.attempt is not None and self.attempt.first_token_s is None:
            self.attempt.first_token_s = now_s

    @property
    def run(self) -> problems.Run:
        """Return what a refusal must state about the execution."""
        if not self.ever_sent:
            return problems.Run.NOT_RUN
        if self.request.at_most_once:
            return problems.Run.UNKNOWN
        return problems.Run.FAILED
