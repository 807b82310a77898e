"""What the operators' API needs of the node behind it."""

import abc
import dataclasses

from fireflypulley.core import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointView:
    """An endpoint as this node sees it."""

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
    """A node as this node sees it."""

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
    """The node itself."""

    node_id: str
    failure_domain: str
    ready: bool
    confirmed: bool
    config_total_version: int
    open_requests: int
    peers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DomainView:
    """A failure domain and the work that is still there."""

    name: str
    drained: bool
    version: int
    endpoints: int
    own_requests: int


class Control(abc.ABC):
    """Reads and changes what is in force."""

    @abc.abstractmethod
    def authorized(self, token: str) -> bool:
        """Return whether a bearer token is an operator's."""

    @abc.abstractmethod
    def config(self) -> configuration.Configuration:
        """Return the configuration in force on this node."""

    @abc.abstractmethod
    async def refresh(self) -> None:
        """Read the table now; raises ``StoreDown``."""

    @abc.abstractmethod
    async def write(
        self, entries: tuple[configuration.Entry, ...]
    ) -> tuple[configuration.Entry, ...]:
        """Write rows; raises ``StoreDown`` and ``Raced``."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Return the Unix time."""

    @abc.abstractmethod
    def status(self) -> StatusView:
        """Return the node's own state."""

    @abc.abstractmethod
    def endpoints(self) -> list[EndpointView]:
        """Return the endpoints that the node follows."""

    @abc.abstractmethod
    def nodes(self) -> list[NodeView]:
        """Return the nodes that the node knows."""

    @abc.abstractmethod
    def request(self, request_id: str) -> RequestView | None:
        """Return an open request of this node."""

    @abc.abstractmethod
    def domains(self) -> list[DomainView]:
        """Return the failure domains."""


class StoreUnavailable(Exception):
    """The table did not answer; nothing is known to be changed."""


class ConcurrentChange(Exception):
    """Another operator changed a row first; ``rows`` are theirs."""

    def __init__(self, rows: tuple[configuration.Entry, ...]) -> None:
        names = ", ".join(f"{r.kind.value} {r.name}" for r in rows)
        super().__init__(f"changed by another operator: {names}")
        self.rows = rows
