"""Endpoints that fall over when they have to refuse too much.

All answers of such an endpoint name how many requests it may refuse in a
second, from all nodes together.  How many may wait there is not known, so
a request that could be refused draws on the node's part of that number.
"""

from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import node_shares
from fireflypulley.core.gateway import presence

NAMED_VALID_S = 3.0
"""Each answer names it anew; a service is brittle if one endpoint is."""
REFUSAL_VALID_S = 2.0
"""After a refusal every request may be refused for this long."""
BUDGET_SHARE = 0.5
"""The part of the refusals that is risked: what is under way when the room
shrinks is refused besides."""


class BrittleEndpoints:
    """Which services are brittle, and what may be sent to them."""

    def __init__(self, node_id: str) -> None:
        self._limiter = node_shares.NodeShareLimiter(node_id)
        self._named: dict[str, tuple[float, float]] = {}
        self._refused_s: dict[tuple[str, int], float] = {}

    def note_answer(
        self, service: str, refusals_per_s: float | None, now_s: float
    ) -> bool:
        """Record an answer; return whether the service became brittle."""
        if refusals_per_s is None:
            return False
        was_brittle = self.refusals_per_s(service, now_s) is not None
        self._named[service] = (refusals_per_s, now_s)
        return not was_brittle

    def note_refused(self, member: fleet.Member, now_s: float) -> None:
        """Record that an endpoint had no room for a request."""
        self._refused_s[member.registration.key] = now_s

    def refusals_per_s(self, service: str, now_s: float) -> float | None:
        """Return what an endpoint of a service bears, None if not brittle."""
        named = self._named.get(service)
        if named is None or now_s - named[1] >= NAMED_VALID_S:
            return None
        return named[0]

    def may_send(
        self, member: fleet.Member, running: int, nodes: int, now_s: float
    ) -> bool:
        """Return whether a request may be sent now.

        ``running`` are the requests of all nodes there, as far as known.
        """
        rate_per_s = self._risk_per_s(member, running, nodes, now_s)
        if rate_per_s is None:
            return True
        return self._limiter.may_send(
            member.endpoint_id, rate_per_s, nodes, now_s
        )

    def note_sent(
        self, member: fleet.Member, running: int, nodes: int, now_s: float
    ) -> None:
        """Count a request that is being sent."""
        rate_per_s = self._risk_per_s(member, running, nodes, now_s)
        if rate_per_s is not None:
            self._limiter.note_sent(
                member.endpoint_id, rate_per_s, nodes, now_s
            )

    def _risk_per_s(
        self, member: fleet.Member, running: int, nodes: int, now_s: float
    ) -> float | None:
        """Return the rate that a request counts against, None if safe.

        Each node may send one that the others do not know of yet, so the
        last slots are not safe.
        """
        registration = member.registration
        refusals_per_s = self.refusals_per_s(registration.service, now_s)
        if refusals_per_s is None:
            return None
        refused_s = self._refused_s.get(registration.key, float("-inf"))
        margin = min(nodes, registration.slots // 2)
        is_full = running >= registration.slots - margin
        if is_full or now_s - refused_s < REFUSAL_VALID_S:
            return refusals_per_s * BUDGET_SHARE
        return None

    def forget_absent(self, present: set[tuple[str, int]]) -> None:
        """Drop the refusals of starts that are gone."""
        presence.drop_absent(self._refused_s, present)
