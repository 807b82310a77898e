"""Builds a gateway node from its settings and runs it until it stops."""

import dataclasses
import functools
import socket
import time
import typing

from twisted.internet import interfaces
from twisted.internet import task

from fireflypulley.core import facts
from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import usage
from fireflypulley.gateway import background
from fireflypulley.gateway import caller_factory
from fireflypulley.gateway import callers
from fireflypulley.gateway import connector
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import duties
from fireflypulley.gateway import follower
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import limit_reader
from fireflypulley.gateway import loop_delay
from fireflypulley.gateway import membership
from fireflypulley.gateway import memory_log
from fireflypulley.gateway import metrics
from fireflypulley.gateway import node_port
from fireflypulley.gateway import pages
from fireflypulley.gateway import peer_sync
from fireflypulley.gateway import permit_broker
from fireflypulley.gateway import pools
from fireflypulley.gateway import prober
from fireflypulley.gateway import replica_scaler
from fireflypulley.gateway import rollout_controller
from fireflypulley.gateway import row_codec
from fireflypulley.gateway import settings
from fireflypulley.gateway import status
from fireflypulley.gateway import stop_order
from fireflypulley.gateway import tunnel_server
from fireflypulley.platform import base
from fireflypulley.transport import memory
from fireflypulley.transport import process_limits
from fireflypulley.transport import sockets

TICK_INTERVAL_S = 0.25
START_CHECK_INTERVAL_S = 0.01
START_READ_TIMEOUT_S = 0.5
"""A starting node accepts callers after this time, even without having
read the store or heard another node."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapters:
    """Access to the external systems of a node."""

    store: base.ControlStore
    cloud: base.FencedCloud
    row_codec: row_codec.RowCodec
    header_codec: header_codec.HeaderCodec


class WallClockUsage(usage.UsageCounts):
    """Usage counts keyed by wall-clock time."""

    def count_now(self, workspace: str) -> None:
        """Count a request in the current window; it has begun to run."""
        self.count(workspace, time.time())


def _caller_bounds(config: settings.NodeSettings) -> caller_ends.CallerBounds:
    """Return what slow callers may cost on the machine of a node."""
    most = config.limits.held_bytes // 2
    bounds = config.caller_bounds
    return dataclasses.replace(
        bounds, total_held_bytes=min(most, bounds.total_held_bytes)
    )


class Service(stop_order.StoppableNode):
    """One gateway node."""

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        config: settings.NodeSettings,
        adapters: Adapters,
        callers_port: socket.socket | None = None,
    ) -> None:
        self._reactor = reactor
        self._config = config
        self._callers_socket = callers_port
        self._adapters = adapters
        self._stop = stop_order.StopOrder(
            reactor, config.shutdown_grace_s, self
        )
        self._peer_registry = peer_registry.PeerRegistry(config.node)
        self._scheduler = scheduler.RequestScheduler(
            config.node.failure_domain,
            config.shared_bounds,
            config.node.node_id,
        )
        self._metrics = metrics.GatewayMetrics()
        limits = process_limits.apply(config.limits)
        self._memory = memory.MemoryBudget(
            reactor, limits.held_bytes, memory_log.let_give_up
        )
        self._connections = pools.ConnectionPools(reactor)
        self._prober = prober.Prober(
            reactor, self._scheduler, self._connections
        )
        self._tunnel_server = tunnel_server.TunnelServer(
            reactor,
            self._scheduler.fleet,
            self._connections.paths.direct,
            limits.carried_connections,
            self._memory,
        )
        self._usage = WallClockUsage(
            config.usage_window_s, config.node.started_ms
        )
        self._follower = follower.Follower(
            reactor, adapters.store, adapters.row_codec, self._scheduler
        )
        self._duties = duties.DutyManager(
            reactor,
            self._peer_registry,
            adapters.store,
            adapters.cloud,
            self._usage,
            config.usage_delay_s,
            self._follower.health.note_failure,
        )
        self._replica_scaler = replica_scaler.ReplicaScaler(
            reactor, self._scheduler, adapters.cloud
        )
        self._rollout_controller = rollout_controller.RolloutController(
            reactor, self._scheduler, adapters.store, adapters.row_codec
        )
        self._membership = membership.Membership(
            reactor, self._peer_registry, adapters.store
        )
        self._permits = permit_broker.PermitBroker(
            reactor, self._scheduler, self._issuing_term
        )
        self._scheduler.prompt_crashes.may_try = lambda: (
            self._issuing_term() is not None
        )
        self._peer_sync: peer_sync.PeerSync | None = None
        shared = dependencies.Dependencies(
            reactor,
            self._scheduler,
            adapters.header_codec,
            connector.Connector(
                reactor, self._scheduler, self._connections, self._permits
            ),
            self._usage.count_now,
            self._metrics,
            crash_detector.CrashDetector(
                reactor,
                self._scheduler,
                self._prober,
                self._publish,
                self._publish_crashes,
            ),
            limit_reader.LimitReader(
                self._scheduler.limited.limits,
                self._scheduler.brittle,
                self._scheduler.leaving,
                self._limit_changed,
                self._endpoint_leaves,
            ),
            self._request_done,
            self._memory,
            lambda: self._stop.ends_at_s,
        )
        self.callers = callers.Callers(
            shared, self._stop, self._send_state_early
        )
        self._caller_factory = caller_factory.CallerFactory(
            reactor,
            self.callers,
            _caller_bounds(config),
            self._memory,
            limits.caller_connections,
        )
        held = self._caller_factory.held
        self._memory.callers_left = lambda: held.left_bytes
        self._loop_delay = loop_delay.LoopDelay(TICK_INTERVAL_S)
        self._tick_loop = task.LoopingCall(self._tick)
        self._tick_loop.clock = reactor
        self._caller_port = self._make_port(
            "callers", config.callers, self._caller_factory
        )
        sources = status.Sources(
            self._scheduler,
            self._peer_registry,
            self._follower,
            self._duties,
            self._connections.paths,
            self._tunnel_server,
        )
        counted = pages.Counted(
            self._metrics, self._memory, held, self._permits, self._loop_delay
        )
        self.pages = pages.Pages(
            reactor,
            sources,
            counted,
            self.callers,
            self._stop,
            self._caller_port,
        )

    # Startup and periodic work

    def start(self) -> None:
        """Start to listen and to follow the store."""
        config = self._config
        started_s = self._reactor.seconds()
        self._scheduler.begin(started_s)
        for purpose, address, site in (
            ("readiness", config.readiness, self.pages.readiness_site()),
            ("metrics", config.metrics, self.pages.operators_site()),
        ):
            self._make_port(purpose, address, site).open()
        self._follower.start()
        self._listen_when_ready(self._reactor.seconds() + START_READ_TIMEOUT_S)
        self._tick_loop.start(TICK_INTERVAL_S, now=False)
        background.start(self._join(started_s), joining=True)
        decision_log.note("node", state="started")

    def _listen_when_ready(self, deadline_s: float) -> None:
        """Accept callers once the node knows what the others know.

        That is the configuration and the endpoints, and from another node
        which endpoints name a limit.
        """
        if self._stop.has_begun:
            return
        sync = self._peer_sync
        is_ready = (
            self._scheduler.document is not None
            and any(self._scheduler.fleet)
            and sync is not None
            and sync.has_heard_peers
        )
        if is_ready or self._reactor.seconds() >= deadline_s:
            self._listen_for_callers()
            return
        self._reactor.callLater(
            START_CHECK_INTERVAL_S, self._listen_when_ready, deadline_s
        )

    def _listen_for_callers(self) -> None:
        opened = self._callers_socket
        if opened is None:
            self._caller_port.open()
        else:
            self._caller_port.adopt(opened)

    def _make_port(
        self, purpose: str, address: settings.Address, factory: typing.Any
    ) -> node_port.NodePort:
        return node_port.NodePort(self._reactor, purpose, address, factory)

    def _tick(self) -> None:
        """Run the periodic work; an error in a part leaves the others."""
        self._loop_delay.note(self._reactor.seconds())
        for part in (
            self._forget_old,
            self._prober.tick,
            self._permits.tick,
            self._send_state,
            self._tick_duties,
        ):
            background.guard(part, loop="tick")()

    def _forget_old(self) -> None:
        now_s = self._reactor.seconds()
        for member in self._scheduler.fleet.expire(now_s):
            self._note_lapsed(member, now_s)
        self._scheduler.forget_absent()
        self._scheduler.shared.expire(now_s)
        self._scheduler.prompt_crashes.forget_old(now_s)
        present = {member.registration.key for member in self._scheduler.fleet}
        self._connections.tick(present)

    def _send_state(self) -> None:
        if self._peer_sync is not None:
            self._peer_sync.send_state()

    def _send_state_early(self) -> None:
        if self._peer_sync is not None:
            self._peer_sync.send_state_early()

    def _note_lapsed(self, member: fleet.Member, now_s: float) -> None:
        kept_s = now_s - (member.removed_s or now_s)
        in_use = self._scheduler.fleet.in_use(
            member.registration.service, now_s
        )
        decision_log.note(
            "endpoint",
            endpoint=member.endpoint_id,
            state="lapsed",
            kept_ms=round(kept_s * 1000),
            in_use=len(in_use),
        )

    def _tick_duties(self) -> None:
        """Compete for the duty, and run the tasks of its holder."""
        if self._stop.has_begun:
            return
        self._duties.tick(self._peer_sync)
        if self._config.scales_replicas:
            self._replica_scaler.tick(self._find_fence)
        fence = self._find_fence()
        if fence is not None and self._peer_sync is not None:
            self._peer_sync.publish(
                self._rollout_controller.tick(fence.fencing)
            )

    def _find_fence(self) -> base.Fence | None:
        """Return the fence of an action now, None unless the duty is held."""
        may_act = self._duties.holds and not self._stop.has_begun
        return self._duties.fence if may_act else None

    # Other nodes

    async def _join(self, started_s: float) -> None:
        """Register this node, and keep the list of other nodes up to date."""
        key = await background.restart_on_error(
            self._reactor, self._membership.join, joining=True
        )
        sync = peer_sync.PeerSync(
            self._reactor,
            self._peer_registry,
            key,
            self._scheduler,
            self._usage,
            self._follower,
            lambda: self._issuing_term() is not None,
            self._permits,
            self._memory,
        )
        factory = sync.hub.server_factory()
        self._make_port("nodes", self._config.nodes, factory).open()
        self._peer_sync = sync
        self._follower.has_relay_feed = lambda: sync.has_relay_feed
        self._follower.feeds_others = lambda: sync.feeds_others
        self._connections.paths.tunnels = sync.tunnel_dialer
        self._scheduler.ways = sync.tunnel_dialer.join_paths(
            self._connections.paths.direct
        )
        self._duties.on_settled = sync.usage_reports.publish
        sync.hub.receive_tunnel = self._tunnel_server.receive
        self._follower.health.peers_lost_store = lambda: sync.peers_lost_store
        sync.start()
        self._scheduler.join(
            started_s,
            self._membership.is_first_start,
            self._reactor.seconds(),
            started_s - self._membership.since_previous_s,
        )
        await background.restart_on_error(
            self._reactor,
            lambda: self._membership.refresh_periodically(
                sync.nodes_changed, lambda: sync.is_mesh
            ),
            loop="nodes",
        )

    def _issuing_term(self) -> int | None:
        """Return the fencing number while this node may act alone."""
        fence = self._find_fence()
        return None if fence is None else fence.fencing

    def _limit_changed(self, limit: endpoint_limits.EndpointLimit) -> None:
        if self._peer_sync is not None:
            self._peer_sync.limits.publish(limit)

    def _endpoint_leaves(self, report: leaving_reports.LeavingReport) -> None:
        if self._peer_sync is not None:
            self._peer_sync.leaving.publish(report)

    def _publish_crashes(
        self, reports: typing.Sequence[prompt_crashes.CrashReport]
    ) -> None:
        if self._peer_sync is not None:
            self._peer_sync.crashes.publish(*reports)

    def _publish(self, fact: facts.Fact) -> None:
        if self._peer_sync is not None:
            self._peer_sync.publish([fact])

    def _request_done(self, handler: inbound.RequestHandler) -> None:
        self.callers.request_done(handler)

    # Shutdown

    def reload(self) -> None:
        """Log a reload request; no setting can be reloaded."""
        decision_log.note("node", state="reload")

    def shut_down(self) -> None:
        """Stop accepting callers, finish open requests, then stop."""
        self._stop.begin()

    # stop_order.StoppableNode

    def announce_stop(self, ends_at_s: float) -> None:
        self._tunnel_server.begin_stop(ends_at_s)
        if self._caller_port.is_taken:
            self._caller_port.take()
        decision_log.note(
            "node",
            state="stopping",
            open=self.callers.open_count,
            tunnels=self._tunnel_server.open_count,
        )

    def refuse_callers(self) -> None:
        port = self._caller_port.take()
        if port is not None:
            # The reactor closes a port in its next turn, and resets those
            # who connect in the meantime.
            accept = functools.partial(sockets.accept_waiting, port)
            self._reactor.callLater(0, background.guard(accept, loop="stop"))
            port.stopListening()
        self.callers.close_idle()

    @property
    def accepts_callers(self) -> bool:
        return self._caller_port.is_open

    @property
    def is_in_use(self) -> bool:
        tunnels = self._tunnel_server.open_count
        return bool(self.callers.connections or tunnels)

    def end(self) -> None:
        self.callers.abort_requests()
        background.guard(self._tunnel_server.abort_all, loop="stop")()
        decision_log.note("node", state="stopped")
        background.guard(self._send_state, loop="stop")()
        self.callers.hand_over()
        self._reactor.callLater(0, self._reactor.stop)
