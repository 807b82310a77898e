"""The registered endpoints, by id and start time."""

import collections.abc
import dataclasses
import math

LAST_RESORT_FRACTION = 0.75
"""Fraction of the drain time in which an endpoint may still be used after
it may have begun to leave.  The rest allows for notifications and requests
in transit."""


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """An endpoint's own entry.

    ``started_ms`` distinguishes starts with the same id.  ``cold_s`` is
    how long the endpoint stays cold, counted from the entry.
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
        """Return the key of one start of an endpoint."""
        return self.endpoint_id, self.started_ms


@dataclasses.dataclass(slots=True)
class Member:
    """A known endpoint; ``leaving`` never becomes false again.

    Once it leaves or its entry is removed, it is guaranteed to serve until
    ``serves_until_s``.  Nothing may be sent to it from ``usable_until_s``
    on, whatever else is known.  Both count from the earliest time at which
    it may have left.
    """

    registration: Registration
    cold_until_s: float = 0.0
    leaving: bool = False
    removed_s: float | None = None
    may_have_lapsed: bool = False
    serves_until_s: float = math.inf
    usable_until_s: float = math.inf

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint's id."""
        return self.registration.endpoint_id

    def is_same(self, other: "Member") -> bool:
        """Return whether another entry is the same start in the same state."""
        same_start = self.registration.key == other.registration.key
        if not same_start or self.removed_s is not None:
            return False
        return self.leaving == other.leaving

    def is_cold(self, now_s: float) -> bool:
        """Return whether the endpoint can take only a low load so far."""
        return now_s < self.cold_until_s


class Fleet:
    """The endpoints that are registered or were until recently."""

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

    def put(
        self,
        registration: Registration,
        now_s: float,
        since_s: float | None = None,
    ) -> Member:
        """Add or replace an entry; leaving is final for one start.

        The entry may have been written at ``since_s`` already, by default
        at ``now_s``.
        """
        member = Member(registration)
        member.cold_until_s = now_s + registration.cold_s
        key = registration.key
        member.leaving = registration.leaving or key in self._leaving_s
        if member.leaving:
            self._note_leaving(member, now_s if since_s is None else since_s)
        self._members[registration.endpoint_id] = member
        return member

    def _note_leaving(self, member: Member, written_s: float) -> None:
        key = member.registration.key
        since_s = self._leaving_s.setdefault(key, written_s)
        self._limit_use(member, since_s)
        leaves_in_s = member.registration.leaves_in_s
        if leaves_in_s is not None:
            member.serves_until_s = min(
                member.serves_until_s, written_s + leaves_in_s
            )

    def note_says_leaving(self, key: tuple[str, int], now_s: float) -> bool:
        """Record that a start of an endpoint says itself that it leaves.

        Return whether this was not known.  No later entry takes it back.
        """
        if key in self._leaving_s:
            return False
        self._leaving_s[key] = now_s
        member = self._members.get(key[0])
        if member is not None and member.registration.key == key:
            member.leaving = True
            if member.removed_s is None:
                self._limit_use(member, now_s)
        return True

    def _limit_use(self, member: Member, since_s: float) -> None:
        """Set how long an endpoint serves that leaves since then."""
        member.serves_until_s = since_s + self._drain_s
        member.usable_until_s = since_s + self._last_resort_s

    def remove(
        self,
        endpoint_id: str,
        now_s: float,
        may_have_lapsed: bool,
        since_s: float | None = None,
    ) -> None:
        """Record the removal of an entry.

        The endpoint is taken to have left unannounced, at ``since_s`` or
        by default now; it drains like one that announced it.  If the entry
        ``may_have_lapsed``, the endpoint is used as before, but no longer
        than one that has left.
        """
        member = self._members.get(endpoint_id)
        if member is None:
            return
        if member.leaving:
            del self._members[endpoint_id]
            return
        member.removed_s = now_s
        member.may_have_lapsed = may_have_lapsed
        self._limit_use(member, now_s if since_s is None else since_s)

    def may_receive(self, member: Member, now_s: float) -> bool:
        """Return whether anything may be sent to an endpoint.

        All other conditions are asked besides; none prolongs this one.
        """
        return now_s < member.usable_until_s

    def is_in_use(self, member: Member, now_s: float) -> bool:
        """Return whether an endpoint may receive any request."""
        if member.leaving or not self.may_receive(member, now_s):
            return False
        return member.removed_s is None or member.may_have_lapsed

    def is_last_resort(self, member: Member, now_s: float) -> bool:
        """Return whether an endpoint may receive only short requests."""
        if self.is_in_use(member, now_s):
            return False
        return self.may_receive(member, now_s)

    def in_use(self, service: str, now_s: float) -> list[Member]:
        """Return the endpoints of a service that may receive any request."""
        return [
            member
            for member in self.of_service(service)
            if self.is_in_use(member, now_s)
        ]

    def expire(self, now_s: float) -> list[Member]:
        """Drop and return removed entries that may no longer be used."""
        lapsed = [
            member
            for member in self._members.values()
            if member.removed_s is not None
            and not self.may_receive(member, now_s)
        ]
        for member in lapsed:
            del self._members[member.endpoint_id]
        return lapsed
