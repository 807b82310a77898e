"""The messages that nodes send to each other.

The names of the classes and their fields are part of the wire format.
"""

import dataclasses
import enum

from fireflypulley.core import facts
from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import peer_numbers
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import usage
from fireflypulley.core import job_rows
from fireflypulley.core import ledger_rows
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.core import requests


class Message:
    """Base of all messages."""

    __slots__ = ()


class Purpose(enum.StrEnum):
    """The purpose of a stream; facts are only sent to peers.

    A stream for a tunnel carries the bytes of an endpoint's connection once
    the tunnel is open.
    """

    PEER = "peer"
    CALL = "call"
    TUNNEL = "tunnel"


@dataclasses.dataclass(frozen=True, slots=True)
class Hello(Message):
    """Identifies the sender; the receiver must sign the nonce."""

    node_id: str
    incarnation: int
    purpose: Purpose
    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Proof(Message):
    """Signatures over both ``Hello`` messages, one per key of the sender.

    ``features`` names kinds of messages that older nodes can't read and
    that the sender can.
    """

    signatures: tuple[bytes, ...]
    features: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat(Message):
    """The sender is alive."""


@dataclasses.dataclass(frozen=True, slots=True)
class Facts(Message):
    """Facts that the sender has learned."""

    facts: tuple[facts.Fact, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk(Message):
    """Requests a slot of a cold endpoint."""

    endpoint_id: str
    hold_s: float
    patient: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer(Message):
    """Grants a slot until ``expires_s``, or denies it."""

    endpoint_id: str
    granted: bool
    expires_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn(Message):
    """Releases a slot."""

    endpoint_id: str
    expires_s: float
    answered_well: bool | None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyHeld(Message):
    """Reports which node holds a key's request to the key's directory node."""

    key: str
    node_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class KeyQuestion(Message):
    """Asks which node holds the request of a key.

    With ``claim``, a key that no node holds is assigned to the sender.
    """

    question_id: int
    key: str
    claim: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeyAnswer(Message):
    """Names the node that holds a key, None if there is none."""

    question_id: int
    node_id: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchAsk(Message):
    """Requests the events of a key's answer after ``last_event_id``.

    ``fingerprint`` is that of the caller's request; an older node leaves it
    out.
    """

    fetch_id: int
    key: str
    last_event_id: int
    fingerprint: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchData(Message):
    """Events of an answer, in the form that callers receive.

    ``offset_bytes`` is what was sent of the fetch before; an older node
    leaves it out.
    """

    fetch_id: int
    data: bytes
    offset_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class FetchEnd(Message):
    """Ends a fetch: the answer is complete, refused or not found.

    ``sent_bytes`` is what was sent of the fetch in all; an older node
    leaves it out.
    """

    fetch_id: int
    found: bool
    refusal: problems.Refusal | None = None
    answer: ledger_rows.StoredAnswer | None = None
    sent_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Handover(Message):
    """Transfers a request and its partial answer to another node.

    ``job`` is set if the request runs a job.
    """

    request: requests.Request
    payload: payload.Payload
    key: str
    tokens: int
    transcript: bytes
    job: job_rows.Job | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverTaken(Message):
    """Confirms that the receiver of a ``Handover`` now owns the request."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class States(Message):
    """States of gateway nodes that the receiver does not have yet."""

    states: tuple[node_states.NodeState, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rows(Message):
    """Rows of the store that the receiver does not have yet.

    ``is_whole`` means that these are all rows of the table.  If not, they
    are all that changed between the versions ``after`` and ``version``;
    older nodes do not state ``after``.  The store may have had the changes
    for ``age_s`` when the message was sent; older nodes state 0.
    """

    table: str
    version: int
    is_whole: bool
    rows: tuple[rows.FollowedRow, ...]
    after: int | None = None
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Introduction(Message):
    """Lists the addresses of the sender and of the nodes it knows."""

    nodes: tuple[peer_registry.NodeEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelRequest(Message):
    """Asks the receiver to connect this stream to a start of an endpoint.

    The address is that of the endpoint's entry as the receiver knows it.
    """

    endpoint_id: str
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelResponse(Message):
    """Opens the tunnel if ``problem`` is empty.

    What follows are ``TunnelData`` and ``TunnelEnd``, or bare bytes if one
    of the two nodes can't read these.  ``endpoint_failed`` tells that the
    endpoint took no connection.  A node that stops opens a tunnel for one
    request, and carries it for ``carries_for_s``.
    """

    problem: str
    endpoint_failed: bool = False
    carries_for_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelData(Message):
    """A piece of what a connection through a tunnel carries."""

    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelEnd(Message):
    """The connection beyond the tunnel was closed in order.

    A stream that is lost without it has broken the connection off.
    ``taken_bytes`` is how many of the bytes sent to it the connection took;
    None if the sender is too old to tell.
    """

    taken_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TunnelClosing(Message):
    """The sender stops: no further request may go through the tunnel.

    For ``carries_for_s`` it opens tunnels for single requests; None if it
    opens no more.
    """

    carries_for_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReports(Message):
    """Limits of endpoints that the receiver may not know yet."""

    limits: tuple[endpoint_limits.EndpointLimit, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReports(Message):
    """Usage of windows as holders of the duty have decided on."""

    reports: tuple[usage.UsageReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReports(Message):
    """Crashes of endpoints that the receiver may not know all of yet."""

    reports: tuple[prompt_crashes.CrashReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingReports(Message):
    """Endpoints that leave, of which the receiver may not know all yet."""

    reports: tuple[leaving_reports.LeavingReport, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest(Message):
    """Requests a permit for one request to a limited endpoint.

    ``path`` are the nodes that it came through, the first is the one
    that asks.
    """

    number: int
    limit: endpoint_limits.EndpointLimit
    path: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PermitResponse(Message):
    """Issues a permit if ``wait_s`` is 0, else tells the time to wait.

    ``path`` are the nodes that it has still to go through.
    """

    number: int
    wait_s: peer_numbers.Amount
    issuer: str
    path: tuple[str, ...]
