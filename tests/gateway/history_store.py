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


class Store:
    """The rows of the store, and its watches."""

    def __init__(self, clock):
        self.clock = clock
        self.era = 1
        self.number = 0
        self.rows = {}
        self.history = []
        self.acknowledged_s = {}
        self.links = []
        self.compacted = 0

    @property
    def version(self):
        return row_versions.join(self.era, self.number)

    def write(self, key, value):
        self.number += 1
        row = rows.FollowedRow(OPERATORS, key, self.version, value)
        self.rows[key] = row
        self.history.append(row)
        self.acknowledged_s[row.version] = self.clock.seconds()
        for link in list(self.links):
            link.changed()

    def compact(self):
        self.history.clear()
        self.compacted = self.version

    def since(self, after):
        """Return the changed rows, or None if the history is gone."""
        if not self.compacted <= after <= self.version:
            return None
        newest = {row.key: row for row in self.history if row.version > after}
        return tuple(sorted(newest.values(), key=lambda row: row.version))

    def present(self):
        return tuple(r for r in self.rows.values() if r.value is not None)


class StoreLink(base.ControlStore):
    """The calls of one node to the store."""

    def __init__(self, store, node):
        self._store = store
        self._node = node
        self._calls = []
        self.is_cut = False
        store.links.append(self)

    async def read(self, table):
        return await self._call(None, 0.0, http_client.TIMEOUT_S)

    async def watch(self, table, after, wait_s):
        return await self._call(after, wait_s, base.watch_timeout_s(wait_s))

    async def transact(self, writes):
        raise base.Unavailable("no writes here")

    def _call(self, after, wait_s, timeout_s):
        answer = defer.Deferred()
        now_s = self._node.reactor.seconds()
        call = _Call(answer, after, now_s + wait_s, False)
        self._calls.append(call)
        timer = self._node.reactor.callLater(timeout_s, self._fail, call)
        answer.addBoth(_cancel, timer)
        self._node.reactor.callLater(history_wires.DELAY_S, self.changed)
        return answer

    def _fail(self, call):
        if call in self._calls:
            self._calls.remove(call)
            call.answer.errback(base.Unavailable("no answer"))

    def silence(self):
        """Let the open connections go silent for good."""
        for call in self._calls:
            call.is_silent = True
            self._node.reactor.callLater(
                sockets.SILENCE_DETECTED_S, self._lose, call
            )

    def _lose(self, call):
        if call.is_silent:
            self._fail(call)

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
            found = store.present()
        else:
            found = store.since(call.after)
            if found == () and now_s < call.until_s:
                return
        self._calls.remove(call)
        if found is None:
            call.answer.errback(base.HistoryLost("watch"))
            return
        snapshot = base.Snapshot(store.version, found)
        self._node.reactor.callLater(
            history_wires.DELAY_S, call.answer.callback, snapshot
        )


@dataclasses.dataclass(eq=False)
class _Call:
    answer: defer.Deferred
    after: int | None
    until_s: float
    is_silent: bool


def _cancel(result, timer):
    if timer.active():
        timer.cancel()
    return result
