"""The interface between the callers' HTTP site and the node."""

import abc
import dataclasses

from fireflypulley.core import ledger_rows
from fireflypulley.core import payload
from fireflypulley.core import problems

NO_EVENT = -1
"""Stands for the last event of a caller that has none."""


class Sink(abc.ABC):
    """Receives the answer to one call."""

    @abc.abstractmethod
    def events(self, data: bytes) -> None:
        """Send encoded server-sent events."""

    @abc.abstractmethod
    def finish(self, transcript: bytes) -> None:
        """End a model's answer; ``transcript`` holds all of its events."""

    @abc.abstractmethod
    def answer(self, answer: ledger_rows.StoredAnswer) -> None:
        """Send a complete answer."""

    @abc.abstractmethod
    def refuse(self, refusal: problems.Refusal) -> None:
        """Send a refusal as the final answer."""

    def give_up(self) -> None:
        """Break the answer off, as the node needs the memory.

        The run may go on, if it has a key.
        """
        self.refuse(
            problems.Refusal(
                problems.Reason.OUTCOME_UNKNOWN,
                problems.Run.UNKNOWN,
                "the node needs the memory of the answer",
            )
        )

    @property
    @abc.abstractmethod
    def open(self) -> bool:
        """Return whether the answer can still be sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A complete HTTP request.

    ``last_event_id`` is the id of the last event that a reconnecting
    caller has, ``NO_EVENT`` if it takes a document, or None.  ``model`` is
    empty for plain services.
    """

    payload: payload.Payload
    token_sha256: str
    idempotency_key: str
    last_event_id: int | None
    model: str = ""
    service: str = ""


class Gateway(abc.ABC):
    """Serves calls; each sink is ended exactly once."""

    @abc.abstractmethod
    def submit(self, call: Call, sink: Sink) -> None:
        """Serve a model request or a call of a plain service."""

    @abc.abstractmethod
    def caller_left(self, sink: Sink) -> None:
        """Handle the disconnect of the caller of a sink."""

    @abc.abstractmethod
    def submit_job(self, call: Call, sink: Sink) -> None:
        """Accept a job; send its status and location."""

    @abc.abstractmethod
    def job_status(self, call: Call, job_id: str, sink: Sink) -> None:
        """Send the status of a job."""

    @abc.abstractmethod
    def job_text(
        self, call: Call, job_id: str, offset: int, sink: Sink
    ) -> None:
        """Send a job's text from an offset in characters."""

    @abc.abstractmethod
    def cancel_job(self, call: Call, job_id: str, sink: Sink) -> None:
        """Cancel a job."""

    @abc.abstractmethod
    def ready(self) -> bool:
        """Return whether the load balancer should use this node."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Return the metrics page in Prometheus' text format."""
