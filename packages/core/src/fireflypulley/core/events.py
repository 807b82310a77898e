"""What the daemon tells the core."""

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

    ``tokens`` counts what an earlier owner of the request received; an
    ``accepted`` request is one that a node has taken on before.
    """

    request: requests.Request
    tokens: int = 0
    accepted: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLeft(Event):
    """The caller closed the connection before the answer's end."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptSent(Event):
    """The transport has taken the first byte of an attempt."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFirstToken(Event):
    """The first byte of an answer has come."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptEnded(Event):
    """An attempt is over; ``tokens`` counts all that the caller has.

    ``answer`` carries the whole answer of an at-most-once call.
    """

    request_id: str
    attempt_id: str
    outcome: requests.Outcome
    tokens: int = 0
    answer: ledger_rows.StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionEnded(Event):
    """A transaction on the ledger ended; indexes name the conflicts."""

    operation_id: str
    commit: ledger_rows.Commit
    conflicts: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class RowRead(Event):
    """A ledger row was read; ``failed`` when the table did not answer."""

    row_key: str
    stored: ledger_rows.VersionedRow | None
    failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesListed(Event):
    """The platform's instance list, as of some time ago."""

    endpoints: tuple[topology.Endpoint, ...]
    nodes: tuple[topology.Node, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReported(Event):
    """An endpoint reported its load."""

    endpoint_id: str
    report: topology.LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesRead(Event):
    """The configuration table answered, with what has changed."""

    entries: tuple[configuration.Entry, ...]
    asked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class EntryWritten(Event):
    """A row this node wrote is in the table."""

    entry: configuration.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseHeld(Event):
    """A lease is this node's until ``expires_s``."""

    name: str
    fencing: int
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRefused(Event):
    """Another node holds a lease, or the table did not answer."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerConnected(Event):
    """A node stream is up and both sides have proved the key."""

    node_id: str
    incarnation: int


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived(Event):
    """A heartbeat came in on a node stream."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLost(Event):
    """A node stream is gone."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FactsReceived(Event):
    """A peer passed facts on."""

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
    """The owner of a cold endpoint granted a slot, or not."""

    owner_node: str
    endpoint_id: str
    granted: bool
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturned(Event):
    """A node gave a slot back."""

    node_id: str
    endpoint_id: str
    expires_s: float
    answered_well: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class JobsRead(Event):
    """Rows of jobs were read."""

    rows: tuple[job_rows.JobRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class JobTaken(Event):
    """A job's row is this node's; ``tokens`` counts its checkpoint."""

    row: job_rows.JobRow
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobReceived(Event):
    """A leaving node handed a job over."""

    job: job_rows.Job
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobFenced(Event):
    """A write found that another node has taken the job."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobAnswered(Event):
    """A job's text is whole."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobRefused(Event):
    """A job's request was refused."""

    job_id: str
    refusal: problems.Refusal
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class JobCancelled(Event):
    """A job's caller wants no more of it."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class JobEnded(Event):
    """A job's final row is written."""

    row: job_rows.JobRow


@dataclasses.dataclass(frozen=True, slots=True)
class JobHandedOver(Event):
    """Another node runs the job now."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandedOver(Event):
    """Another node owns the request now."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Tick(Event):
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownStarted(Event):
    """The node is to leave; what it has accepted is still answered."""

    leaves_at_s: float
