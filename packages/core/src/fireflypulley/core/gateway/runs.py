"""Attempts of a request at endpoints, and how a request may end."""

import dataclasses

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import loads


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request that is not served, and when to come back."""

    reason: calls.RefusalReason
    retry_after_s: float | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """What was known when an endpoint was chosen.

    ``usable`` endpoints of the service could be used at all, ``open``
    had room and ``sound`` were not doubted; ``running`` and
    ``waiting_tokens`` are those of all nodes at the chosen one.  With
    ``last_resort`` only endpoints that leave had room.
    """

    usable: int
    open: int
    sound: int
    running: int
    waiting_tokens: int
    last_resort: bool = False


@dataclasses.dataclass(slots=True)
class Run:
    """One attempt under way at an endpoint.

    ``removed_before_s`` is how long the endpoint's entry had been gone
    when the request was sent, None when it was there.
    """

    request: calls.AdmittedRequest
    member: fleet.Member
    load: loads.EndpointLoad
    tokens: int
    began_s: float
    choice: Choice
    removed_before_s: float | None = None
    first_event_s: float | None = None
    first_event_id: int | None = None
    pause_measured: bool = False
    observed: bool = False
    is_over: bool = False

    @property
    def address(self) -> str:
        """Return where the endpoint listens."""
        return self.member.registration.address


@dataclasses.dataclass(slots=True)
class AttemptCounts:
    """How far a request has come.

    ``choices`` counts the endpoints chosen, ``arrivals`` those that its
    bytes may have reached, ``runs`` those that may have run it.
    """

    choices: int = 0
    arrivals: int = 0
    runs: int = 0
