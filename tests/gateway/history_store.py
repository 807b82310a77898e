"""A store that all nodes share, and what may happen to calls to it."""

import dataclasses

from twisted.internet import defer

from fireflypulley.core.gateway import row_versions
from fireflypulley.core.gateway import rows
from fireflypulley.platform import base
from fireflypulley.platform import http_client
from fireflypulley.transport import sockets

from . import history_wires

OPERATORS = "operators"
ENDPOINTS = "endpoints"
BUSY = "busy"
"""New calls fail at once, open ones go on."""
RESET = "reset"
"""Open calls fail, and new ones at once."""
SILENT = "silent"
"""No call is answered."""


class Store:
    """The rows of the store, and its watches."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.number = 0
        self.rows = {}
        self.history = []
        self.written = []
        self.acknowledged_s = {}
        self.links = []
        self.compacted = {OPERATORS: 0, ENDPOINTS: 0}
        self.away = ""
        self.reads_behind_s = 0.0
        self.holds_watches = False

    @property
    def version(self):
        return row_versions.join(self.era, self.number)

    def write(self, table, *changes):
        """Write the values of some keys at once, None for a removal."""
        self.number += 1
        for key, value in changes:
            row = rows.FollowedRow(table, key, self.version, value)
            self.rows[table, key] = row
            self.history.append(row)
            self.written.append((self.clock.seconds(), row))
        self.acknowledged_s[self.version] = self.clock.seconds()
        for link in list(self.links):
            link.changed()

    def compact(self):
        self.history.clear()
        self.compacted = dict.fromkeys(self.compacted, self.version)

    def turn_away(self, mode):
        """Be away for all nodes, "" to be back."""
        self.away = mode
        for link in list(self.links):
            link.end_calls(mode)
            link.changed()

    def since(self, table, after):
        """Return the changed rows, or None if the history is gone."""
        if not self.compacted[table] <= after <= self.version:
            return None
        newest = {
            row.key: row
            for row in self.history
            if row.table == table and row.version > after
        }
        return tuple(sorted(newest.values(), key=lambda row: row.version))

    def read(self, table):
        """Return the version and the rows that a full read finds."""
        if not self.reads_behind_s:
            found = self.rows.values()
            return self.version, _present(table, found)
        until_s = self.clock.seconds() - self.reads_behind_s
        newest, version = {}, 0
        for at_s, row in self.written:
            if at_s <= until_s:
                newest[row.table, row.key] = row
                version = row.version
        return version, _present(table, newest.values())


def _present(table, found):
    return tuple(
        row for row in found if row.table == table and row.value is not None
    )


class StoreLink(base.ControlStore):
    """The calls of one node to the store."""

    def __init__(self, store, node):
        self._store = store
        self._node = node
        self._calls = []
        self.is_cut = False
        self.turned_away = ""
        self.calls_made = 0
        store.links.append(self)

    async def read(self, table):
        return await self._call(table, None, 0.0, http_client.TIMEOUT_S)

    async def watch(self, table, after, wait_s):
        return await self._call(
            table, after, wait_s, base.watch_timeout_s(wait_s)
        )

    async def transact(self, writes):
        raise base.Unavailable("no writes here")

    def _call(self, table, after, wait_s, timeout_s):
        self.calls_made += 1
        answer = defer.Deferred()
        reactor = self._node.reactor
        call = _Call(answer, table, after, reactor.seconds() + wait_s)
        self._calls.append(call)
        timer = reactor.callLater(timeout_s, self._fail, call)
        answer.addBoth(_cancel, timer)
        mode = self.turned_away or self._store.away
        # What is refused, or lost on its way, is not answered later.
        call.is_silent = bool(mode)
        if mode in (BUSY, RESET):
            reactor.callLater(history_wires.DELAY_S, self._fail, call)
        reactor.callLater(history_wires.DELAY_S, self.changed)
        return answer

    def _fail(self, call):
        if call in self._calls:
            self._calls.remove(call)
            call.answer.errback(base.Unavailable("no answer"))

    def turn_away(self, mode):
        """Turn this node away, "" to serve it again."""
        self.turned_away = mode
        self.end_calls(mode)
        self.changed()

    def end_calls(self, mode):
        """End the open calls as a store does that goes away."""
        for call in list(self._calls):
            if mode == RESET:
                self._node.reactor.callLater(0, self._fail, call)
            call.is_silent = call.is_silent or mode == SILENT

    def silence(self):
        """Let the open connections go silent for good."""
        for call in self._calls:
            call.is_silent = True
            self._node.reactor.callLater(
                sockets.SILENCE_DETECTED_S, self._fail, call
            )

    def stop(self):
        self._store.links.remove(self)
        self._calls.clear()

    def changed(self):
        """Answer the calls that can be answered."""
        now_s = self._node.reactor.seconds()
        if self.is_cut or self._node.is_frozen or not self._node.is_up:
            return
        for call in list(self._calls):
            if call in self._calls and not call.is_silent:
                self._try(call, now_s)

    def _try(self, call, now_s):
        store = self._store
        if call.after is None:
            version, found = store.read(call.table)
        else:
            if store.holds_watches:
                return
            version = store.version
            found = store.since(call.table, call.after)
            if found == () and now_s < call.until_s:
                return
        self._calls.remove(call)
        if found is None:
            call.answer.errback(base.HistoryLost("watch"))
            return
        snapshot = base.Snapshot(version, found)
        self._node.reactor.callLater(
            history_wires.DELAY_S, call.answer.callback, snapshot
        )


@dataclasses.dataclass(eq=False)
class _Call:
    answer: defer.Deferred
    table: str
    after: int | None
    until_s: float
    is_silent: bool = False


def _cancel(result, timer):
    if timer.active():
        timer.cancel()
    return result
