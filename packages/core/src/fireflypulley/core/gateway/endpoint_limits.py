"""The request rates that endpoints name for all nodes together.

An endpoint in need names in its answers how many requests a second it
takes.  The limit holds until an answer no longer names one.
"""

import collections.abc
import dataclasses
import sys

from fireflypulley.core.gateway import peer_numbers
from fireflypulley.core.gateway import presence

Key = tuple[str, int]
"""One start of an endpoint: its id and start time."""


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLimit:
    """What one start of an endpoint last said about its rate.

    ``rate_per_s`` is None if its last answer named no limit.  Of two
    reports the one with the higher ``revision`` is newer; of two with
    the same revision the stricter one is used.
    """

    endpoint_id: str
    started_ms: peer_numbers.Count
    revision: peer_numbers.Count
    rate_per_s: peer_numbers.Amount | None

    @property
    def key(self) -> Key:
        """Return the key of the endpoint's start."""
        return self.endpoint_id, self.started_ms

    def check(self) -> None:
        """Raise ``BadNumber`` if no endpoint can have this limit."""
        most = peer_numbers.MAX_SEQUENCE
        peer_numbers.check("started_ms", self.started_ms, most)
        peer_numbers.check("revision", self.revision, most)
        if self.rate_per_s is None:
            return
        peer_numbers.check("rate", self.rate_per_s, sys.float_info.max)
        if not self.rate_per_s:
            raise peer_numbers.BadNumber("rate: 0")

    @property
    def rank(self) -> tuple[int, bool, float]:
        """Return the precedence among reports on the same start."""
        rate_per_s = self.rate_per_s
        return self.revision, rate_per_s is not None, -(rate_per_s or 0.0)


class EndpointLimits:
    """The newest limit of each start of an endpoint."""

    def __init__(self) -> None:
        self._limits: dict[Key, EndpointLimit] = {}
        self._named_s: dict[Key, float] = {}
        self._invalid: dict[Key, str] = {}

    def of(self, key: Key) -> EndpointLimit | None:
        """Return the limit in force, None if there is none."""
        limit = self._limits.get(key)
        if limit is None or limit.rate_per_s is None:
            return None
        return limit

    def in_force(self) -> list[EndpointLimit]:
        """Return all limits in force."""
        return [
            limit
            for limit in self._limits.values()
            if limit.rate_per_s is not None
        ]

    def known(self) -> tuple[EndpointLimit, ...]:
        """Return the newest report on each start, also ended limits."""
        return tuple(self._limits.values())

    def age_s(self, key: Key, now_s: float) -> float:
        """Return how long ago the limit was last named."""
        return now_s - self._named_s.get(key, now_s)

    def note_named(
        self, key: Key, rate_per_s: float, now_s: float
    ) -> EndpointLimit | None:
        """Record an answer that names a limit; return it if it is news."""
        self._named_s[key] = now_s
        known = self._limits.get(key)
        if known is not None and known.rate_per_s == rate_per_s:
            return None
        return self._replace(key, known, rate_per_s)

    def note_unnamed(self, key: Key, sent_s: float) -> EndpointLimit | None:
        """Record an answer without a limit; return the end if it is news.

        ``sent_s`` is when the request was sent.  Only an answer to a
        request that was sent after the limit was last named ends it,
        because answers on different connections overtake each other.
        """
        known = self.of(key)
        if known is None or sent_s <= self._named_s[key]:
            return None
        return self._replace(key, known, None)

    def merge(self, limit: EndpointLimit, now_s: float) -> bool:
        """Apply a report of another node; return whether it is news.

        Raise ``BadNumber``, and apply nothing, if there is no such limit.
        """
        limit.check()
        known = self._limits.get(limit.key)
        if known is not None and known.rank >= limit.rank:
            return False
        self._limits[limit.key] = limit
        self._named_s[limit.key] = now_s
        return True

    def _replace(
        self,
        key: Key,
        known: EndpointLimit | None,
        rate_per_s: float | None,
    ) -> EndpointLimit:
        revision = known.revision + 1 if known is not None else 1
        limit = EndpointLimit(*key, revision, rate_per_s)
        self._limits[key] = limit
        return limit

    def note_invalid(self, key: Key, text: str) -> bool:
        """Record a limit that is no positive number; return if it is news."""
        is_new = self._invalid.get(key) != text
        self._invalid[key] = text
        return is_new

    def forget_absent(self, present: collections.abc.Container[Key]) -> None:
        """Drop what is known of starts that are gone."""
        presence.drop_absent(self._limits, present)
        presence.drop_absent(self._named_s, present)
        presence.drop_absent(self._invalid, present)
