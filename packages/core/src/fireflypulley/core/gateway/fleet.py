"""The endpoints as they register themselves, by id and start."""

import collections.abc
import dataclasses
import math

LAST_RESORT_FRACTION = 0.75
"""Of the time that an endpoint serves on once it leaves or its entry is
gone.  The rest is for nodes that hear of it later, and for requests on
their way."""
OUTAGE_GRACE_S = 2.5
"""Entries that lapsed in an outage are back within two seconds of its end;
when no other endpoint of a service is left, they are kept for so long."""


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What an endpoint says of itself.

    ``started_ms`` tells apart the starts under one id.  ``cold_s`` is how
    long it stays cold from the moment at which it said so.
    """

    endpoint_id: str
    service: str
    address: str
    failure_domain: str
    version: str
    slots: int
    started_ms: int = 0
    leaving: bool = False
    leaves_in_s: float | None = None
    cold_s: float = 0.0
    reclaimable: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return what identifies one start of an endpoint."""
        return self.endpoint_id, self.started_ms


@dataclasses.dataclass(slots=True)
class Member:
    """An endpoint that is there; ``leaving`` stays true once it was.

    Between ``going_s``, when it began to leave or its entry was removed,
    and ``ends_s`` it surely still serves.
    """

    registration: Registration
    cold_until_s: float = 0.0
    leaving: bool = False
    removed_s: float | None = None
    may_have_lapsed: bool = False
    removed_in_outage: bool = False
    leaving_since_s: float | None = None
    serves_until_s: float = math.inf

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint's id."""
        return self.registration.endpoint_id

    def is_same(self, other: "Member") -> bool:
        """Return whether another entry says nothing new of the endpoint."""
        same_start = self.registration.key == other.registration.key
        if not same_start or self.removed_s is not None:
            return False
        return self.leaving == other.leaving

    def is_cold(self, now_s: float) -> bool:
        """Return whether the endpoint bears little load yet."""
        return now_s < self.cold_until_s


class Fleet:
    """The endpoints that are registered, or were a moment ago."""

    def __init__(self, drain_s: float) -> None:
        self._drain_s = drain_s
        self._last_resort_s = drain_s * LAST_RESORT_FRACTION
        self._members: dict[str, Member] = {}
        self._leaving_s: dict[tuple[str, int], float] = {}

    def __iter__(self) -> collections.abc.Iterator[Member]:
        return iter(self._members.values())

    def get(self, endpoint_id: str) -> Member | None:
        """Return an endpoint."""
        return self._members.get(endpoint_id)

    def of_service(self, service: str) -> list[Member]:
        """Return the endpoints of a service."""
        return [
            member
            for member in self._members.values()
            if member.registration.service == service
        ]

    def put(self, registration: Registration, now_s: float) -> Member:
        """Take in an entry; leaving is final for one start."""
        member = Member(registration)
        member.cold_until_s = now_s + registration.cold_s
        key = registration.key
        member.leaving = registration.leaving or key in self._leaving_s
        if member.leaving:
            self._note_leaving(member, now_s)
        self._members[registration.endpoint_id] = member
        return member

    def _note_leaving(self, member: Member, now_s: float) -> None:
        key = member.registration.key
        member.leaving_since_s = self._leaving_s.setdefault(key, now_s)
        member.serves_until_s = member.leaving_since_s + self._drain_s
        leaves_in_s = member.registration.leaves_in_s
        if leaves_in_s is not None:
            member.serves_until_s = min(
                member.serves_until_s, now_s + leaves_in_s
            )

    def remove(
        self,
        endpoint_id: str,
        now_s: float,
        store_doubted: bool,
        in_outage: bool = False,
    ) -> None:
        """Take in the removal of an entry.

        The endpoint has left without saying so, and serves on like one
        that has said it.  With ``store_doubted``, while the store is or
        just was out of a node's reach, the entry may only have lapsed;
        the endpoint is used as before, but never beyond the time that
        one which has left would serve on.  Only ``in_outage``, while no
        node reaches the store, a removal says nothing of leaving.
        """
        member = self._members.get(endpoint_id)
        if member is None:
            return
        if member.leaving:
            del self._members[endpoint_id]
            return
        member.removed_s = member.leaving_since_s = now_s
        member.serves_until_s = now_s + self._drain_s
        member.may_have_lapsed = store_doubted
        member.removed_in_outage = in_outage

    def is_in_use(self, member: Member, now_s: float) -> bool:
        """Return whether an endpoint takes any request."""
        if member.leaving:
            return False
        if member.removed_s is None:
            return True
        if member.may_have_lapsed and self._is_within_last_resort(
            member, now_s
        ):
            return True
        return self._is_needed(member, now_s)

    def is_last_resort(self, member: Member, now_s: float) -> bool:
        """Return whether an endpoint takes what ends before it does."""
        if self.is_in_use(member, now_s):
            return False
        return self._is_within_last_resort(member, now_s)

    def _is_within_last_resort(self, member: Member, now_s: float) -> bool:
        leaving_since_s = member.leaving_since_s
        return (
            leaving_since_s is not None
            and now_s < leaving_since_s + self._last_resort_s
        )

    def in_use(self, service: str, now_s: float) -> list[Member]:
        """Return the endpoints of a service that take any request."""
        return [
            member
            for member in self.of_service(service)
            if self.is_in_use(member, now_s)
        ]

    def expire(self, now_s: float) -> list[Member]:
        """Drop the entries that have not come back, and return them."""
        lapsed = [
            member
            for member in self._members.values()
            if member.removed_s is not None
            and not self.is_in_use(member, now_s)
            and not self.is_last_resort(member, now_s)
        ]
        for member in lapsed:
            del self._members[member.endpoint_id]
        return lapsed

    def _is_needed(self, member: Member, now_s: float) -> bool:
        """Return whether an outage has taken all entries of a service."""
        if member.removed_s is None or not member.removed_in_outage:
            return False
        if now_s - member.removed_s >= OUTAGE_GRACE_S:
            return False
        peers = self.of_service(member.registration.service)
        if len(peers) < 2:
            return False
        return all(
            peer.removed_s is not None or peer.leaving for peer in peers
        )
