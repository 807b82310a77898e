"""Selects the endpoint for a request and starts its attempts."""

from fireflypulley.core import actions
from fireflypulley.core import facts
from fireflypulley.core import ownership
from fireflypulley.core import pool
from fireflypulley.core import requests
from fireflypulley.core import state
from fireflypulley.core import warmup

SLOT_ASK_PERIOD_S = 0.2
MAX_BACKGROUND_LOAD = 0.6  # relative load from which background work waits
MAX_REQUESTS_OVER_ALLOWANCE = 3


class Dispatcher:
    """Starts and ends attempts, counting them for each endpoint."""

    def __init__(self, node: state.NodeState) -> None:
        self._node = node

    def _allowed(
        self, endpoint: pool.EndpointState, version: str, now_s: float
    ) -> bool:
        spec = endpoint.endpoint
        if spec.version != version or endpoint.leaving:
            return False
        if endpoint.suspected_s is not None or endpoint.reports_overdue(now_s):
            return False
        if spec.failure_domain in self._node.config.drained_domains:
            return False
        return endpoint.ejected_until_s <= now_s

    def _has_capacity(
        self,
        endpoint: pool.EndpointState,
        request: requests.Request,
        now_s: float,
    ) -> bool:
        if endpoint.busy_until_s > now_s:
            return False
        spec = endpoint.endpoint
        warm = self._node.warmup.is_warm(spec.endpoint_id)
        patient = request.background and now_s < request.urgent_from_s
        if patient and endpoint.relative_load >= MAX_BACKGROUND_LOAD:
            return False
        if warm:
            return self._below_allowance(endpoint, request, now_s)
        own_requests, reported_requests = (
            endpoint.own_requests,
            endpoint.reported_requests,
        )
        free_slots = self._node.warmup.free_slots(
            spec.endpoint_id,
            own_requests,
            reported_requests,
            request.deadline_s,
            now_s,
        )
        if patient and self._node.warmup.owns_budget(spec.endpoint_id):
            free_slots -= warmup.reserved_slots(spec)
        return free_slots > 0

    def _below_allowance(
        self,
        endpoint: pool.EndpointState,
        request: requests.Request,
        now_s: float,
    ) -> bool:
        """Return whether this node may send the endpoint one more request.

        While a workspace exceeds its fair share, the others may exceed
        the allowance: the engine serves them first and preempts requests
        of the workspace over its share, from whichever node they came.
        """
        name = warmup.lease_name(endpoint.endpoint.endpoint_id)
        position, nodes = self._node.members.position(name, now_s)
        allowed = endpoint.allowance(nodes, position)
        shares = self._node.shares
        if shares.any_over and not shares.is_over(request.workspace):
            allowed += MAX_REQUESTS_OVER_ALLOWANCE
        return endpoint.own_requests < allowed

    def usable(
        self, service: str, version: str, now_s: float
    ) -> list[pool.EndpointState]:
        """Return the endpoints that may get requests, even if full."""
        return [
            endpoint
            for endpoint in self._node.pool.of_service(service)
            if self._allowed(endpoint, version, now_s)
        ]

    def choose(
        self, progress: requests.Progress, now_s: float
    ) -> tuple[pool.EndpointState, facts.Arm | None] | None:
        """Return an endpoint with capacity and its arm of the rollout."""
        if self._node.pauses.blocks_dispatch(now_s):
            return None
        request = progress.request
        versions = self._node.rollouts.versions(
            request.workspace, request.service, request.request_id, now_s
        )
        if progress.old_version_only and len(versions) > 1:
            versions = versions[1:]
        for version, arm in versions:
            usable = self.usable(request.service, version, now_s)
            untried = [
                endpoint
                for endpoint in usable
                if endpoint.endpoint.endpoint_id
                not in progress.avoided_endpoints
            ]
            with_capacity = [
                endpoint
                for endpoint in untried or usable
                if self._has_capacity(endpoint, request, now_s)
            ]
            chosen = self._pick(with_capacity, request, now_s)
            if chosen is not None:
                return chosen, arm
        return None

    def _pick(
        self,
        with_capacity: list[pool.EndpointState],
        request: requests.Request,
        now_s: float,
    ) -> pool.EndpointState | None:
        fingerprint = request.fingerprint
        if self._node.quarantine.is_suspect(fingerprint, now_s):
            return max(
                with_capacity,
                key=lambda endpoint: ownership.score(
                    fingerprint, endpoint.endpoint.endpoint_id
                ),
                default=None,
            )
        return self._node.router.choose(
            with_capacity, request.prefix, request.request_id
        )

    def has_eligible_endpoint(
        self, progress: requests.Progress, now_s: float
    ) -> bool:
        """Return whether any endpoint could serve the request later."""
        request = progress.request
        versions = self._node.rollouts.versions(
            request.workspace, request.service, request.request_id, now_s
        )
        wanted = {version for version, _ in versions}
        drained = self._node.config.drained_domains
        return any(
            endpoint.endpoint.version in wanted
            and not endpoint.leaving
            and endpoint.endpoint.failure_domain not in drained
            for endpoint in self._node.pool.of_service(request.service)
        )

    def begin_attempt(
        self,
        progress: requests.Progress,
        endpoint: pool.EndpointState,
        arm: facts.Arm | None,
        now_s: float,
    ) -> list[actions.Action]:
        """Start an attempt; return the action that sends it."""
        request = progress.request
        endpoint_id = endpoint.endpoint.endpoint_id
        node_id = self._node.this.node_id
        number = progress.attempt_count + 1
        attempt = requests.Attempt(
            f"{request.request_id}.{node_id}.{number}",
            endpoint_id,
            arm,
            now_s,
        )
        if self._node.quarantine.is_suspect(request.fingerprint, now_s):
            attempt.isolated = True
            self._node.quarantine.begin_isolated(
                request.request_id, endpoint_id
            )
        attempt.slot = self._node.warmup.use_slot(
            endpoint_id, request.deadline_s
        )
        attempt.over_share = self._node.shares.is_over(request.workspace)
        self._node.shares.attempt_started()
        endpoint.own_requests += 1
        progress.begin(attempt)
        self._node.counters.first_tries += progress.attempt_count == 1
        return [
            actions.SendAttempt(
                request.request_id,
                attempt.attempt_id,
                endpoint_id,
                self._priority(attempt, request),
            )
        ]

    def _priority(
        self, attempt: requests.Attempt, request: requests.Request
    ) -> actions.Priority:
        if request.background:
            return actions.Priority.BACKGROUND
        if attempt.over_share:
            return actions.Priority.OVER_SHARE
        return actions.Priority.INTERACTIVE

    def end_attempt(
        self, progress: requests.Progress, succeeded: bool | None
    ) -> list[actions.Action]:
        """End the running attempt and release its slot or count.

        ``succeeded`` is None for an attempt that says nothing about the
        endpoint, such as a cancelled one.
        """
        attempt = progress.attempt
        if attempt is None:
            return []
        progress.attempt = None
        self._node.quarantine.end_isolated(progress.request.request_id)
        self._node.shares.attempt_ended()
        endpoint = self._node.pool.get(attempt.endpoint_id)
        if endpoint is None:
            return []
        endpoint.own_requests = max(0, endpoint.own_requests - 1)
        slot = attempt.slot
        if slot is not None:
            return [
                actions.ReturnSlot(
                    slot.node_id,
                    attempt.endpoint_id,
                    slot.expires_s,
                    succeeded,
                )
            ]
        if succeeded is None:
            return []
        fact = self._node.warmup.record_answer(endpoint.endpoint, succeeded)
        return self.publish(fact)

    def publish(self, fact: facts.Warmth | None) -> list[actions.Action]:
        """Broadcast a change of warmth to the other nodes."""
        if fact is None:
            return []
        self._node.shared.merge(fact, 0.0)
        name = "warm" if fact.warm else "cold"
        return [
            actions.Spread((fact,)),
            actions.StateChanged("endpoint", fact.endpoint_id, name),
        ]

    def ask_slots(
        self, progress: requests.Progress, now_s: float
    ) -> list[actions.Action]:
        """Ask the owners of cold endpoints for slots for a request."""
        request = progress.request
        todo: list[actions.Action] = []
        versions = self._node.rollouts.versions(
            request.workspace, request.service, request.request_id, now_s
        )
        for version, _ in versions:
            for endpoint in self.usable(request.service, version, now_s):
                todo += self._ask_slot(endpoint, request, now_s)
        return todo

    def _ask_slot(
        self,
        endpoint: pool.EndpointState,
        request: requests.Request,
        now_s: float,
    ) -> list[actions.Action]:
        endpoint_id = endpoint.endpoint.endpoint_id
        warmup_state = self._node.warmup.state(endpoint_id)
        if warmup_state.warm or warmup_state.budget is not None:
            return []
        if now_s - warmup_state.slot_asked_s < SLOT_ASK_PERIOD_S:
            return []
        name = warmup.lease_name(endpoint_id)
        owner = self._node.members.owner(name, now_s)
        if owner is None or owner == self._node.this.node_id:
            return []
        warmup_state.slot_asked_s = now_s
        hold_s = request.deadline_s - now_s
        patient = request.background and now_s < request.urgent_from_s
        return [actions.AskSlot(owner, endpoint_id, hold_s, patient)]
