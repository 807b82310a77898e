"""A stand-in for the users' store and cloud calls, with faults.

``POST /faults`` with ``mode`` sets how calls fail: ``busy`` responds with
503, ``silent`` does not respond, ``lost`` applies writes without a
response, ``compacted`` drops the history once, ``restored`` returns once to
the copy of ``age_s`` ago and begins an era.  ``GET /seen`` returns the calls
of the duties, ``POST /put`` writes rows as the operator.
"""

import base64
import dataclasses
import time

from twisted.internet import reactor

from fireflystandins import web

FAULTS_PATH = "faults"
HISTORY_ROWS = 10_000
_Key = tuple[str, str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """A row as last written; its ``value`` is None if it was removed."""

    table: str
    part: str
    key: str
    value: str | None
    version: int

    def as_json(self) -> web.Json:
        """Return the row in its JSON form."""
        fields: web.Json = {
            "table": self.table,
            "part": self.part,
            "key": self.key,
            "row-version": self.version,
        }
        if self.value is None:
            fields["deleted"] = True
        else:
            fields["value"] = self.value
        return fields


def _key(row: web.Json) -> _Key:
    return row["table"], row.get("part", ""), row["key"]


class VersionedRows:
    """The rows, their versions and their history."""

    def __init__(self) -> None:
        self.version = 0
        self._rows: dict[_Key, StoredRow] = {}
        self._history: list[StoredRow] = []
        self._written_s: list[float] = []
        self._oldest: dict[_Key, StoredRow] = {}
        """The rows as they were before the history."""
        self.era = 1
        self._compacted_version = 0

    def get(self, key: _Key) -> StoredRow | None:
        """Return a row, or None if it is missing or removed."""
        row = self._rows.get(key)
        return row if row and row.value is not None else None

    def transact(self, body: web.Json) -> list[StoredRow] | None:
        """Apply all writes, or return the conflicting rows."""
        expected = body.get("expected-revision", [])
        conflicts = False
        for item in expected:
            row = self.get(_key(item))
            conflicts |= (row.version if row else 0) != item["row-version"]
        if conflicts:
            current = [self.get(_key(item)) for item in expected]
            return [row for row in current if row]
        self.version += 1
        for item in body.get("write", []):
            self._put(_key(item), item["value"])
        for item in body.get("remove", []):
            self._put(_key(item), None)
        return None

    def _put(self, key: _Key, value: str | None) -> None:
        row = StoredRow(*key, value, self.version)
        self._rows[key] = row
        self._history.append(row)
        self._written_s.append(time.monotonic())
        for old in self._history[:-HISTORY_ROWS]:
            self._oldest[(old.table, old.part, old.key)] = old
        del self._history[:-HISTORY_ROWS]
        del self._written_s[:-HISTORY_ROWS]

    def table(self, table: str, part: str) -> list[StoredRow]:
        """Return the rows of a part of a table, sorted by key."""
        return sorted(
            (
                row
                for row in self._rows.values()
                if (row.table, row.part) == (table, part)
                and row.value is not None
            ),
            key=lambda row: row.key.encode(),
        )

    def changes(self, table: str, after: int) -> list[StoredRow] | None:
        """Return the rows changed after a version.

        Returns None if the history does not go back that far, or if the
        version does not exist.
        """
        if not self._compacted_version <= after <= self.version:
            return None
        newest: dict[_Key, StoredRow] = {}
        for row in self._history:
            if row.table == table and row.version > after:
                newest[(row.table, row.part, row.key)] = row
        return sorted(newest.values(), key=lambda row: row.version)

    def restore(self, age_s: float) -> None:
        """Return to the rows and the version of some time ago."""
        until_s = time.monotonic() - age_s
        kept = sum(at_s <= until_s for at_s in self._written_s)
        self._history = self._history[:kept]
        self._written_s = self._written_s[:kept]
        self._rows = self._oldest | {
            (row.table, row.part, row.key): row for row in self._history
        }
        versions = (row.version for row in self._rows.values())
        self.version = max(versions, default=0)
        self._compacted_version = min(self._compacted_version, self.version)
        self.era += 1

    def compact(self) -> None:
        """Tell no changes up to now; the rows can still go back."""
        self._compacted_version = self.version


class RowStore:
    """Handles the calls to the store and to the cloud."""

    def __init__(self) -> None:
        self._rows = VersionedRows()
        self._watches: list[tuple[web.JsonRequest, str, int]] = []
        self._mode = ""
        self._usage: list[web.Json] = []
        self._orders: list[web.Json] = []

    def handle(self, request: web.JsonRequest) -> None:
        """Handle a request."""
        path = request.parts[0]
        if path == FAULTS_PATH:
            self._set_mode(request)
        elif path == "seen":
            seen = {"usage": self._usage, "orders": self._orders}
            request.respond(200, seen)
        elif path == "put":
            self._transact(request, request.body())
        elif self._mode == "busy":
            request.respond(503)
        elif self._mode == "silent":
            return
        else:
            self._call(path, request)

    def _set_mode(self, request: web.JsonRequest) -> None:
        body = request.body()
        self._mode = body.get("mode", "")
        if self._mode == "compacted":
            self._mode = ""
            self._rows.compact()
            self._abort_watches()
        elif self._mode == "restored":
            self._mode = ""
            self._rows.restore(body["age_s"])
            self._abort_watches()
        request.respond(200)

    def _abort_watches(self) -> None:
        for waiting_request, _, _ in self._watches:
            waiting_request.abort()
        self._watches.clear()

    def _call(self, path: str, request: web.JsonRequest) -> None:
        if path == "rows-tx":
            self._transact(request, request.body(), self._mode == "lost")
        elif path == "rows-get":
            self._read(request)
        elif path == "rows-feed":
            self._watch(request)
        elif path in ("usage", "scaling"):
            self._record_duty_call(path, request)
        else:
            request.respond(404)

    def _respond(
        self, request: web.JsonRequest, code: int, **fields: web.Json
    ) -> None:
        request.response_headers["Store-Era"] = str(self._rows.era)
        fields["row-version"] = self._rows.version
        fields["current-ms"] = int(time.monotonic() * 1000)
        request.respond(code, fields)

    def _transact(
        self,
        request: web.JsonRequest,
        body: web.Json,
        drop_response: bool = False,
    ) -> None:
        conflicts = self._rows.transact(body)
        self._notify_watches()
        if drop_response:
            return
        if conflicts is None:
            self._respond(request, 200)
        else:
            rows = [row.as_json() for row in conflicts]
            self._respond(request, 412, rows=rows)

    def _read(self, request: web.JsonRequest) -> None:
        start = request.argument("from")
        limit = int(request.argument("limit", "500"))
        matching = [
            row
            for row in self._rows.table(
                request.argument("table"), request.argument("part")
            )
            if row.key >= start
        ]
        self._respond(
            request,
            200,
            rows=[row.as_json() for row in matching[:limit]],
            **{"has-more": len(matching) > limit},
        )

    def _watch(self, request: web.JsonRequest) -> None:
        table = request.argument("table")
        after = int(request.argument("after", "0"))
        changed = self._rows.changes(table, after)
        if changed is None:
            self._respond(request, 410)
        elif changed:
            self._respond(
                request, 200, rows=[row.as_json() for row in changed]
            )
        else:
            watch = (request, table, after)
            self._watches.append(watch)
            wait_s = int(request.argument("wait-ms", "0")) / 1000
            reactor.callLater(wait_s, self._end_watch, watch)

    def _end_watch(self, watch: tuple[web.JsonRequest, str, int]) -> None:
        if watch in self._watches:
            self._watches.remove(watch)
            self._respond(watch[0], 200, rows=[])

    def _notify_watches(self) -> None:
        if self._mode == "silent":
            return
        for watch in list(self._watches):
            request, table, after = watch
            changed = self._rows.changes(table, after)
            if changed:
                self._watches.remove(watch)
                rows = [row.as_json() for row in changed]
                self._respond(request, 200, rows=rows)

    def _record_duty_call(self, path: str, request: web.JsonRequest) -> None:
        call = {
            "holder": request.header("Duty-Holder"),
            "fencing": int(request.header("Fencing-Token")),
            "at_s": time.time(),
            **request.body(),
        }
        calls = self._usage if path == "usage" else self._orders
        calls.append(call)
        request.respond(200)


def encode_value(value: bytes) -> str:
    """Return a row's value encoded for the wire."""
    return base64.b64encode(value).decode()
