"""The rows that record requests which may run at most once."""

import base64
import dataclasses
import enum


class RowState(enum.StrEnum):
    """Where the request of a row stands."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A whole answer, kept for callers that ask again."""

    status: int
    content_type: str
    body_base64: str

    @property
    def body(self) -> bytes:
        """Return the body."""
        return base64.b64decode(self.body_base64)


def stored_answer(status: int, content_type: str, body: bytes) -> StoredAnswer:
    """Return an answer in the form that rows keep."""
    text = base64.b64encode(body).decode()
    return StoredAnswer(status, content_type, text)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One at-most-once record; times are Unix times.

    ``answer_by_s`` is when the claimant gives up, so that a reader may
    then call the outcome unknown.
    """

    fingerprint: str
    state: RowState
    node_id: str
    operation_id: str
    claimed_s: float
    answer_by_s: float
    answer: StoredAnswer | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedRow:
    """A row as read, with the version that a write must match."""

    row: Row
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write; ``version`` None means that no row exists."""

    row_key: str
    row: Row
    version: int | None


class Commit(enum.StrEnum):
    """How a transaction ended; LOST may have taken effect."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


def row_key(workspace: str, idempotency_key: str) -> str:
    """Return the table key of a request's row."""
    return f"{workspace}/{idempotency_key}"
