"""Registers a node in the store, and reads the other nodes there."""

import collections.abc
import dataclasses
import json
import secrets

from twisted.internet import interfaces
from twisted.internet import task

from fireflypulley.core.gateway import peer_registry
from fireflypulley.gateway import decision_log
from fireflypulley.platform import base

TABLE = "fireflypulley-nodes"
SECRET_KEY = "shared-secret"
SECRET_BYTES = 32
READ_INTERVAL_S = 12.0
RELAYED_READ_INTERVAL_S = 60.0
"""With many nodes, new ones introduce themselves to the relays, so rare
reads are enough."""
RETRY_DELAY_S = 0.4
START_SPREAD_S = 5.0
"""Nodes that started within this time of each other started together; their
clocks may differ."""


class Membership:
    """Writes this node's row, and reads the rows of the other nodes."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        registry: peer_registry.PeerRegistry,
        store: base.ControlStore,
    ) -> None:
        self._reactor = reactor
        self._peer_registry = registry
        self._store = store
        self._is_listed = False
        self._has_run = False
        self.since_previous_s = float("inf")
        """How long before this start the node had started, as far as its
        row tells; known once it has joined."""
        self.is_first_start = False
        """Whether no node has run before those that start with this one;
        known once it has joined."""

    async def join(self) -> bytes:
        """Register this node; return the key that all nodes share.

        The first node creates the key.
        """
        while True:
            try:
                return await self._register()
            except base.RowsConflict:
                # Another node created the key; the next read returns it.
                pass
            except base.Unavailable as problem:
                decision_log.note("nodes", state="lost", detail=str(problem))
            await task.deferLater(self._reactor, RETRY_DELAY_S)

    async def refresh_periodically(
        self,
        on_change: collections.abc.Callable[[], None],
        is_mesh: collections.abc.Callable[[], bool],
    ) -> None:
        """Read the nodes periodically, and register again if removed."""
        while True:
            interval_s = (
                READ_INTERVAL_S if is_mesh() else RELAYED_READ_INTERVAL_S
            )
            await task.deferLater(self._reactor, interval_s)
            try:
                _, has_changed = await self._read()
                if not self._is_listed:
                    await self._write(())
            except (base.Unavailable, base.RowsConflict) as problem:
                decision_log.note("nodes", state="lost", detail=str(problem))
                continue
            if has_changed:
                on_change()

    async def _register(self) -> bytes:
        key, _ = await self._read()
        self.is_first_start = not self._has_run and self._all_just_started()
        if key is not None:
            await self._write(())
            return key
        key = secrets.token_hex(SECRET_BYTES).encode()
        await self._write((base.RowWrite(TABLE, SECRET_KEY, key, 0),))
        return key

    def _all_just_started(self) -> bool:
        """Return whether the nodes that are listed started with this one."""
        registry = self._peer_registry
        entries = [registry.get(node_id) for node_id in registry.node_ids]
        started_ms = [one.started_ms for one in entries if one is not None]
        earliest_ms = registry.this.started_ms - START_SPREAD_S * 1000
        return all(one >= earliest_ms for one in started_ms)

    async def _write(self, extra_rows: tuple[base.RowWrite, ...]) -> None:
        this = self._peer_registry.this
        value = json.dumps(dataclasses.asdict(this)).encode()
        own_row = base.RowWrite(TABLE, this.node_id, value, None)
        await self._store.transact((own_row, *extra_rows))

    async def _read(self) -> tuple[bytes | None, bool]:
        """Read the rows; return the key, and whether nodes changed."""
        snapshot = await self._store.read(TABLE)
        now_s = self._reactor.seconds()
        key = None
        has_changed = False
        self._is_listed = False
        for row in snapshot.rows:
            if row.value is None:
                continue
            if row.key == SECRET_KEY:
                key = row.value
                continue
            try:
                entry = peer_registry.NodeEntry(**json.loads(row.value))
                is_new = self._peer_registry.put(entry, now_s)
            except (TypeError, ValueError) as problem:
                decision_log.note(
                    "unreadable",
                    table=TABLE,
                    key=row.key,
                    problem=str(problem),
                )
                continue
            this = self._peer_registry.this
            if entry == this:
                self._is_listed = True
            elif entry.node_id == this.node_id:
                self._has_run = True
                since_ms = this.started_ms - entry.started_ms
                self.since_previous_s = max(0.0, since_ms / 1000)
            has_changed = is_new or has_changed
        return key, has_changed
