"""The endpoints a node follows, with what it knows of their load."""

import collections.abc
import dataclasses

from fireflypulley.core import topology

EJECT_AFTER_FAILURES = 3
EJECT_S = 5.0
MAX_EJECTED_FRACTION = 0.34
BUSY_BACKOFF_S = 0.1
LATENCY_WEIGHT = 0.1
COLD_LATENCY_FACTOR = 2.5
COLD_SLOW_ANSWERS = 2
COLD_CONFIRM_S = 1.5
COLD_MAX_LOAD = 0.75
FULL_FRACTION = 0.85
COLD_PEER_FACTOR = 2.0
RECENT_WEIGHT = 0.3
MISSING_LISTS_BEFORE_GONE = 3
UNSTATED_NOTICE_S = 10.0
DOUBT_S = 1.0
SILENT_S = 2.0


@dataclasses.dataclass(slots=True)
class EndpointState:
    """One endpoint, its load and its health as seen from this node."""

    endpoint: topology.Endpoint
    own: int = 0
    report: topology.LoadReport | None = None
    own_at_report: int = 0
    failures: int = 0
    ejected_until_s: float = 0.0
    busy_until_s: float = 0.0
    leaves_at_s: float | None = None
    leaving_seen_s: float = 0.0
    first_token_s: float | None = None
    recent_s: float | None = None
    slow_in_a_row: int = 0
    slow_since_s: float = 0.0
    missing_lists: int = 0
    doubted_s: float | None = None
    reported_s: float = 0.0

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint must get no new work."""
        return self.leaves_at_s is not None

    @property
    def reported(self) -> int:
        """Return the requests that the endpoint last reported."""
        if self.report is None:
            return 0
        return self.report.running + self.report.waiting

    @property
    def load(self) -> int:
        """Return the requests in progress, from all nodes, as estimated."""
        others = max(0, self.reported - self.own_at_report)
        return self.own + others

    @property
    def relative_load(self) -> float:
        """Return the load as a share of what the endpoint bears."""
        return self.load / self.endpoint.capacity

    def silent(self, now_s: float) -> bool:
        """Return whether the endpoint has stopped to report its load."""
        if self.report is None:
            return False
        return now_s - self.reported_s > SILENT_S

    def doubt(self, now_s: float) -> None:
        """Send nothing until a later report shows the same process."""
        self.doubted_s = now_s

    def take_report(self, report: topology.LoadReport, now_s: float) -> bool:
        """Store a report; return whether it shows a new process."""
        if self.doubted_s is not None:
            if now_s - self.doubted_s >= DOUBT_S:
                self.doubted_s = None
        old = self.report
        self.report = report
        self.reported_s = now_s
        self.own_at_report = self.own
        full = FULL_FRACTION * self.endpoint.capacity
        if report.waiting or report.running >= full:
            self.slow_in_a_row = 0
        if old is None:
            return False
        restarted = report.started_s > old.started_s
        return restarted or report.answered_total < old.answered_total

    def note_answer(
        self, first_token_s: float, now_s: float, usual_s: float
    ) -> None:
        """Count an answer; ``usual_s`` is the service's usual latency."""
        self.failures = 0
        recent_s = first_token_s if self.recent_s is None else self.recent_s
        self.recent_s = recent_s + RECENT_WEIGHT * (first_token_s - recent_s)
        if first_token_s <= usual_s * COLD_LATENCY_FACTOR:
            self.slow_in_a_row = 0
            own_s = self.first_token_s or first_token_s
            change_s = LATENCY_WEIGHT * (first_token_s - own_s)
            self.first_token_s = own_s + change_s
            return
        if not self.slow_in_a_row:
            self.slow_since_s = now_s
        self.slow_in_a_row += 1

    def is_slow(self, now_s: float) -> bool:
        """Return whether a run of slow answers stands.

        A run ends with a fast answer, or with a report of an endpoint
        that is about full, since then the load explains it; reports
        lag, so the run must have stood for a while.
        """
        if self.slow_in_a_row < COLD_SLOW_ANSWERS:
            return False
        return now_s - self.slow_since_s >= COLD_CONFIRM_S

    def reset_latency(self) -> None:
        """Forget the usual latency, as after a cold start."""
        self.first_token_s = None
        self.recent_s = None
        self.slow_in_a_row = 0


class Pool:
    """The endpoints by id."""

    def __init__(self) -> None:
        self._states: dict[str, EndpointState] = {}
        self._services: dict[str, dict[str, EndpointState]] = {}

    def __iter__(self) -> collections.abc.Iterator[EndpointState]:
        return iter(self._states.values())

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Return an endpoint's state."""
        return self._states.get(endpoint_id)

    def of_service(self, service: str) -> list[EndpointState]:
        """Return the endpoints of a service."""
        return list(self._services.get(service, {}).values())

    def update(
        self, endpoints: tuple[topology.Endpoint, ...], now_s: float
    ) -> list[EndpointState]:
        """Take in a list; return the endpoints that are gone.

        The list lags, so an endpoint with work in progress or missing
        from only a list or two is kept.
        """
        listed = {endpoint.endpoint_id for endpoint in endpoints}
        for endpoint in endpoints:
            self._put(endpoint, now_s)
        gone = []
        for state in list(self):
            if state.endpoint.endpoint_id in listed:
                continue
            state.missing_lists += 1
            if state.missing_lists < MISSING_LISTS_BEFORE_GONE or state.own:
                continue
            self._drop(state)
            gone.append(state)
        return gone

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
        """Give an endpoint no new work; return whether that is news."""
        state = self._states.get(endpoint_id)
        if state is None or state.leaving:
            return False
        if leaves_at_s is None:
            leaves_at_s = now_s + UNSTATED_NOTICE_S
        state.leaves_at_s = leaves_at_s
        state.leaving_seen_s = now_s
        return True

    def note_answer(
        self, state: EndpointState, first_token_s: float, now_s: float
    ) -> None:
        """Count an endpoint's answer against what is usual.

        Usual is the endpoint's own latency, or that of its service where
        that is less: an endpoint that was cold from the start has no
        good latency of its own.
        """
        known_s = sorted(
            peer.first_token_s
            for peer in self.of_service(state.endpoint.service)
            if peer is not state and peer.first_token_s is not None
        )
        usual_s = state.first_token_s or first_token_s
        if known_s:
            usual_s = min(usual_s, known_s[len(known_s) // 2])
        state.note_answer(first_token_s, now_s, usual_s)

    def slower_than_peers(self, state: EndpointState) -> bool:
        """Return whether an endpoint is far slower than its service's.

        Without others to compare with, its own history decides.  Of a
        busy endpoint nothing can be said: load would explain it.
        """
        if state.relative_load > COLD_MAX_LOAD:
            return False
        endpoint = state.endpoint
        recent_s = sorted(
            peer.recent_s
            for peer in self.of_service(endpoint.service)
            if peer is not state and peer.recent_s is not None
        )
        if not recent_s or state.recent_s is None:
            return True
        middle_s = recent_s[len(recent_s) // 2]
        return state.recent_s > COLD_PEER_FACTOR * middle_s

    def note_failure(self, state: EndpointState, now_s: float) -> bool:
        """Count a failed attempt; return whether it ejects the endpoint.

        Most of a service always stays in use, however bad it looks.
        """
        state.failures += 1
        if state.failures < EJECT_AFTER_FAILURES:
            return False
        peers = self.of_service(state.endpoint.service)
        ejected = sum(1 for p in peers if p.ejected_until_s > now_s)
        if ejected + 1 > MAX_EJECTED_FRACTION * len(peers):
            return False
        state.failures = 0
        state.ejected_until_s = now_s + EJECT_S
        return True
