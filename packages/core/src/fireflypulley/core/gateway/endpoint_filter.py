"""Selects the endpoints that a request may be sent to."""

import collections.abc

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import durations
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import versions


class EndpointFilter:
    """Admits endpoints that are in use and outside of drained domains.

    An endpoint that is leaving is the last resort, for requests that are
    expected to end before it stops.
    """

    def __init__(
        self, known: fleet.Fleet, rollouts: versions.RolloutTracker
    ) -> None:
        self._fleet = known
        self._rollouts = rollouts
        self.drained_domains: set[str] = set()
        self.durations = durations.Durations()

    def in_use(
        self, request: calls.AdmittedRequest, now_s: float
    ) -> list[fleet.Member]:
        """Return the endpoints that may receive any request."""
        return self._allowed(
            request, self._fleet.in_use(request.service.name, now_s), now_s
        )

    def last_resort(
        self, request: calls.AdmittedRequest, now_s: float
    ) -> list[fleet.Member]:
        """Return leaving endpoints that outlast the request."""
        expected_s = self.durations.expected_s(request.route.name)
        if expected_s is None:
            return []
        return self._allowed(
            request,
            (
                member
                for member in self._fleet.of_service(request.service.name)
                if self._fleet.is_last_resort(member, now_s)
                and now_s + expected_s <= member.serves_until_s
            ),
            now_s,
        )

    def _allowed(
        self,
        request: calls.AdmittedRequest,
        members: collections.abc.Iterable[fleet.Member],
        now_s: float,
    ) -> list[fleet.Member]:
        drained = self.drained_domains
        usable = [
            member
            for member in members
            if member.registration.failure_domain not in drained
        ]
        in_use = (
            member
            for member in self._fleet
            if self._fleet.is_in_use(member, now_s)
        )
        return self._rollouts.allowed(
            request.service.name, request.metadata.request_id, usable, in_use
        )

    def still_allowed(self, run: runs.Run, now_s: float) -> bool:
        """Return whether a run's endpoint may still receive requests."""
        current = self._fleet.get(run.member.endpoint_id)
        if current is None:
            return False
        if current.registration.key != run.member.registration.key:
            return False
        is_usable = self._fleet.is_in_use(current, now_s)
        if run.choice.last_resort:
            is_usable = is_usable or self._fleet.is_last_resort(current, now_s)
        domain = current.registration.failure_domain
        return is_usable and domain not in self.drained_domains
