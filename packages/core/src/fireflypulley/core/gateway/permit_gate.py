"""What a node does with the permits it gets for limited endpoints."""

import collections.abc
import dataclasses
import enum

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import presence


class PermitReason(enum.StrEnum):
    """Why a permit was given or not.

    ISSUED, PACED: the issuer of all nodes gave it, or had none yet.
    PART, PART_USED: without an issuer, the node's own part of the limit
    allowed it or not.  UNANSWERED: the issuer did not answer in time.
    """

    ISSUED = "issued"
    PACED = "paced"
    PART = "part"
    PART_USED = "part_used"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Whether one request may be sent to a limited endpoint.

    ``wait_s`` is 0 if it may, else the time until one may be.
    """

    wait_s: float
    reason: PermitReason
    issuer: str = ""

    @property
    def is_given(self) -> bool:
        """Return whether the request may be sent now."""
        return self.wait_s <= 0.0


class PermitGate:
    """The limited endpoints that have no permit for this node yet.

    Until the time that the issuer has told, requests go elsewhere
    without asking again.
    """

    def __init__(self) -> None:
        self._closed_until_s: dict[endpoint_limits.Key, float] = {}

    def note(
        self, key: endpoint_limits.Key, permit: Permit, now_s: float
    ) -> None:
        """Record an answer of the issuer."""
        if permit.is_given:
            self._closed_until_s.pop(key, None)
        else:
            self._closed_until_s[key] = now_s + permit.wait_s

    def wait_s(self, key: endpoint_limits.Key, now_s: float) -> float:
        """Return how long not to ask for a permit for an endpoint."""
        return max(0.0, self._closed_until_s.get(key, now_s) - now_s)

    def forget_absent(
        self, present: collections.abc.Container[endpoint_limits.Key]
    ) -> None:
        """Drop endpoints that are gone."""
        presence.drop_absent(self._closed_until_s, present)


class ReturnTimes:
    """Spreads the refused callers of a service over the time to come.

    Each gets a turn of its own at the rate that this node may expect,
    after the turns of the callers that were refused before.
    """

    def __init__(self) -> None:
        self._next_s: dict[str, float] = {}

    def next_s(
        self,
        service: str,
        wait_s: float,
        rate_per_s: float,
        time_left_s: float,
        now_s: float,
    ) -> float:
        """Return when a refused caller should return.

        ``wait_s`` is the time until any endpoint has a permit.  A caller
        whose time is over before its turn takes none.
        """
        turn_s = max(self._next_s.get(service, now_s), now_s + wait_s)
        after_s = turn_s - now_s
        if after_s < time_left_s:
            self._next_s[service] = turn_s + 1.0 / rate_per_s
        return after_s
