"""Chooses the endpoint of an attempt among those that have room."""

import dataclasses

from fireflypulley.core.gateway import brittle_endpoints
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import endpoint_filter
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import limited_endpoints
from fireflypulley.core.gateway import load_tracker
from fireflypulley.core.gateway import node_shares
from fireflypulley.core.gateway import placement
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import sharing
from fireflypulley.core import ownership


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What endpoints take of all nodes together."""

    limited: limited_endpoints.LimitedEndpoints
    brittle: brittle_endpoints.BrittleEndpoints
    cold: node_shares.NodeShareLimiter


class EndpointChooser:
    """Begins attempts at the best endpoint that may be asked now."""

    def __init__(
        self,
        failure_domain: str,
        loads: load_tracker.LoadTracker,
        endpoints: endpoint_filter.EndpointFilter,
        shared_limits: Limits,
        sharing_nodes: sharing.SharingNodes,
    ) -> None:
        self._failure_domain = failure_domain
        self._loads = loads
        self._filter = endpoints
        self._limited = shared_limits.limited
        self._brittle = shared_limits.brittle
        self._cold = shared_limits.cold
        self._sharing = sharing_nodes
        self._engine_policy = placement.create(True)
        self._plain_policy = placement.create(False)

    def choose(
        self,
        request: calls.AdmittedRequest,
        avoid: frozenset[tuple[str, int]],
        now_s: float,
        withheld: int,
        nodes_known: int,
    ) -> runs.Run | runs.Refusal:
        """Begin an attempt at an endpoint, or return why there is none.

        ``withheld`` is how many limited endpoints had no permit for it.
        """
        members = self._filter.in_use(request, now_s)
        fresh = [
            member
            for member in members
            if member.registration.key not in avoid
            and self._limited.may_ask(member, withheld, now_s)
        ]
        chosen = self._choose_from(request, fresh or members, withheld, now_s)
        if chosen is not None:
            return self._begin(request, *chosen, now_s)
        leaving = [
            member
            for member in self._filter.last_resort(request, now_s)
            if member.registration.key not in avoid
        ]
        chosen = self._choose_from(
            request, leaving, withheld, now_s, last_resort=True
        )
        if chosen is not None:
            return self._begin(request, *chosen, now_s)
        if not members:
            return runs.Refusal(
                calls.RefusalReason.NO_ENDPOINT,
                request_admission.RETRY_SOON_S,
                "no endpoint in use",
            )
        return self._limited.refusal(
            request, members, nodes_known, now_s
        ) or runs.Refusal(
            calls.RefusalReason.ENDPOINTS_FULL,
            self._return_after_s(request, members, now_s),
        )

    def choose_beside(
        self,
        request: calls.AdmittedRequest,
        avoid: frozenset[tuple[str, int]],
        now_s: float,
        withheld: int,
    ) -> runs.Run | runs.Refusal:
        """Begin an attempt beside one that is late.

        Only an endpoint that is taken for sound is worth it.
        """
        members = [
            member
            for member in self._filter.in_use(request, now_s)
            if member.registration.key not in avoid
            and not self._loads.of(member).is_suspected(now_s)
        ]
        chosen = self._choose_from(request, members, withheld, now_s)
        if chosen is None:
            full = calls.RefusalReason.ENDPOINTS_FULL
            return runs.Refusal(full, None, "no other sound endpoint")
        return self._begin(request, *chosen, now_s)

    def _candidate(
        self, member: fleet.Member, now_s: float
    ) -> placement.Candidate:
        load = self._loads.of(member)
        return placement.Candidate(
            member,
            load.total_running(now_s),
            load.total_waiting_tokens(now_s),
            load.is_suspected(now_s),
            load.latency_ratio,
        )

    def _has_room(
        self,
        candidate: placement.Candidate,
        rate_per_s: float,
        withheld: int,
        now_s: float,
    ) -> bool:
        if not self._limited.may_ask(candidate.member, withheld, now_s):
            return False
        load = self._loads.of(candidate.member)
        if max(load.full_until_s, load.paused_until_s) > now_s:
            return False
        nodes = self._sharing.count(now_s)
        if not self._brittle.may_send(
            candidate.member, candidate.running, nodes, now_s
        ):
            return False
        if rate_per_s and candidate.member.is_cold(now_s):
            return self._cold.may_send(
                candidate.endpoint_id, rate_per_s, nodes, now_s
            )
        return True

    def _return_after_s(
        self,
        request: calls.AdmittedRequest,
        members: list[fleet.Member],
        now_s: float,
    ) -> float:
        """Return when a refused caller is to come back.

        If all endpoints have asked for a pause, callers return spread over
        some time after the first one ends.
        """
        pause_s = min(
            self._loads.of(member).paused_until_s - now_s for member in members
        )
        if pause_s <= 0.0:
            return request_admission.RETRY_SOON_S
        point = ownership.fraction(request.metadata.request_id)
        return pause_s + point * request_admission.RETRY_SOON_S

    def _choose_from(
        self,
        request: calls.AdmittedRequest,
        members: list[fleet.Member],
        withheld: int,
        now_s: float,
        last_resort: bool = False,
    ) -> tuple[fleet.Member, runs.Choice] | None:
        """Return the best of some endpoints, None if all are full."""
        rate_per_s = request.service.cold_rate_per_s
        with_room = [
            candidate
            for candidate in (
                self._candidate(member, now_s) for member in members
            )
            if self._has_room(candidate, rate_per_s, withheld, now_s)
        ]
        healthy = [
            candidate for candidate in with_room if not candidate.suspected
        ]
        policy = self._plain_policy
        if request.service.engine is not None:
            policy = self._engine_policy
        chosen = policy.choose(
            healthy or with_room, request, self._failure_domain
        )
        if chosen is None:
            return None
        choice = runs.Choice(
            len(members),
            len(with_room),
            len(healthy),
            chosen.running,
            chosen.waiting_tokens,
            last_resort,
        )
        return chosen.member, choice

    def _begin(
        self,
        request: calls.AdmittedRequest,
        member: fleet.Member,
        choice: runs.Choice,
        now_s: float,
    ) -> runs.Run:
        load = self._loads.of(member)
        tokens = request.metadata.prompt_tokens or 0
        nodes = self._sharing.count(now_s)
        self._brittle.note_sent(member, choice.running, nodes, now_s)
        load.begin(tokens, now_s)
        rate_per_s = request.service.cold_rate_per_s
        if rate_per_s and member.is_cold(now_s):
            self._cold.note_sent(member.endpoint_id, rate_per_s, nodes, now_s)
        return runs.Run(request, member, load, tokens, now_s, choice)
