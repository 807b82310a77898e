"""What the HTTP interface needs of the node behind it."""

import abc
import dataclasses

from fireflypulley.core import ledger_rows
from fireflypulley.core import payload
from fireflypulley.core import problems


class Sink(abc.ABC):
    """Where the answer to one call goes."""

    @abc.abstractmethod
    def events(self, data: bytes) -> None:
        """Pass on SSE events that are ready to be written."""

    @abc.abstractmethod
    def finish(self, transcript: bytes) -> None:
        """End a model's answer; ``transcript`` holds all its events."""

    @abc.abstractmethod
    def answer(self, answer: ledger_rows.StoredAnswer) -> None:
        """Give a whole answer."""

    @abc.abstractmethod
    def refuse(self, refusal: problems.Refusal) -> None:
        """Give a refusal as the final answer."""

    @property
    @abc.abstractmethod
    def open(self) -> bool:
        """Return whether the caller still listens."""


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """An HTTP request, read whole.

    ``last_event_id`` is the number of events that a returning caller
    has, or None.  ``model`` is empty for plain services.
    """

    payload: payload.Payload
    token_sha256: str
    idempotency_key: str
    last_event_id: int | None
    model: str = ""
    service: str = ""


class Gateway(abc.ABC):
    """Takes calls; every one ends in its sink, exactly once."""

    @abc.abstractmethod
    def submit(self, call: Call, sink: Sink) -> None:
        """Serve a model request or a call of a plain service."""

    @abc.abstractmethod
    def caller_left(self, sink: Sink) -> None:
        """Learn that the caller of a sink closed its connection."""

    @abc.abstractmethod
    def submit_job(self, call: Call, sink: Sink) -> None:
        """Accept long work; the sink gets its status and location."""

    @abc.abstractmethod
    def job_status(self, call: Call, job_id: str, sink: Sink) -> None:
        """Give the status of a job."""

    @abc.abstractmethod
    def job_text(
        self, call: Call, job_id: str, offset: int, sink: Sink
    ) -> None:
        """Give a job's text from an offset in characters."""

    @abc.abstractmethod
    def cancel_job(self, call: Call, job_id: str, sink: Sink) -> None:
        """Stop a job."""

    @abc.abstractmethod
    def ready(self) -> bool:
        """Return whether the balancer should send callers here."""

    @abc.abstractmethod
    def metrics(self) -> bytes:
        """Return the metrics page in Prometheus' text format."""
