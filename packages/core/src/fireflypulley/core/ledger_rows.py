"""The stored rows of at-most-once requests."""

import base64
import dataclasses
import enum


class RowState(enum.StrEnum):
    """The state of a row's request."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


@dataclasses.dataclass(frozen=True, slots=True)
class StoredAnswer:
    """A complete response, stored for callers that repeat the request."""

    status: int
    content_type: str
    body_base64: str

    @property
    def body(self) -> bytes:
        """Return the decoded body."""
        return base64.b64decode(self.body_base64)


def stored_answer(status: int, content_type: str, body: bytes) -> StoredAnswer:
    """Return a response in the form stored in rows."""
    text = base64.b64encode(body).decode()
    return StoredAnswer(status, content_type, text)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One at-most-once record; times are Unix times.

    ``answer_by_s`` is some time after the request's deadline.  After it,
    other nodes may record the outcome as unknown.
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
    """A row as read, with the version for a conditional write."""

    row: Row
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A conditional write; ``version`` None requires that no row exists."""

    row_key: str
    row: Row
    version: int | None


class Commit(enum.StrEnum):
    """The result of a transaction; LOST may have taken effect."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    LOST = "lost"


def row_key(workspace: str, idempotency_key: str) -> str:
    """Return the table key of a request's row."""
    return f"{workspace}/{idempotency_key}"
