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


FAILED_CALLERS = frozenset({CallerEnd.DEAD, CallerEnd.TOO_SLOW})
"""Ends by which a caller's answer is lost for what the caller did."""


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """What a slow caller may cost.

    A caller that has unread bytes must take some of them every ``stall_s``.
    """

    stall_s: float = 30.0
