"""Builds a daemon from its settings, starts it and shuts it down."""

import time
import traceback

from twisted.internet import endpoints as twisted_endpoints
from twisted.internet import interfaces
from twisted.internet import task

from fireflypulley.callers import gateway
from fireflypulley.callers import site
from fireflypulley.core import events
from fireflypulley.core import node
from fireflypulley.core import topology
from fireflypulley.daemon import clock
from fireflypulley.daemon import control
from fireflypulley.daemon import driver
from fireflypulley.daemon import fetches
from fireflypulley.daemon import frontend
from fireflypulley.daemon import handovers
from fireflypulley.daemon import job_frontend
from fireflypulley.daemon import jobs
from fireflypulley.daemon import key_directory
from fireflypulley.daemon import logs
from fireflypulley.daemon import metrics
from fireflypulley.daemon import peers
from fireflypulley.daemon import platform_poll
from fireflypulley.daemon import registry
from fireflypulley.daemon import settings
from fireflypulley.daemon import store
from fireflypulley.daemon import tasks
from fireflypulley.endpoints import clients
from fireflypulley.nodes import hub
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages
from fireflypulley.operators import api
from fireflypulley.platform import http_client
from fireflypulley.platform import http_services
from fireflypulley.platform import job_store
from fireflypulley.transport import memory
from fireflypulley.transport import open_callers
from fireflypulley.transport import process_limits

TICK_S = 0.1
STOP_CHECK_S = 0.05


class App(gateway.Gateway):
    """The parts of a daemon and its lifecycle."""

    def __init__(
        self, reactor: interfaces.IReactorCore, config: settings.Settings
    ) -> None:
        self._reactor = reactor
        self._config = config
        this = topology.Node(
            config.node.node_id,
            config.node.advertise,
            config.node.failure_domain,
            config.node.region,
        )
        incarnation = time.time_ns() // 1_000_000
        self._core = node.Node(this, incarnation)
        self._loop = driver.Driver(self._core, clock.Clock(reactor))
        self._metrics = metrics.Metrics()
        limits = process_limits.apply(config.limits.of_machine)
        self._memory = memory.MemoryBudget(
            reactor, limits.held_bytes, logs.let_give_up
        )
        self._callers = open_callers.OpenCallers(
            self._memory, limits.caller_connections
        )
        self._clients = clients.Clients(reactor)
        self._build_platform()
        self._build_streams(this, incarnation)
        self._build_serving()
        self._build_jobs()
        self._build_poller()
        self._tick_loop = task.LoopingCall(self._tick)
        self._next_tick_s: float | None = None
        self._ports: list[interfaces.IListeningPort] = []
        self._leaving = False

    def _build_platform(self) -> None:
        config = self._config.platform
        token = config.token_file.read_text().strip()
        self._http = http_client.HttpClient(self._reactor, config.url, token)
        table = http_services.HttpTable(self._http)
        self._store = store.Store(self._loop, table, self._config.node.node_id)
        objects = http_services.HttpObjectStore(self._http)
        self._job_store = job_store.JobStore(table, objects)

    def _build_poller(self) -> None:
        self._poller = platform_poll.Poller(
            self._loop,
            self._store,
            http_services.HttpInstanceList(self._http),
            self._clients,
            self._config.platform,
            self._job_runner.poll,
            self.shut_down,
        )

    def _build_streams(self, this: topology.Node, incarnation: int) -> None:
        self._peer_dispatcher = peers.PeerDispatcher(self._loop)
        self._hub = hub.Hub(
            self._reactor,
            this,
            incarnation,
            keys.FileKeyRing(self._config.node.key_file),
            self._config.node.dial,
            self._peer_dispatcher,
            self._core.state.members.node,
            (handovers.RUN_IDS_FEATURE,),
        )
        self._registry = registry.Registry(
            self._loop, self._config.limits.kept_answer_s
        )
        self._directory = key_directory.KeyDirectory(
            self._reactor,
            this.node_id,
            self._core.state.members,
            self._hub,
            self._loop.now_s,
            lambda key: self._registry.by_key(key) is not None,
            self._registry.keys_of_callers,
        )
        self._fetches = fetches.Fetches(self._hub)
        self._peer_dispatcher.connect(
            self._hub, self._directory, self._fetches, self._registry
        )

    def _build_serving(self) -> None:
        self._dependencies = tasks.Dependencies(
            self._loop.feed,
            self._clients,
            self._metrics,
            self._loop.now_s,
            self._memory,
        )
        self._frontend = frontend.Frontend(
            self._loop,
            self._dependencies,
            self._registry,
            self._directory,
            self._fetches,
        )
        self._control = control.NodeControl(
            self._loop, self._store, self._config.node.operator_token_file
        )

    def _build_jobs(self) -> None:
        self._job_runner = jobs.JobRunner(
            self._loop, self._job_store, self._registry, self._dependencies
        )
        self._job_frontend = job_frontend.JobFrontend(
            self._loop, self._job_store, self._job_runner, self._frontend
        )
        self._handovers = handovers.Handovers(
            self._reactor,
            self._loop,
            self._hub,
            self._registry,
            self._dependencies,
            self._job_runner,
            self._directory,
            self._fetches,
        )
        self._peer_dispatcher.add_handler(
            messages.Handover, self._handovers.receive
        )
        self._peer_dispatcher.add_handler(
            messages.HandoverTaken,
            lambda _, m: self._handovers.receive_taken(m),
        )

    # Lifecycle

    async def start(self) -> None:
        """Open the listening ports and start the timers."""
        for description, factory in (
            (self._config.node.streams, self._hub.server_factory()),
            (self._config.node.operators, api.create(self._control)),
            (self._config.node.callers, site.create(self, self._callers)),
        ):
            endpoint = twisted_endpoints.serverFromString(
                self._reactor, description
            )
            self._ports.append(await endpoint.listen(factory))
        self._poller.start()
        self._hub.start()
        self._tick_loop.start(TICK_S)
        logs.note("node", self._config.node.node_id, "started")

    def _tick(self) -> None:
        """Run the periodic work; an error in it is logged."""
        try:
            self._run_periodic_work()
        except Exception:
            name = self._config.node.node_id
            logs.note("node", name, "tick-failed", traceback.format_exc())

    def _run_periodic_work(self) -> None:
        now_s = self._reactor.seconds()
        if self._next_tick_s is not None:
            lag_s = max(0.0, now_s - self._next_tick_s)
            self._metrics.reactor_lag_s.observe({}, lag_s)
        self._next_tick_s = now_s + TICK_S
        self._loop.feed(events.Tick())
        self._registry.tick(now_s)
        self._directory.expire()
        self._directory.report_moved()

    def shut_down(self) -> None:
        """Shut down gracefully, then stop the reactor.

        Requests that were accepted are answered first, for at most the
        ``shutdown_grace_s`` of the settings.
        """
        if self._leaving:
            return
        self._leaving = True
        limits = self._config.limits
        leaves_at_s = self._loop.now_s() + limits.shutdown_grace_s
        self._loop.feed(events.ShutdownStarted(leaves_at_s))
        self._reactor.callLater(
            limits.balancer_delay_s, self._stop_when_idle, leaves_at_s
        )

    def _stop_when_idle(self, leaves_at_s: float) -> None:
        grace_over = self._loop.now_s() >= leaves_at_s
        if self._is_idle or grace_over:
            state = "stopped-with-open-requests"
            if self._is_idle:
                state = "stopped"
            logs.note("node", self._config.node.node_id, state)
            store.spawn(self._stop())
            return
        self._reactor.callLater(
            STOP_CHECK_S, self._stop_when_idle, leaves_at_s
        )

    @property
    def _is_idle(self) -> bool:
        """Return whether no caller waits for this node.

        The core has let go of a request whose handover is not confirmed.
        """
        pending = len(self._fetches) + len(self._handovers)
        return self._core.idle and not pending

    async def _stop(self) -> None:
        self._poller.stop()
        self._tick_loop.stop()
        for port in self._ports:
            await port.stopListening()
        self._hub.stop()
        await self._clients.close()
        await self._http.close()
        self._reactor.stop()

    # gateway.Gateway

    def submit(self, call: gateway.Call, sink: gateway.Sink) -> None:
        self._frontend.submit(call, sink)

    def caller_left(self, sink: gateway.Sink) -> None:
        self._fetches.caller_left(sink)
        self._registry.caller_left(sink)

    def submit_job(self, call: gateway.Call, sink: gateway.Sink) -> None:
        self._job_frontend.submit(call, sink)

    def job_status(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> None:
        self._job_frontend.status(call, job_id, sink)

    def job_text(
        self,
        call: gateway.Call,
        job_id: str,
        offset: int,
        sink: gateway.Sink,
    ) -> None:
        self._job_frontend.text(call, job_id, offset, sink)

    def cancel_job(
        self, call: gateway.Call, job_id: str, sink: gateway.Sink
    ) -> None:
        self._job_frontend.cancel(call, job_id, sink)

    def ready(self) -> bool:
        return self._core.ready(self._loop.now_s())

    def metrics(self) -> bytes:
        self._metrics.collect(self._loop, self._hub, self._loop.now_s())
        return self._metrics.render()
