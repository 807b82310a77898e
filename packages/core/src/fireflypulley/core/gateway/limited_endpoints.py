"""How a node treats endpoints that name a limit for all nodes.

A limited endpoint is chosen like any other, but a request is sent to it
only with a permit.  Until the next permit can be had, requests go to the
service's other endpoints, or are refused with the time to return.
"""

import collections.abc

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import node_shares
from fireflypulley.core.gateway import permit_gate
from fireflypulley.core.gateway import runs

MAX_WITHHELD = 3
"""Limited endpoints that a request tries before it goes elsewhere; each
costs a round trip to the issuer."""


class LimitedEndpoints:
    """The limits in force, and the permits that this node was refused."""

    def __init__(self) -> None:
        self.limits = endpoint_limits.EndpointLimits()
        self._gate = permit_gate.PermitGate()
        self._return_times = permit_gate.ReturnTimes()

    def limit_of(
        self, member: fleet.Member
    ) -> endpoint_limits.EndpointLimit | None:
        """Return an endpoint's limit, None if it names none."""
        return self.limits.of(member.registration.key)

    def may_ask(
        self, member: fleet.Member, withheld: int, now_s: float
    ) -> bool:
        """Return whether a request may go, or ask to go, to an endpoint.

        ``withheld`` is how many limited endpoints had no permit for it.
        """
        if self.limit_of(member) is None:
            return True
        if withheld >= MAX_WITHHELD:
            return False
        return self._gate.wait_s(member.registration.key, now_s) <= 0.0

    def note_permit(
        self, run: runs.Run, permit: permit_gate.Permit, now_s: float
    ) -> None:
        """Record the permit that a run got, or was refused."""
        key = run.member.registration.key
        limit = self.limits.of(key)
        run.permit = permit
        run.limit_per_s = limit.rate_per_s if limit is not None else None
        run.limit_age_s = self.limits.age_s(key, now_s)
        self._gate.note(key, permit, now_s)

    def refusal(
        self,
        request: calls.AdmittedRequest,
        members: collections.abc.Sequence[fleet.Member],
        nodes: int,
        now_s: float,
    ) -> runs.Refusal | None:
        """Return the refusal if all of a service's endpoints are limited."""
        in_force = [self.limit_of(member) for member in members]
        if None in in_force or not in_force:
            return None
        rate_per_s = sum(
            max(limit.rate_per_s or 0.0, node_shares.MIN_RATE_PER_S)
            for limit in in_force
            if limit is not None
        )
        wait_s = min(
            self._gate.wait_s(member.registration.key, now_s)
            for member in members
        )
        after_s = self._return_times.next_s(
            request.service.name,
            max(wait_s, 1.0 / rate_per_s),
            rate_per_s / max(1, nodes),
            request.deadline_s - now_s,
            now_s,
        )
        return runs.Refusal(
            calls.RefusalReason.ENDPOINTS_LIMITED,
            after_s,
            f"{len(members)} endpoints take {rate_per_s:g} requests a second"
            f" from {nodes} nodes",
        )

    def forget_absent(
        self, present: collections.abc.Container[endpoint_limits.Key]
    ) -> None:
        """Drop what is known of endpoints that are gone."""
        self.limits.forget_absent(present)
        self._gate.forget_absent(present)
