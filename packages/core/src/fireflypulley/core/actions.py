"""What the core asks the daemon to do."""

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
    """What engines serve first; lower goes before higher."""

    INTERACTIVE = 0
    OVER_SHARE = 5
    BACKGROUND = 10


@dataclasses.dataclass(frozen=True, slots=True)
class SendAttempt(Action):
    """Send a request to an endpoint, from where its answer stands."""

    request_id: str
    attempt_id: str
    endpoint_id: str
    priority: Priority


@dataclasses.dataclass(frozen=True, slots=True)
class CancelAttempt(Action):
    """Stop an attempt; what it still sends is dropped."""

    request_id: str
    attempt_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Finish(Action):
    """End the caller's answer: it is whole."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse(Action):
    """Give the caller a refusal as the final answer."""

    request_id: str
    refusal: problems.Refusal


@dataclasses.dataclass(frozen=True, slots=True)
class Replay(Action):
    """Give the caller the answer that the ledger kept."""

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
    """Take or renew a lease in the platform's table."""

    name: str
    ttl_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WriteEntry(Action):
    """Replace a configuration row at the version it was read at."""

    entry: configuration.Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Spread(Action):
    """Send facts to the connected peers, except the one they came from."""

    facts: tuple[facts.Fact, ...]
    except_node: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Tell(Action):
    """Send facts to one node that has a use for them."""

    to_node: str
    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AskSlot(Action):
    """Ask the owner of a cold endpoint's budget for one slot.

    A ``patient`` request leaves the last slots to others.
    """

    owner_node: str
    endpoint_id: str
    hold_s: float
    patient: bool


@dataclasses.dataclass(frozen=True, slots=True)
class GrantSlot(Action):
    """Give a node one slot of a cold endpoint, or none."""

    to_node: str
    endpoint_id: str
    granted: bool
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReturnSlot(Action):
    """Give a slot back; ``answered_well`` is None when it went unused."""

    owner_node: str
    endpoint_id: str
    expires_s: float
    answered_well: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectPeers(Action):
    """Keep node streams to just these nodes."""

    node_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DropPeer(Action):
    """Close the streams to a node whose heartbeats have stopped."""

    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TakeJob(Action):
    """Write a job's row as this node's, over a version, and load it."""

    job: job_rows.Job
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StartJob(Action):
    """Send a job's request, from the tokens that are there already."""

    job: job_rows.Job
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class WriteCheckpoint(Action):
    """Store what a job has so far, unless another node has taken it."""

    job: job_rows.Job


@dataclasses.dataclass(frozen=True, slots=True)
class EndJob(Action):
    """Store a job's text, then its final row over a version."""

    job: job_rows.Job
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class DropJob(Action):
    """Stop a job that is no longer this node's."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverJob(Action):
    """Pass a job with its text so far to another node."""

    job: job_rows.Job
    to_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class HandOver(Action):
    """Pass a request with its answer so far to another node."""

    request_id: str
    to_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class StateChanged(Action):
    """A change of state that is worth a log line."""

    subject: str
    name: str
    state: str
    detail: str = ""
