"""One attempt of a request at one endpoint."""

import abc
import dataclasses

from fireflypulley.core import payload
from fireflypulley.core import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """What the caller has of an answer already."""

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequest:
    """What to send where.  ``fencing`` goes along where it is set."""

    attempt_id: str
    address: str
    payload: payload.Payload
    idempotency_key: str = ""
    fencing: int | None = None
    resume: Resume | None = None
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer that is no stream."""

    status: int
    content_type: str
    body: bytes


class AttemptListener(abc.ABC):
    """Hears of an attempt; nothing comes after ``ended``."""

    @abc.abstractmethod
    def sent(self) -> None:
        """The first byte of the request is being written."""

    @abc.abstractmethod
    def frames(self, frames: list[bytes]) -> None:
        """Whole SSE events have come, each one token."""

    @abc.abstractmethod
    def ended(self, outcome: requests.Outcome, answer: Answer | None) -> None:
        """The attempt is over."""


class Attempt(abc.ABC):
    """An attempt under way."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop; the listener hears no more."""

    @abc.abstractmethod
    def check_idle(self, now_s: float) -> None:
        """End the attempt as a timeout when its endpoint is silent."""
