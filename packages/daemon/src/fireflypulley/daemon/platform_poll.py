"""Polls the platform and the endpoints for changes."""

import collections.abc

from twisted.internet import task

from fireflypulley.core import events
from fireflypulley.core import topology
from fireflypulley.daemon import driver
from fireflypulley.daemon import settings
from fireflypulley.daemon import store
from fireflypulley.endpoints import clients
from fireflypulley.platform import base

_Work = collections.abc.Callable[
    [], collections.abc.Coroutine[object, object, None]
]


class Poller:
    """The periodic reads of a node.

    A read is skipped while the previous one of its kind is running.
    """

    def __init__(
        self,
        loop: driver.Driver,
        storage: store.Store,
        instances: base.InstanceList,
        endpoint_clients: clients.Clients,
        config: settings.PlatformSettings,
        poll_jobs: _Work,
        on_leaving: collections.abc.Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = storage
        self._instances = instances
        self._clients = endpoint_clients
        self._poll_jobs = poll_jobs
        self._on_leaving = on_leaving
        self._busy: set[str] = set()
        self._loops = [
            (
                self._create_loop("config", self._poll_config),
                config.config_period_s,
            ),
            (
                self._create_loop("instances", self._poll_instances),
                config.instances_period_s,
            ),
            (self._create_loop("load", self._poll_load), config.load_period_s),
        ]

    def _create_loop(self, name: str, work: _Work) -> task.LoopingCall:
        def start_unless_busy() -> None:
            if name not in self._busy:
                self._busy.add(name)
                store.spawn(self._run(name, work))

        return task.LoopingCall(start_unless_busy)

    async def _run(self, name: str, work: _Work) -> None:
        try:
            await work()
        finally:
            self._busy.discard(name)

    def start(self) -> None:
        """Start polling."""
        for loop, period_s in self._loops:
            loop.start(period_s)

    def stop(self) -> None:
        """Stop polling."""
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()

    async def _poll_config(self) -> None:
        await self._store.poll()
        await self._poll_jobs()

    async def _poll_instances(self) -> None:
        try:
            listing = await self._instances.instances()
        except base.Unavailable:
            return
        this = self._loop.core.state.this.node_id
        self._loop.feed(
            events.InstancesListed(listing.endpoints, listing.nodes)
        )
        if any(n.leaving for n in listing.nodes if n.node_id == this):
            self._on_leaving()

    async def _poll_load(self) -> None:
        for state in list(self._loop.core.state.pool):
            store.spawn(self._poll_endpoint(state.endpoint))

    async def _poll_endpoint(self, endpoint: topology.Endpoint) -> None:
        report = await self._clients.load(endpoint.address)
        if report is not None:
            self._loop.feed(events.LoadReported(endpoint.endpoint_id, report))
