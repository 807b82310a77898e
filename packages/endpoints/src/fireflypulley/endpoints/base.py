"""Interfaces of an attempt to run a request on an endpoint."""

import abc
import dataclasses

from fireflypulley.core import payload
from fireflypulley.core import requests


@dataclasses.dataclass(frozen=True, slots=True)
class Resume:
    """The part of an answer that the caller has already received."""

    text: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptRequest:
    """What to send to which address.

    ``fencing`` is sent as the fencing token unless it is None.
    """

    attempt_id: str
    address: str
    payload: payload.Payload
    idempotency_key: str = ""
    fencing: int | None = None
    resume: Resume | None = None
    priority: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer that is not a stream."""

    status: int
    content_type: str
    body: bytes


class AttemptListener(abc.ABC):
    """Is notified of an attempt's progress; ``ended`` is the last call."""

    @abc.abstractmethod
    def sent(self) -> None:
        """Handle the start of writing the request."""

    def received(self, size_bytes: int) -> None:
        """Handle bytes that the attempt keeps until its end."""

    @abc.abstractmethod
    def frames(self, frames: list[bytes]) -> None:
        """Handle received SSE events, one token each."""

    @abc.abstractmethod
    def ended(self, outcome: requests.Outcome, answer: Answer | None) -> None:
        """Handle the end of the attempt."""


class Attempt(abc.ABC):
    """An attempt in progress."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Stop the attempt without notifying the listener."""

    @abc.abstractmethod
    def check_idle(self, now_s: float) -> None:
        """End the attempt as a timeout if its endpoint is idle too long."""
