"""What nodes say to each other."""

import dataclasses
import enum

from fireflypulley.core import facts
from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import peerbook
from fireflypulley.core.gateway import rows
from fireflypulley.core import job_rows
from fireflypulley.core import ledger_rows
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.core import requests


class Message:
    """Base of all messages."""

    __slots__ = ()


class Purpose(enum.StrEnum):
    """What a stream is for; only peers pass facts on."""

    PEER = "peer"
    CALL = "call"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """Who speaks, and a nonce that the other side must sign."""

    node_id: str
    incarnation: int
    purpose: Purpose
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof(Message):
    """Signatures over both nonces, one for each key of the sender."""

    signatures: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """The sender is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Facts(Message):
    """Facts that are news to the sender."""

    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk(Message):
    """Asks for a slot of a cold endpoint."""

    endpoint_id: str
    hold_s: float
    patient: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer(Message):
    """Grants a slot until ``expires_s``, or not."""

    endpoint_id: str
    granted: bool
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn(Message):
    """Gives a slot back."""

    endpoint_id: str
    expires_s: float
    answered_well: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHeld(Message):
    """The sender has the request of a key; told to the key's home."""

    key: str
    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyQuestion(Message):
    """Asks which node has the request of a key.

    With ``claim``, a key that nobody has becomes the asker's.
    """

    question_id: int
    key: str
    claim: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeyAnswer(Message):
    """Names the node, or none."""

    question_id: int
    node_id: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAsk(Message):
    """Asks for the answer of a key from an event on."""

    fetch_id: int
    key: str
    last_event_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class FetchData(Message):
    """Events of an answer, ready for the caller."""

    fetch_id: int
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class FetchEnd(Message):
    """The end of a fetched answer: whole, refused or not known here."""

    fetch_id: int
    found: bool
    refusal: problems.Refusal | None = None
    answer: ledger_rows.StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Handover(Message):
    """A request with its answer so far, for another node to go on with.

    ``job`` is set when the request runs a job.
    """

    request: requests.Request
    payload: payload.Payload
    key: str
    tokens: int
    transcript: bytes
    job: job_rows.Job | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverTaken(Message):
    """The receiver now owns the request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class States(Message):
    """States of gateway nodes that are news to the receiver."""

    states: tuple[node_states.NodeState, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rows(Message):
    """Rows of the store that the receiver does not have yet.

    ``is_whole`` tells that these are all rows of the table.
    """

    table: str
    version: int
    is_whole: bool
    rows: tuple[rows.FollowedRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction(Message):
    """A node tells where it and the nodes it knows listen."""

    nodes: tuple[peerbook.NodeEntry, ...]
