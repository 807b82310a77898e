"""The operators' view of a node, and the changes they request."""

import hmac
import pathlib

from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import pool
from fireflypulley.daemon import driver
from fireflypulley.daemon import store
from fireflypulley.operators import control
from fireflypulley.platform import base


class NodeControl(control.Control):
    """Implements the operators' API on one node."""

    def __init__(
        self,
        loop: driver.Driver,
        storage: store.Store,
        token_file: pathlib.Path,
    ) -> None:
        self._loop = loop
        self._store = storage
        self._token_file = token_file

    def authorized(self, token: str) -> bool:
        try:
            lines = self._token_file.read_text().split()
        except OSError:
            return False
        return any(
            hmac.compare_digest(token.encode(), line.encode())
            for line in lines
        )

    def config(self) -> configuration.Configuration:
        return self._loop.core.state.config

    async def refresh(self) -> None:
        if not await self._store.poll():
            raise control.StoreUnavailable("the table does not answer")

    async def write(
        self, entries: tuple[configuration.Entry, ...]
    ) -> tuple[configuration.Entry, ...]:
        try:
            written = await self._store.config.write(entries)
        except base.Conflict as error:
            await self.refresh()
            raise control.ConcurrentChange(
                self._conflicting_entries(entries, error.indexes)
            )
        except base.Unavailable as error:
            raise control.StoreUnavailable(f"outcome unknown: {error}")
        for entry in written:
            self._loop.feed(events.EntryWritten(entry))
        return written

    def _conflicting_entries(
        self,
        entries: tuple[configuration.Entry, ...],
        indexes: tuple[int, ...],
    ) -> tuple[configuration.Entry, ...]:
        rejected = [entries[index] for index in indexes]
        current = [
            self.config().get(entry.kind, entry.name) for entry in rejected
        ]
        return tuple(entry for entry in current if entry is not None)

    def now_s(self) -> float:
        return self._loop.now_s()

    def status(self) -> control.StatusView:
        core = self._loop.core
        now_s = self._loop.now_s()
        return control.StatusView(
            node_id=core.state.this.node_id,
            failure_domain=core.state.this.failure_domain,
            ready=core.ready(now_s),
            confirmed=core.confirmed(now_s),
            config_total_version=core.state.config.total_version,
            open_requests=len(core.serving),
            peers=core.state.members.connected,
        )

    def endpoints(self) -> list[control.EndpointView]:
        return [
            self._endpoint(endpoint_state)
            for endpoint_state in self._loop.core.state.pool
        ]

    def _endpoint(
        self, endpoint_state: pool.EndpointState
    ) -> control.EndpointView:
        spec = endpoint_state.endpoint
        return control.EndpointView(
            endpoint_id=spec.endpoint_id,
            service=spec.service,
            version=spec.version,
            failure_domain=spec.failure_domain,
            state=self._state_of(endpoint_state),
            own_requests=endpoint_state.own_requests,
            estimated_load=endpoint_state.load,
            capacity=spec.capacity,
        )

    def _state_of(self, endpoint_state: pool.EndpointState) -> str:
        state = self._loop.core.state
        spec = endpoint_state.endpoint
        if endpoint_state.leaving:
            return "leaving"
        if spec.failure_domain in state.config.drained_domains:
            return "drained"
        if endpoint_state.ejected_until_s > self._loop.now_s():
            return "ejected"
        warm = state.warmup.is_warm(spec.endpoint_id)
        return "warm" if warm else "cold"

    def nodes(self) -> list[control.NodeView]:
        state = self._loop.core.state
        now_s = self._loop.now_s()
        views = []
        for node_id in state.members.listed_nodes:
            node = state.members.node(node_id)
            if node is None:
                continue
            name = "alive"
            if state.members.is_down(node_id, now_s):
                name = "down"
            elif node.leaving:
                name = "leaving"
            views.append(
                control.NodeView(
                    node_id, node.address, node.failure_domain, name
                )
            )
        return views

    def request(self, request_id: str) -> control.RequestView | None:
        progress = self._loop.core.serving.progress(request_id)
        if progress is None:
            return None
        attempt = progress.attempt
        return control.RequestView(
            request_id=request_id,
            workspace=progress.request.workspace,
            service=progress.request.service,
            phase=progress.phase.value,
            attempts=progress.attempt_count,
            endpoint_id=attempt.endpoint_id if attempt else "",
            tokens=progress.tokens,
        )

    def domains(self) -> list[control.DomainView]:
        state = self._loop.core.state
        names = {
            endpoint_state.endpoint.failure_domain
            for endpoint_state in state.pool
        }
        names |= {
            entry.name
            for entry in state.config.of_kind(configuration.EntryKind.DOMAIN)
        }
        return [self._domain(name) for name in sorted(names)]

    def _domain(self, name: str) -> control.DomainView:
        state = self._loop.core.state
        entry = state.config.get(configuration.EntryKind.DOMAIN, name)
        endpoint_states = [
            endpoint_state
            for endpoint_state in state.pool
            if endpoint_state.endpoint.failure_domain == name
        ]
        return control.DomainView(
            name=name,
            drained=name in state.config.drained_domains,
            version=0 if entry is None else entry.version,
            endpoints=len(endpoint_states),
            own_requests=sum(
                endpoint_state.own_requests
                for endpoint_state in endpoint_states
            ),
        )
