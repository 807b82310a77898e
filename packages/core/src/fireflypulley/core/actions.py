"""The actions that the core returns for the daemon to carry out."""

import dataclasses
import enum

from fireflypulley.core import configuration
from fireflypulley.core import facts
from fireflypulley.core import job_rows
from fireflypulley.core import ledger_rows
from fireflypulley.core import problems


class Action:
    """Base of all actions."""

    __slots__ = ()


class Priority(enum.IntEnum):
    """The order in which engines serve requests, lowest value first."""

    INTERACTIVE = 0
    OVER_SHARE = 5
    BACKGROUND = 10


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempt(Action):
    """Send a request to an endpoint, continuing any partial response."""

    request_id: str
    attempt_id: str
    endpoint_id: str
    priority: Priority


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Stop an attempt and drop any further output of it."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish(Action):
    """Finish the response to the caller: it is complete."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(Action):
    """Send the caller a refusal as the final response."""

    request_id: str
    refusal: problems.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Replay(Action):
    """Send the caller the response stored in the ledger."""

    request_id: str
    answer: ledger_rows.StoredAnswer


@dataclasses.dataclass(frozen=True, slots=True)
class Transact(Action):
    """Write ledger rows in one transaction."""

    operation_id: str
    writes: tuple[ledger_rows.RowWrite, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReadRow(Action):
    """Read one ledger row."""

    row_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class AskLease(Action):
    """Acquire or renew a lease in the platform's table."""

    name: str
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntry(Action):
    """Replace a configuration row if it is still at the version read."""

    entry: configuration.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Spread(Action):
    """Broadcast facts to the connected peers, except their sender."""

    facts: tuple[facts.Fact, ...]
    except_node: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tell(Action):
    """Send facts to the one node that needs them."""

    to_node: str
    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskSlot(Action):
    """Ask the owner of a cold endpoint's budget for one slot.

    A ``patient`` request can wait: it does not get the last slots,
    which are reserved for interactive requests.
    """

    owner_node: str
    endpoint_id: str
    hold_s: float
    patient: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantSlot(Action):
    """Grant or deny a node one slot of a cold endpoint."""

    to_node: str
    endpoint_id: str
    granted: bool
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnSlot(Action):
    """Return a slot; ``answered_well`` is None when it was not used."""

    owner_node: str
    endpoint_id: str
    expires_s: float
    answered_well: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectPeers(Action):
    """Keep outgoing node streams to exactly these nodes."""

    node_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DropPeer(Action):
    """Close the streams to a node whose heartbeats have stopped."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeJob(Action):
    """Write this node as a job's owner over a version, then load the job."""

    job: job_rows.Job
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartJob(Action):
    """Send a job's request, continuing after the tokens it already has."""

    job: job_rows.Job
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCheckpoint(Action):
    """Store a job's partial text, unless another node owns the job now."""

    job: job_rows.Job


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob(Action):
    """Store a job's text, then its final row over a version."""

    job: job_rows.Job
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DropJob(Action):
    """Stop a job that this node no longer owns."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverJob(Action):
    """Hand a job and its partial text over to another node."""

    job: job_rows.Job
    to_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver(Action):
    """Hand a request and its partial response over to another node."""

    request_id: str
    to_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged(Action):
    """A change of state to be logged."""

    subject: str
    name: str
    state: str
    detail: str = ""
