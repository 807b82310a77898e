"""The endpoints as they register themselves, by id and start."""

import collections.abc
import dataclasses

REMOVAL_GRACE_FRACTION = 0.6
LAPSE_GRACE_FRACTION = 0.75
"""Of the time that an endpoint serves on after its entry is gone.  The
rest is for nodes that hear of it later, and for requests on their way."""
OUTAGE_GRACE_S = 2.5
"""Entries that lapsed in an outage are back within two seconds of its end;
when no other endpoint of a service is left, they are kept for so long."""
MASS_REMOVAL_FRACTION = 0.34
"""So much of a service goes at once only when its entries lapse."""
MASS_REMOVAL_S = 1.0


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
    """An endpoint in use; ``leaving`` stays true once it was."""

    registration: Registration
    cold_until_s: float = 0.0
    leaving: bool = False
    removed_s: float | None = None
    removed_in_outage: bool = False
    lapses_at_s: float | None = None

    @property
    def endpoint_id(self) -> str:
        """Return the endpoint's id."""
        return self.registration.endpoint_id

    def is_same(self, other: "Member") -> bool:
        """Return whether another entry says nothing new of the endpoint."""
        same_start = self.registration.key == other.registration.key
        if not same_start or self.lapses_at_s is not None:
            return False
        return self.leaving == other.leaving

    def is_cold(self, now_s: float) -> bool:
        """Return whether the endpoint bears little load yet."""
        return now_s < self.cold_until_s


class Fleet:
    """The endpoints that are registered."""

    def __init__(self, serves_on_s: float) -> None:
        self._removal_grace_s = serves_on_s * REMOVAL_GRACE_FRACTION
        self._lapse_grace_s = serves_on_s * LAPSE_GRACE_FRACTION
        self._members: dict[str, Member] = {}
        self._left: set[tuple[str, int]] = set()

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
        member.leaving = registration.leaving or registration.key in self._left
        if member.leaving:
            self._left.add(registration.key)
        self._members[registration.endpoint_id] = member
        return member

    def remove(
        self,
        endpoint_id: str,
        now_s: float,
        store_doubted: bool,
        in_outage: bool = False,
    ) -> None:
        """Take in the removal of an entry.

        An endpoint that did not say that it leaves is kept for as long as
        it still serves.  While the store is or just was out of this
        node's reach, and when much of a service goes at once, the entry
        may only have lapsed; it is kept longer, but never beyond the time
        that one which has left would serve on.  Only ``in_outage``, while
        no node reaches the store, a removal says nothing of leaving.
        """
        member = self._members.get(endpoint_id)
        if member is None:
            return
        if member.leaving:
            del self._members[endpoint_id]
            return
        member.removed_s = now_s
        member.removed_in_outage = in_outage
        grace_s = self._removal_grace_s
        if store_doubted or self._is_mass_removal(member, now_s):
            grace_s = self._lapse_grace_s
        member.lapses_at_s = now_s + grace_s

    def _is_mass_removal(self, member: Member, now_s: float) -> bool:
        """Return whether much of a service was removed just now.

        The earlier removals of the same moment get the longer grace too.
        """
        peers = self.of_service(member.registration.service)
        together = [
            peer
            for peer in peers
            if peer.removed_s is not None
            and now_s - peer.removed_s < MASS_REMOVAL_S
        ]
        if len(together) < 2:
            return False
        if len(together) < MASS_REMOVAL_FRACTION * len(peers):
            return False
        for peer in together:
            removed_s = peer.removed_s or now_s
            peer.lapses_at_s = removed_s + self._lapse_grace_s
        return True

    def staying(self, service: str) -> int:
        """Return how many endpoints of a service are not about to go."""
        return sum(
            not member.leaving and member.removed_s is None
            for member in self.of_service(service)
        )

    def is_in_use(self, member: Member, now_s: float) -> bool:
        """Return whether an endpoint may be sent to."""
        if member.leaving:
            return False
        if member.lapses_at_s is None or now_s < member.lapses_at_s:
            return True
        return self._is_needed(member, now_s)

    def expire(self, now_s: float) -> list[Member]:
        """Drop the entries that have not come back, and return them."""
        lapsed = [
            member
            for member in self._members.values()
            if not member.leaving and not self.is_in_use(member, now_s)
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
