"""The events that the daemon passes to the core."""

import dataclasses

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core import job_rows
from fireflypulley.core import ledger_rows
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import topology


class Event:
    """Base of all events."""

    __slots__ = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived(Event):
    """A caller's request has been read and authenticated.

    ``tokens`` counts the tokens that an earlier owner of the request
    received; an ``accepted`` request is one that some node has already
    accepted.
    """

    request: requests.Request
    tokens: int = 0
    accepted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed the connection before the response was complete."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSent(Event):
    """The transport has accepted the first byte of an attempt."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFirstToken(Event):
    """The first byte of a response has arrived."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt ended; ``tokens`` counts all tokens sent to the caller.

    ``answer`` carries the complete response of an at-most-once call.
    """

    request_id: str
    attempt_id: str
    outcome: requests.Outcome
    tokens: int = 0
    answer: ledger_rows.StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionEnded(Event):
    """A ledger transaction ended; ``conflicts`` indexes its writes."""

    operation_id: str
    commit: ledger_rows.Commit
    conflicts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead(Event):
    """A ledger row was read; ``failed`` if the table did not respond."""

    row_key: str
    stored: ledger_rows.VersionedRow | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed(Event):
    """The platform's instance list, which may lag."""

    endpoints: tuple[topology.Endpoint, ...]
    nodes: tuple[topology.Node, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """An endpoint reported its load."""

    endpoint_id: str
    report: topology.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesRead(Event):
    """The configuration table responded with its changed entries."""

    entries: tuple[configuration.Entry, ...]
    asked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryWritten(Event):
    """A row was written to the table by this node."""

    entry: configuration.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseHeld(Event):
    """This node holds a lease until ``expires_s``."""

    name: str
    fencing: int
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRefused(Event):
    """Another node holds a lease, or the table did not respond."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A node stream is open and both sides are authenticated."""

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived(Event):
    """A heartbeat was received on a node stream."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """A node stream has closed."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FactsReceived(Event):
    """A peer sent facts."""

    node_id: str
    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsked(Event):
    """A node asks for a slot of a cold endpoint that this node owns."""

    node_id: str
    endpoint_id: str
    hold_s: float
    patient: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswered(Event):
    """The owner of a cold endpoint granted or denied a slot."""

    owner_node: str
    endpoint_id: str
    granted: bool
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturned(Event):
    """A node returned a slot."""

    node_id: str
    endpoint_id: str
    expires_s: float
    answered_well: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobsRead(Event):
    """Job rows were read."""

    rows: tuple[job_rows.JobRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobTaken(Event):
    """This node now owns a job; ``tokens`` counts its checkpoint.

    ``restarts`` is set if what this node has run of it was given up.
    """

    row: job_rows.JobRow
    tokens: int
    restarts: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class JobReceived(Event):
    """A leaving node handed a job over."""

    job: job_rows.Job
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobFenced(Event):
    """A write was rejected because another node has taken the job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswered(Event):
    """A job's text is complete."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused(Event):
    """A job's request was refused."""

    job_id: str
    refusal: problems.Refusal
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled(Event):
    """A job's caller cancelled it."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded(Event):
    """A job's final row has been written."""

    row: job_rows.JobRow


@dataclasses.dataclass(frozen=True, slots=True)
class JobHandedOver(Event):
    """Another node has taken over the job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver(Event):
    """Another node has taken over the request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStarted(Event):
    """The node shuts down gracefully: it finishes its accepted requests."""

    leaves_at_s: float
