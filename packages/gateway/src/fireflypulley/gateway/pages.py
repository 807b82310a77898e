"""The pages of a node: for load balancer, metrics collector, operators."""

import dataclasses

from twisted.internet import interfaces
from twisted.web import server

from fireflypulley.gateway import callers
from fireflypulley.gateway import loop_delay
from fireflypulley.gateway import metrics
from fireflypulley.gateway import node_port
from fireflypulley.gateway import permit_broker
from fireflypulley.gateway import send_queue
from fireflypulley.gateway import status
from fireflypulley.gateway import stop_order
from fireflypulley.gateway import web
from fireflypulley.transport import memory


@dataclasses.dataclass(frozen=True, slots=True)
class Counted:
    """What the metrics count beside what the status shows."""

    metrics: metrics.GatewayMetrics
    memory: memory.MemoryBudget
    held: send_queue.HeldBytes
    permits: permit_broker.PermitBroker
    loop_delay: loop_delay.LoopDelay


class Pages:
    """Says whether a node is ready, what it knows and what it counts."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        sources: status.Sources,
        counted: Counted,
        node_callers: callers.Callers,
        stop: stop_order.StopOrder,
        caller_port: node_port.NodePort,
    ) -> None:
        self._reactor = reactor
        self._sources = sources
        self._counted = counted
        self._callers = node_callers
        self._stop = stop
        self._caller_port = caller_port

    def readiness_site(self) -> server.Site:
        """Return the site that load balancers ask."""
        return web.create({"readyz": web.Page(self.readiness)})

    def operators_site(self) -> server.Site:
        """Return the site of the metrics and of the status."""
        return web.create(
            {
                "metrics": web.Page(self.metrics),
                "status": web.Page(self.status),
            }
        )

    def readiness(self) -> tuple[int, bytes]:
        """Return 200 while callers may be sent here."""
        if self._stop.has_begun:
            return 503, b"stopping\n"
        if self._sources.scheduler.document is None:
            return 503, b"no configuration yet\n"
        if self._caller_port.is_taken:
            return 503, b"the port for callers is taken\n"
        return 200, b"ready\n"

    def status(self) -> tuple[int, bytes]:
        """Return what the node knows, as JSON."""
        now_s = self._reactor.seconds()
        page = status.describe(self._sources, now_s, self._callers.open_count)
        return 200, status.render(page)

    def metrics(self) -> tuple[int, bytes]:
        """Return the metrics in the Prometheus text format."""
        now_s = self._reactor.seconds()
        sources, counted = self._sources, self._counted
        page, paths = counted.metrics, sources.paths
        page.collect_paths(
            paths.direct.is_cut_off(now_s),
            paths.tunnels_opened,
            sources.tunnel_server.open_count,
        )
        page.collect_closes(paths.closes)
        page.collect_loop(counted.loop_delay.take_longest_s())
        page.collect_callers(counted.held.total_bytes)
        page.collect_memory(counted.memory.used_bytes, counted.memory.given_up)
        page.collect(
            sources.scheduler,
            self._callers.open_count,
            sources.follower.unreadable,
            sources.duties.holds,
            counted.permits.counts,
            now_s,
        )
        return 200, page.render()
