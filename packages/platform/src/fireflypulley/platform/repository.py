"""Typed access to the configuration, ledger and lease rows."""

import typing

import pydantic

from fireflypulley.core import configuration
from fireflypulley.core import leases
from fireflypulley.core import ledger_rows
from fireflypulley.platform import base

CONFIG_TABLE = "configuration"
LEDGER_TABLE = "ledger"
LEASE_TABLE = "leases"

_ENTRY = pydantic.TypeAdapter(configuration.Entry)
_LEDGER_ROW = pydantic.TypeAdapter(ledger_rows.Row)
_LEASE = pydantic.TypeAdapter(leases.Lease)
_Parsed = typing.TypeVar("_Parsed")


def parse_row(
    adapter: pydantic.TypeAdapter[_Parsed], row: base.Row
) -> _Parsed:
    try:
        return adapter.validate_json(row.value)
    except pydantic.ValidationError as error:
        raise base.Unavailable(f"invalid row {row.key!r}: {error}")


class ConfigurationRows:
    """Reads and writes configuration entries."""

    def __init__(self, table: base.Table) -> None:
        self._table = table
        self._revision = 0

    async def fetch_updates(self) -> tuple[configuration.Entry, ...]:
        """Return the entries changed since the last call.

        Raises ``base.Unavailable``.
        """
        changes = await self._table.changes(CONFIG_TABLE, self._revision)
        entries = tuple(self._entry(row) for row in changes.rows)
        self._revision = changes.revision
        return entries

    def _entry(self, row: base.Row) -> configuration.Entry:
        entry = parse_row(_ENTRY, row)
        return configuration.Entry(
            entry.kind,
            entry.name,
            row.version,
            entry.operation_id,
            entry.body,
        )

    async def write(
        self, entries: tuple[configuration.Entry, ...]
    ) -> tuple[configuration.Entry, ...]:
        """Replace the entries' current versions; version 0 creates one.

        Returns the entries with their new versions.  Raises
        ``base.Conflict``.  If the table does not answer, reads the rows
        back and raises ``base.Unavailable`` only if these do not show
        that the write took effect.
        """
        writes = tuple(
            base.Write(
                CONFIG_TABLE,
                f"{entry.kind.value}/{entry.name}",
                entry.version or None,
                _ENTRY.dump_json(entry),
            )
            for entry in entries
        )
        operation_id = entries[0].operation_id
        try:
            versions = await self._table.transact(operation_id, writes)
        except base.Unavailable:
            written_entries = await self._read_back(entries)
            if written_entries is None:
                raise
            return written_entries
        return tuple(
            configuration.Entry(
                entry.kind,
                entry.name,
                version,
                entry.operation_id,
                entry.body,
            )
            for entry, version in zip(entries, versions)
        )

    async def _read_back(
        self, entries: tuple[configuration.Entry, ...]
    ) -> tuple[configuration.Entry, ...] | None:
        entries_read = []
        for entry in entries:
            key = f"{entry.kind.value}/{entry.name}"
            row = await self._table.read(CONFIG_TABLE, key)
            if row is None:
                return None
            written = self._entry(row)
            if written.operation_id != entry.operation_id:
                return None
            entries_read.append(written)
        return tuple(entries_read)


class LedgerRows:
    """Reads and writes the records of at-most-once requests."""

    def __init__(self, table: base.Table) -> None:
        self._table = table

    async def transact(
        self, operation_id: str, writes: tuple[ledger_rows.RowWrite, ...]
    ) -> None:
        """Apply all writes or none; raises like ``base.Table.transact``."""
        await self._table.transact(
            operation_id,
            tuple(
                base.Write(
                    LEDGER_TABLE,
                    write.row_key,
                    write.version,
                    _LEDGER_ROW.dump_json(write.row),
                )
                for write in writes
            ),
        )

    async def read(self, row_key: str) -> ledger_rows.VersionedRow | None:
        """Return a record; raises ``base.Unavailable``."""
        row = await self._table.read(LEDGER_TABLE, row_key)
        if row is None:
            return None
        return ledger_rows.VersionedRow(
            parse_row(_LEDGER_ROW, row), row.version
        )


class LeaseRows:
    """Acquires and renews leases."""

    def __init__(self, table: base.Table) -> None:
        self._table = table

    async def acquire(
        self, name: str, holder: str, asked_s: float, ttl_s: float
    ) -> leases.Lease | None:
        """Return the lease, or None if another node holds it.

        Raises ``base.Unavailable``.
        """
        row = await self._table.read(LEASE_TABLE, name)
        known = None if row is None else parse_row(_LEASE, row)
        renewed = leases.renewal(known, holder, asked_s, ttl_s)
        if renewed is None:
            return None
        write = base.Write(
            LEASE_TABLE,
            name,
            None if row is None else row.version,
            _LEASE.dump_json(renewed),
        )
        try:
            await self._table.transact(f"{holder}-{asked_s}", (write,))
        except base.Conflict:
            return None
        return renewed
