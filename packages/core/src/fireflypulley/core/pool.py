"""The endpoints assigned to a node, with their load and health."""

import collections.abc
import dataclasses
import math
import statistics

from fireflypulley.core import speed
from fireflypulley.core import topology

EJECT_AFTER_FAILURES = 3
EJECTION_S = 5.0
MAX_EJECTED_FRACTION = 0.34
BUSY_BACKOFF_S = 0.1
MISSING_LISTS_BEFORE_GONE = 3
DEFAULT_NOTICE_S = 10.0  # for endpoints leaving without an announced time
MIN_SUSPECT_S = 1.0
REPORT_TIMEOUT_S = 2.0


@dataclasses.dataclass(slots=True)
class EndpointState:
    """One endpoint with its load and health as seen by this node."""

    endpoint: topology.Endpoint
    own_requests: int = 0
    report: topology.LoadReport | None = None
    own_requests_at_report: int = 0
    failures: int = 0
    ejected_until_s: float = 0.0
    busy_until_s: float = 0.0
    leaves_at_s: float | None = None
    leaving_seen_s: float = 0.0
    missing_lists: int = 0
    suspected_s: float | None = None
    reported_s: float = 0.0
    measured_speed: speed.Speed = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.measured_speed = speed.Speed(self.endpoint.capacity)

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint must receive no new requests."""
        return self.leaves_at_s is not None

    @property
    def reported_requests(self) -> int:
        """Return the number of requests in the last load report."""
        if self.report is None:
            return 0
        return self.report.running + self.report.waiting

    @property
    def load(self) -> int:
        """Return the estimated number of open requests of all nodes."""
        others = max(0, self.reported_requests - self.own_requests_at_report)
        return self.own_requests + others

    @property
    def relative_load(self) -> float:
        """Return the load as a fraction of the capacity."""
        return self.load / self.endpoint.capacity

    def reports_overdue(self, now_s: float) -> bool:
        """Return whether the endpoint has stopped reporting its load."""
        if self.report is None:
            return False
        return now_s - self.reported_s > REPORT_TIMEOUT_S

    def suspect(self, now_s: float) -> None:
        """Send nothing until a load report ``MIN_SUSPECT_S`` or more later."""
        self.suspected_s = now_s

    def record_report(self, report: topology.LoadReport, now_s: float) -> bool:
        """Store a load report; return whether the process is a new one."""
        if self.suspected_s is not None:
            if now_s - self.suspected_s >= MIN_SUSPECT_S:
                self.suspected_s = None
        old = self.report
        self.report = report
        self.reported_s = now_s
        self.own_requests_at_report = self.own_requests
        self.measured_speed.record_report(report, now_s)
        if old is None:
            return False
        restarted = report.started_s > old.started_s
        return restarted or report.answered_total < old.answered_total

    def allowance(self, nodes: int, position: int) -> int:
        """Return the maximum number of requests from this node.

        The capacity is divided between the ``nodes`` that send to the
        endpoint; ``position`` is this node's index among them.  A node
        may exceed its share, up to its requests at the last report plus
        its part of the capacity that was free then.  Dividing the free
        capacity limits how far all nodes together can overload the
        endpoint.
        """
        capacity = self.endpoint.capacity
        share = capacity // nodes
        if position < capacity % nodes:
            share += 1
        if self.report is None:
            return max(1, share)
        free = capacity - self.reported_requests
        if free <= 0:
            return share
        return max(
            share, self.own_requests_at_report + math.ceil(free / nodes)
        )


class Pool:
    """The endpoint states by id and by service."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._services: dict[str, dict[str, EndpointState]] = {}

    def __iter__(self) -> collections.abc.Iterator[EndpointState]:
        return iter(self._states.values())

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint's state, or None."""
        return self._states.get(endpoint_id)

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service."""
        return list(self._services.get(service, {}).values())

    def update(
        self, endpoints: tuple[topology.Endpoint, ...], now_s: float
    ) -> list[EndpointState]:
        """Apply a list; return the endpoints that were removed.

        The list lags, so an endpoint is kept while this node has
        requests there or while it is missing from fewer than
        ``MISSING_LISTS_BEFORE_GONE`` lists in a row.
        """
        listed = {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint in endpoints:
            self._put(endpoint, now_s)
        removed = []
        for state in list(self):
            if state.endpoint.endpoint_id in listed:
                continue
            state.missing_lists += 1
            if (
                state.missing_lists < MISSING_LISTS_BEFORE_GONE
                or state.own_requests
            ):
                continue
            self._drop(state)
            removed.append(state)
        return removed

    def _put(self, endpoint: topology.Endpoint, now_s: float) -> None:
        state = self._states.get(endpoint.endpoint_id)
        if state is not None and state.endpoint.service != endpoint.service:
            self._drop(state)
            state = None
        if state is None:
            state = EndpointState(endpoint)
            self._states[endpoint.endpoint_id] = state
            peers = self._services.setdefault(endpoint.service, {})
            peers[endpoint.endpoint_id] = state
        state.endpoint = endpoint
        state.missing_lists = 0
        if endpoint.leaving:
            leaves_at_s = endpoint.leaves_at_s
            self.mark_leaving(endpoint.endpoint_id, leaves_at_s, now_s)

    def _drop(self, state: EndpointState) -> None:
        endpoint = state.endpoint
        del self._states[endpoint.endpoint_id]
        del self._services[endpoint.service][endpoint.endpoint_id]

    def mark_leaving(
        self, endpoint_id: str, leaves_at_s: float | None, now_s: float
    ) -> bool:
        """Mark an endpoint as leaving; return whether it was not before."""
        state = self._states.get(endpoint_id)
        if state is None or state.leaving:
            return False
        if leaves_at_s is None:
            leaves_at_s = now_s + DEFAULT_NOTICE_S
        state.leaves_at_s = leaves_at_s
        state.leaving_seen_s = now_s
        return True

    def peers_of(self, state: EndpointState) -> list[EndpointState]:
        """Return the other endpoints of the same service and version."""
        spec = state.endpoint
        return [
            peer
            for peer in self.of_service(spec.service)
            if peer is not state and peer.endpoint.version == spec.version
        ]

    def record_answer(
        self, state: EndpointState, latency_s: float, now_s: float
    ) -> None:
        """Record a response of an endpoint."""
        state.failures = 0
        usual_s = [
            peer.measured_speed.usual_latency_s
            for peer in self.peers_of(state)
            if peer.measured_speed.usual_latency_s is not None
        ]
        median_s = statistics.median(usual_s) if usual_s else None
        state.measured_speed.record_latency(latency_s, now_s, median_s)

    def looks_cold(self, state: EndpointState) -> bool:
        """Return whether an endpoint is as slow as a cold one."""
        peers = [peer.measured_speed for peer in self.peers_of(state)]
        return state.measured_speed.is_cold(peers)

    def record_failure(self, state: EndpointState, now_s: float) -> bool:
        """Record a failed attempt; return whether the endpoint is ejected.

        At most ``MAX_EJECTED_FRACTION`` of a service is ejected at once,
        however many endpoints fail.
        """
        state.failures += 1
        if state.failures < EJECT_AFTER_FAILURES:
            return False
        peers = self.of_service(state.endpoint.service)
        ejected = sum(1 for p in peers if p.ejected_until_s > now_s)
        if ejected + 1 > MAX_EJECTED_FRACTION * len(peers):
            return False
        state.failures = 0
        state.ejected_until_s = now_s + EJECTION_S
        return True
