"""What the product needs of the platform, one class per service."""

import abc
import dataclasses

from fireflypulley.core.gateway import rows
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


class HistoryLost(Exception):
    """The store no longer has the changes that were asked for."""


class RowsConflict(Exception):
    """A transaction met another version; ``current`` holds its rows."""

    def __init__(self, current: tuple[rows.FollowedRow, ...]) -> None:
        super().__init__(f"met other versions of {len(current)} rows")
        self.current = current


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows of a table as of one version of the store."""

    version: int
    rows: tuple[rows.FollowedRow, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A row to write; ``expected_version`` 0 means no such row yet.

    With ``expected_version`` None the row is written whatever is there.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: int | None


class ControlStore(abc.ABC):
    """The store of rows that all nodes and the operators share.

    All methods raise ``Unavailable`` when no answer comes; a write may
    then have been done, or be done later if its condition still holds.
    """

    @abc.abstractmethod
    async def read(self, table: str) -> Snapshot:
        """Return all rows of a table."""

    @abc.abstractmethod
    async def watch(self, table: str, after: int, wait_s: float) -> Snapshot:
        """Return the rows changed after a version, waiting for some.

        Raises ``HistoryLost``.
        """

    @abc.abstractmethod
    async def transact(self, writes: tuple[RowWrite, ...]) -> int:
        """Write all rows or none; return the version of the write.

        Raises ``RowsConflict``.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class Fence:
    """Who acts, and the number that orders holders in time."""

    holder: str
    fencing: int


@dataclasses.dataclass(frozen=True, slots=True)
class CountOrder:
    """How many endpoints of a kind a service is to have in a domain."""

    service: str
    failure_domain: str
    count: int
    reclaimable: bool


class OrderRefused(Exception):
    """None are to be had there at the moment."""


class FencedCloud(abc.ABC):
    """Calls that one node at a time makes to the cloud.

    They raise ``Unavailable`` when no answer comes.
    """

    @abc.abstractmethod
    async def report_usage(
        self, fence: Fence, window: int, counts: dict[str, int]
    ) -> None:
        """Report the requests by workspace of one window."""

    @abc.abstractmethod
    async def order(self, fence: Fence, order: CountOrder) -> None:
        """Order endpoints; raises ``OrderRefused``."""
