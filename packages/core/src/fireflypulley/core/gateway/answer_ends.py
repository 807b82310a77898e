"""How the ends of answers are told, and what else ends at that moment."""

import collections
import dataclasses
import enum

SETTLE_S = 0.03
"""A process that ends closes its connections within this time, though not
all in the same moment."""
PROOF_TIMEOUT_S = 0.6
"""How long the end of an answer is held back until its endpoint has shown
that it goes on."""
MAX_LOSSES = 512
"""More than an endpoint has connections to one node."""


class Framing(enum.Enum):
    """What tells where the body of an answer ends."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Doubt(enum.Enum):
    """Why a close is not taken for the end of an answer."""

    UNREACHED = "endpoint takes no new connection"
    LOST_BESIDE = "other connections were lost in that moment"
    LOST_AFTER = "a new connection was lost at once"
    LATE = "endpoint took no new connection in time"
    UNSENT = "endpoint closed before it had the whole request"


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerEnd:
    """The end of an answer that is complete according to its framing.

    ``request_number`` is 1 for the first request of its connection, and
    ``lost_beside`` is how many other connections to its endpoint were lost
    in that moment.
    """

    framing: Framing
    body_bytes: int
    request_number: int
    lost_beside: int


class ConnectionLosses:
    """When connections to one endpoint ended that should have gone on.

    An idle connection should, and so should one with an answer under way,
    unless the answer ends with its connection.
    """

    def __init__(self) -> None:
        self._times_s: collections.deque[float]
        self._times_s = collections.deque(maxlen=MAX_LOSSES)

    def note(self, now_s: float) -> None:
        """Record that a connection was lost."""
        self._times_s.append(now_s)

    def count(self, from_s: float, until_s: float) -> int:
        """Return how many were lost in a time, with its ends."""
        return sum(from_s <= lost_s <= until_s for lost_s in self._times_s)
