"""What the product needs of the platform, one class per service."""

import abc
import dataclasses

from fireflypulley.core import topology


class Unavailable(Exception):
    """A service did not answer; a write may have taken effect."""


class Conflict(Exception):
    """A conditional write met another version.

    ``indexes`` names the writes of the transaction that conflicted.
    """

    def __init__(self, indexes: tuple[int, ...]) -> None:
        super().__init__(f"writes {indexes} met other versions")
        self.indexes = indexes


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table; ``value`` is JSON text."""

    key: str
    version: int
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional write; ``version`` None means no such row yet."""

    table: str
    key: str
    version: int | None
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The rows changed since a revision, and the new revision."""

    revision: int
    rows: tuple[Row, ...]


class Table(abc.ABC):
    """The transactional table service.

    All methods raise ``Unavailable`` when the service does not answer.
    """

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None where there is none."""

    @abc.abstractmethod
    async def changes(self, table: str, revision: int) -> Changes:
        """Return what changed in a table since ``revision``."""

    @abc.abstractmethod
    async def transact(
        self, operation_id: str, writes: tuple[Write, ...]
    ) -> tuple[int, ...]:
        """Do all writes or none; return the new versions.

        Raises ``Conflict`` when a row has another version.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object's content with its version mark."""

    etag: str
    content: bytes


class ObjectStore(abc.ABC):
    """The object store; raises ``Unavailable`` as ``Table`` does."""

    @abc.abstractmethod
    async def get(self, name: str) -> StoredObject | None:
        """Return an object, or None where there is none."""

    @abc.abstractmethod
    async def put(self, name: str, content: bytes, etag: str | None) -> str:
        """Store an object over the version ``etag``; return the new one.

        ``etag`` None creates the object.  Raises ``Conflict``.
        """

    @abc.abstractmethod
    async def delete(self, name: str) -> None:
        """Remove an object; a missing one is no error."""


@dataclasses.dataclass(frozen=True, slots=True)
class Instances:
    """The instance list of some moment, which may lag."""

    endpoints: tuple[topology.Endpoint, ...]
    nodes: tuple[topology.Node, ...]


class InstanceList(abc.ABC):
    """The platform's list of live and leaving instances."""

    @abc.abstractmethod
    async def instances(self) -> Instances:
        """Return the list; raises ``Unavailable``."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """An order for one instance; ``operation_id`` makes it idempotent."""

    operation_id: str
    service: str
    version: str
    failure_domain: str
    machine_class: str
    reclaimable: bool


class StartRefused(Exception):
    """The cloud has no such instance to give now."""


class Cloud(abc.ABC):
    """The cloud API: instances to start and stop."""

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> str:
        """Start an instance and return its id.

        Raises ``StartRefused`` and ``Unavailable``.
        """

    @abc.abstractmethod
    async def stop(self, instance_id: str) -> None:
        """Stop an instance; raises ``Unavailable``."""
