"""Executes the core's reads and writes of the platform's table."""

import collections.abc

from twisted.internet import defer

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import ledger_rows
from fireflypulley.daemon import driver
from fireflypulley.daemon import logs
from fireflypulley.platform import base
from fireflypulley.platform import repository


def spawn(coroutine: collections.abc.Coroutine[object, object, None]) -> None:
    """Run a coroutine in the background and log its exceptions."""
    running = defer.ensureDeferred(coroutine)
    running.addErrback(
        lambda reason: logs.note(
            "daemon", "task", "failed", reason.getTraceback()
        )
    )


class Store:
    """Executes the core's actions on the table."""

    def __init__(
        self, loop: driver.Driver, table: base.Table, node_id: str
    ) -> None:
        self._loop = loop
        self._node_id = node_id
        self._config = repository.ConfigurationRows(table)
        self._ledger = repository.LedgerRows(table)
        self._leases = repository.LeaseRows(table)
        self._lock = defer.DeferredLock()
        loop.set_handler(actions.Transact, lambda a: spawn(self._transact(a)))
        loop.set_handler(actions.ReadRow, lambda a: spawn(self._read_row(a)))
        loop.set_handler(
            actions.AskLease, lambda a: spawn(self._acquire_lease(a))
        )
        loop.set_handler(
            actions.WriteEntry, lambda a: spawn(self._write_entry(a))
        )

    @property
    def config(self) -> repository.ConfigurationRows:
        """Return the configuration rows."""
        return self._config

    async def poll(self) -> bool:
        """Read the changed entries; return whether the table answered.

        Reads are serialized, so that each call returns data read
        after it was made.
        """
        await self._lock.acquire()
        asked_s = self._loop.now_s()
        try:
            entries = await self._config.fetch_updates()
        except base.Unavailable:
            return False
        finally:
            self._lock.release()
        self._loop.feed(events.EntriesRead(entries, asked_s))
        return True

    async def _transact(self, action: actions.Transact) -> None:
        commit = ledger_rows.Commit.COMMITTED
        conflicts: tuple[int, ...] = ()
        try:
            await self._ledger.transact(action.operation_id, action.writes)
        except base.Conflict as error:
            commit = ledger_rows.Commit.CONFLICT
            conflicts = error.indexes
        except base.Unavailable:
            commit = ledger_rows.Commit.LOST
        self._loop.feed(
            events.TransactionEnded(action.operation_id, commit, conflicts)
        )

    async def _read_row(self, action: actions.ReadRow) -> None:
        row = None
        failed = False
        try:
            row = await self._ledger.read(action.row_key)
        except base.Unavailable:
            failed = True
        self._loop.feed(events.RowRead(action.row_key, row, failed))

    async def _acquire_lease(self, action: actions.AskLease) -> None:
        asked_s = self._loop.now_s()
        try:
            lease = await self._leases.acquire(
                action.name, self._node_id, asked_s, action.ttl_s
            )
        except base.Unavailable:
            lease = None
        if lease is None:
            self._loop.feed(events.LeaseRefused(action.name))
            return
        self._loop.feed(
            events.LeaseHeld(action.name, lease.fencing, lease.expires_s)
        )

    async def _write_entry(self, action: actions.WriteEntry) -> None:
        try:
            written = await self._config.write((action.entry,))
        except base.Conflict:
            await self.poll()
            return
        except base.Unavailable:
            return
        for entry in written:
            self._loop.feed(events.EntryWritten(entry))
