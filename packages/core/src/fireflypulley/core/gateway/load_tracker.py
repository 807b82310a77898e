"""Loads of all endpoints, from own requests and peers' reports."""

from fireflypulley.core.gateway import capacity_plan
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import loads
from fireflypulley.core.gateway import peer_numbers

MAX_RUNNING = 10**6
MAX_WAITING_TOKENS = 10**9
"""A node has no more at one endpoint."""


class LoadTracker:
    """One load for each start of an endpoint."""

    def __init__(self, known: fleet.Fleet) -> None:
        self._fleet = known
        self._loads: dict[tuple[str, int], loads.EndpointLoad] = {}
        self._peer_endpoints: dict[str, frozenset[str]] = {}

    def of(self, member: fleet.Member) -> loads.EndpointLoad:
        """Return the load of one start of an endpoint."""
        key = member.registration.key
        if key not in self._loads:
            self._loads[key] = loads.EndpointLoad()
        return self._loads[key]

    def forget_absent(self) -> None:
        """Drop the loads of endpoints that are gone."""
        present = {member.registration.key for member in self._fleet}
        for key, load in list(self._loads.items()):
            if key not in present and not load.running:
                del self._loads[key]

    def own_loads(self, now_s: float) -> dict[str, loads.ReportedLoad]:
        """Return this node's load by endpoint, to report to peers."""
        own = {
            member.endpoint_id: self.of(member).shared(now_s)
            for member in self._fleet
        }
        return {
            key: load for key, load in own.items() if load != loads.NO_LOAD
        }

    def update_peer(
        self,
        node_id: str,
        reported: dict[str, loads.ReportedLoad],
        now_s: float,
    ) -> None:
        """Record another node's load by endpoint.

        Raise ``BadNumber``, and record nothing, if there can't be such a
        load.
        """
        for load in reported.values():
            peer_numbers.check("running", load.running, MAX_RUNNING)
            most = MAX_WAITING_TOKENS
            peer_numbers.check("waiting tokens", load.waiting_tokens, most)
        before = self._peer_endpoints.get(node_id, frozenset())
        self._peer_endpoints[node_id] = frozenset(reported)
        for endpoint_id in before | reported.keys():
            member = self._fleet.get(endpoint_id)
            if member is None:
                continue
            shared = reported.get(endpoint_id)
            own = self.of(member)
            if shared is not None:
                own.update_peer(node_id, shared, now_s)
            else:
                own.peers.pop(node_id, None)

    def demand(self, service: str, now_s: float) -> capacity_plan.Demand:
        """Return the load of all nodes on a service's endpoints."""
        service_loads = [
            self.of(member) for member in self._fleet.of_service(service)
        ]
        return capacity_plan.Demand(
            sum(load.total_running(now_s) for load in service_loads),
            sum(load.total_waiting_tokens(now_s) for load in service_loads),
        )
