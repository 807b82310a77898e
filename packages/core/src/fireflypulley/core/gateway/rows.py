"""Cache of the newest known rows of the tables that a node follows.

Rows come from the store and from other nodes; a lower version never
replaces a higher one, whatever its source.  Versions are those of
``row_versions``.
"""

import dataclasses
import math

from fireflypulley.core.gateway import row_versions


@dataclasses.dataclass(frozen=True, slots=True)
class FollowedRow:
    """A row as last received; ``value`` None means removed."""

    table: str
    key: str
    version: int
    value: bytes | None


class RowCache:
    """Rows by table and key, with the newest version of each table."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], FollowedRow] = {}
        self._versions: dict[str, int] = {}
        self._baselines: dict[str, int] = {}
        self._since_s: dict[tuple[str, str], float] = {}

    def version(self, table: str) -> int:
        """Return the newest version known of a table."""
        return self._versions.get(table, 0)

    def versions(self) -> dict[str, int]:
        """Return the newest known version of each table."""
        return dict(self._versions)

    def note_version(self, table: str, version: int) -> None:
        """Record that all rows up to a version are known."""
        self._versions[table] = max(version, self.version(table))

    def note_baseline(self, table: str, version: int) -> None:
        """Record that a full read returned all rows as of a version.

        Removals before it are unknown: a row that it lacks may have been
        written and removed while this node followed no changes.
        """
        self._baselines[table] = version

    def knows_since(self, table: str, version: int) -> bool:
        """Return whether all changes after a version are known."""
        baseline = self._baselines.get(table)
        return baseline is not None and version >= baseline

    def present(self, table: str) -> list[FollowedRow]:
        """Return the rows of a table that are not removed."""
        return [
            row
            for row in self._rows.values()
            if row.table == table and row.value is not None
        ]

    def get(self, table: str, key: str) -> FollowedRow | None:
        """Return a row, which may be a removed one."""
        return self._rows.get((table, key))

    def is_removed(self, row: FollowedRow) -> bool:
        """Return whether a row is known as removed."""
        known = self._rows.get((row.table, row.key))
        return known is not None and known.value is None

    def update(self, row: FollowedRow, since_s: float = -math.inf) -> bool:
        """Apply a row; return whether it is news.

        A row that only a new era of the store numbered anew is not.
        ``since_s`` is the earliest time at which the store may have had it.
        """
        known = self._rows.get((row.table, row.key))
        if known is not None and row.version <= known.version:
            return False
        self._rows[(row.table, row.key)] = row
        self._since_s[(row.table, row.key)] = since_s
        if known is None or known.value != row.value:
            return True
        return row_versions.era(known.version) == row_versions.era(row.version)

    def since(self, table: str, version: int) -> list[FollowedRow]:
        """Return the rows of a table that changed after a version."""
        return [
            row
            for row in self._rows.values()
            if row.table == table and row.version > version
        ]

    def since_s(self, row: FollowedRow) -> float:
        """Return the earliest time at which the store may have had a row."""
        return self._since_s.get((row.table, row.key), -math.inf)

    def changed_since_s(self, table: str, version: int, now_s: float) -> float:
        """Return since when the store may have had what follows a version."""
        changed = self.since(table, version)
        return min(map(self.since_s, changed), default=now_s)

    def removals(
        self, table: str, listed: set[str], version: int
    ) -> list[FollowedRow]:
        """Return removals for rows that a full read did not return."""
        return [
            FollowedRow(table, row.key, version, None)
            for row in self._rows.values()
            if row.table == table
            and row.value is not None
            and row.key not in listed
            and row.version <= version
        ]
