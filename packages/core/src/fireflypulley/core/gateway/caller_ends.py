"""Why connections of callers end, and what a slow caller may cost."""

import dataclasses
import enum


class CallerEnd(enum.Enum):
    """Why a caller's connection ended, as far as this node can tell."""

    LEFT = "left"
    DEAD = "dead"
    TOO_SLOW = "too slow"
    IDLE = "idle"
    MALFORMED = "malformed"
    BROKEN_OFF = "broken off"
    """The answer could not become complete."""
    ANSWERED = "answered"
    """The last answer that the connection could carry was sent."""
    STOPPING = "node stops"
    NODE_FULL = "node full"
    """The node needed the memory or the descriptor for others."""


FAILED_CALLERS = frozenset({CallerEnd.DEAD, CallerEnd.TOO_SLOW})
"""Ends by which a caller's answer is lost for what the caller did."""


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """What became of an answer that was complete at this node.

    ``unsent_bytes`` of it had not reached the caller's machine when the
    connection ended, for the reason ``end``; that is None if all had.
    """

    unsent_bytes: int = 0
    end: CallerEnd | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """What slow callers may cost.

    A caller that has unread bytes must take some of them every ``stall_s``.
    At most ``held_bytes`` wait for one caller, and the rest of an event;
    an answer that is not longer frees its endpoint.  When more than
    ``total_held_bytes`` wait for all callers of a node, the answer of
    which most waits is ended.
    """

    stall_s: float = 30.0
    held_bytes: int = 1 << 18
    total_held_bytes: int = 1 << 24
