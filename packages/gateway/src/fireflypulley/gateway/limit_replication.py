"""Tells the other nodes which endpoints name a limit."""

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.gateway import limit_reader
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages


class LimitReplicator:
    """Sends reports on limits, and passes on those that are news."""

    def __init__(
        self,
        limits: endpoint_limits.EndpointLimits,
        node_hub: hub.Hub,
        feature: str,
    ) -> None:
        self._limits = limits
        self._hub = node_hub
        self._feature = feature

    def publish(self, limit: endpoint_limits.EndpointLimit) -> None:
        """Send a report to all nodes with a stream."""
        self._send((limit,), None)

    def send_all(self, node_id: str) -> None:
        """Send all reports to a node that has just connected."""
        known = self._limits.known()
        if known and node_id in self._hub.peers_with(self._feature):
            self._hub.send_to([node_id], messages.LimitReports(known))

    def receive(
        self,
        from_node: str,
        limits: tuple[endpoint_limits.EndpointLimit, ...],
        now_s: float,
    ) -> None:
        """Apply reports; pass those that are news on to the other nodes."""
        news = tuple(
            limit for limit in limits if self._limits.merge(limit, now_s)
        )
        for limit in news:
            limit_reader.log(limit, from_node)
        if news:
            self._send(news, from_node)

    def _send(
        self,
        limits: tuple[endpoint_limits.EndpointLimit, ...],
        except_node: str | None,
    ) -> None:
        receivers = [
            node_id
            for node_id in self._hub.peers_with(self._feature)
            if node_id != except_node
        ]
        if receivers:
            self._hub.send_to(receivers, messages.LimitReports(limits))
