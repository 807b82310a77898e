"""The interface between the operators' API and its node."""

import abc
import dataclasses

from fireflypulley.core import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint from this node's point of view."""

    endpoint_id: str
    service: str
    version: str
    failure_domain: str
    state: str
    own_requests: int
    estimated_load: int
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeView:
    """A node from this node's point of view."""

    node_id: str
    address: str
    failure_domain: str
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestView:
    """An open request on this node."""

    request_id: str
    workspace: str
    service: str
    phase: str
    attempts: int
    endpoint_id: str
    tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class StatusView:
    """The state of this node."""

    node_id: str
    failure_domain: str
    ready: bool
    confirmed: bool
    config_total_version: int
    open_requests: int
    peers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """A failure domain, its endpoints and this node's requests there."""

    name: str
    drained: bool
    version: int
    endpoints: int
    own_requests: int


class Control(abc.ABC):
    """Reads the node's state; reads and changes the configuration."""

    @abc.abstractmethod
    def authorized(self, token: str) -> bool:
        """Return whether a bearer token belongs to an operator."""

    @abc.abstractmethod
    def config(self) -> configuration.Configuration:
        """Return this node's current configuration."""

    @abc.abstractmethod
    async def refresh(self) -> None:
        """Read the latest configuration; raises ``StoreUnavailable``."""

    @abc.abstractmethod
    async def write(
        self, entries: tuple[configuration.Entry, ...]
    ) -> tuple[configuration.Entry, ...]:
        """Write rows.

        Raises ``StoreUnavailable`` and ``ConcurrentChange``.
        """

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return the Unix time."""

    @abc.abstractmethod
    def status(self) -> StatusView:
        """Return the node's own state."""

    @abc.abstractmethod
    def endpoints(self) -> list[EndpointView]:
        """Return the endpoints that the node knows."""

    @abc.abstractmethod
    def nodes(self) -> list[NodeView]:
        """Return the nodes that the node knows."""

    @abc.abstractmethod
    def request(self, request_id: str) -> RequestView | None:
        """Return an open request of this node, or None."""

    @abc.abstractmethod
    def domains(self) -> list[DomainView]:
        """Return the failure domains."""


class StoreUnavailable(Exception):
    """The store did not answer; a write may have taken effect."""


class ConcurrentChange(Exception):
    """Another operator changed a row first; ``rows`` are the stored ones."""

    def __init__(self, rows: tuple[configuration.Entry, ...]) -> None:
        names = ", ".join(f"{r.kind.value} {r.name}" for r in rows)
        super().__init__(f"changed by another operator: {names}")
        self.rows = rows
