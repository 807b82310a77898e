"""Attempts of a request at endpoints, and how a request may end."""

import dataclasses
import enum

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import loads
from fireflypulley.core.gateway import permit_gate
from fireflypulley.core.gateway import prompt_crashes


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request is refused, and when the caller may retry."""

    reason: calls.RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


class RetryObstacle(enum.Enum):
    """Why no attempt may follow another; the value is for the log."""

    PART = "the caller has a part"
    AT_MOST_ONCE = "may run at most once"
    ATTEMPTS = "attempts used up"
    BUDGET = "retry budget used up"


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """A retry that was allowed after an attempt ended or was late."""

    service: str
    outcome: calls.Outcome
    granted_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The situation when an endpoint was chosen, for the log.

    ``usable`` endpoints of the service were allowed, ``open`` of these
    had room and ``sound`` of these were not suspected; ``running`` and
    ``waiting_tokens`` are the load of all nodes on the chosen one.  With
    ``last_resort`` only leaving endpoints had room.
    """

    usable: int
    open: int
    sound: int
    running: int
    waiting_tokens: int
    last_resort: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt in progress at an endpoint.

    ``removed_before_s`` is how long before sending the endpoint's entry
    had been removed, None if it was present.  ``sent_s`` is when the
    request was sent, None before.  A run at a limited endpoint has the
    ``permit`` that it got or was refused, the limit and how long ago the
    limit was last named.  ``events`` counts the parts of a stream that
    arrived with whole events, and ``ended_s`` is when the run was over.
    While a run ``is_held`` this node reads nothing of its answer, since the
    caller reads too slowly; the times of one that ``was_held`` say nothing
    about its endpoint.
    """

    request: calls.AdmittedRequest
    member: fleet.Member
    load: loads.EndpointLoad
    tokens: int
    began_s: float
    choice: Choice
    sent_s: float | None = None
    permit: permit_gate.Permit | None = None
    limit_per_s: float | None = None
    limit_age_s: float = 0.0
    removed_before_s: float | None = None
    first_event_s: float | None = None
    first_event_id: int | None = None
    pause_measured: bool = False
    observed: bool = False
    is_over: bool = False
    events: int = 0
    ended_s: float = 0.0
    is_held: bool = False
    was_held: bool = False

    def hold(self) -> None:
        """Record that this node stops to read the answer."""
        if self.is_held or self.is_over:
            return
        self.is_held = self.was_held = True
        self.load.hold()

    def release(self, now_s: float) -> None:
        """Record that this node reads the answer again."""
        if not self.is_held or self.is_over:
            return
        self.is_held = False
        self.load.release(now_s)

    def is_unresponsive(self, now_s: float) -> bool:
        """Return whether the endpoint sends nothing that is read here."""
        return not self.is_held and self.load.is_unresponsive(now_s)

    @property
    def has_begun(self) -> bool:
        """Return whether the endpoint certainly began to answer."""
        return self.events >= prompt_crashes.PROVEN_EVENTS

    @property
    def address(self) -> str:
        """Return where the endpoint listens."""
        return self.member.registration.address


@dataclasses.dataclass(slots=True)
class AttemptCounts:
    """Counts of a request's attempts.

    ``choices`` counts the endpoints chosen, ``arrivals`` those that
    received bytes of it, ``runs`` those that may have run it and
    ``withheld`` those that it was not sent to for want of a permit.
    """

    choices: int = 0
    arrivals: int = 0
    runs: int = 0
    withheld: int = 0
