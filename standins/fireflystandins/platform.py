"""A stand-in of the platform: table, objects, instances and cloud.

``POST /faults`` switches faults on: ``down`` (no answers), ``slow_s``
(answers late) and ``lose_answers`` (that many writes take effect and
lose their answer).  ``PUT /instances`` replaces the instance list.
"""

import dataclasses
import typing

from twisted.internet import reactor

from fireflystandins import web


@dataclasses.dataclass
class Faults:
    """The faults that are switched on."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    refuse_starts: bool = False


class Platform:
    """All of the platform's state, in memory."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._rows: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._revisions: dict[str, int] = {}
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._instances: web.Json = {"endpoints": [], "nodes": []}
        self._list_version = 1
        self._started: dict[str, str] = {}
        self._operations = 0
        self.counts = {"reads": 0, "writes": 0, "transactions": 0}

    def handle(self, request: web.JsonRequest) -> None:
        """Serve one request under the faults."""
        first = request.parts[0] if request.parts else ""
        if first in ("faults", "counts"):
            self._control(first, request)
            return
        if first == "instances" and request.method == "PUT":
            self._instances = request.body()
            self._list_version += 1
            request.answer(200, {})
            return
        if self.faults.down and first != "instances":
            request.cut()
            return
        if self.faults.slow_s and first != "instances":
            reactor.callLater(self.faults.slow_s, self._serve, request)
            return
        self._serve(request)

    def _control(self, first: str, request: web.JsonRequest) -> None:
        if first == "faults":
            for name, value in request.body().items():
                setattr(self.faults, name, value)
            request.answer(200, dataclasses.asdict(self.faults))
            return
        request.answer(200, self.counts)

    def _serve(self, request: web.JsonRequest) -> None:
        service = request.parts[0] if request.parts else ""
        handler = {
            "tables": self._table,
            "transactions": self._transaction,
            "objects": self._object,
            "instances": self._list,
            "cloud": self._cloud,
        }.get(service)
        if handler is None:
            request.answer(404, {})
            return
        handler(request)

    def _table(self, request: web.JsonRequest) -> None:
        self.counts["reads"] += 1
        table = request.parts[1]
        rows = self._rows.get(table, {})
        if len(request.parts) > 3:
            row = rows.get(request.parts[3])
            if row is None:
                request.answer(404, {})
            else:
                request.answer(200, row, f'"{row["version"]}"')
            return
        since = int(request.argument("since", "0"))
        revision = self._revisions.get(table, 0)
        if request.header("If-None-Match") == f'"{revision}"':
            request.answer(304)
            return
        changed = [r for r in rows.values() if r["revision"] > since]
        body = {"revision": revision, "rows": changed}
        request.answer(200, body, f'"{revision}"')

    def _transaction(self, request: web.JsonRequest) -> None:
        writes = request.body()["writes"]
        conflicts = [
            index
            for index, write in enumerate(writes)
            if self._version(write) != write["version"]
        ]
        if conflicts:
            request.answer(412, {"conflicts": conflicts})
            return
        versions = [self._write(write) for write in writes]
        self.counts["transactions"] += 1
        self.counts["writes"] += len(writes)
        self._answer_write(request, {"versions": versions})

    def _answer_write(self, request: web.JsonRequest, body: web.Json) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.cut()
            return
        request.answer(200, body)

    def _version(self, write: web.Json) -> int | None:
        row = self._rows.get(write["table"], {}).get(write["key"])
        return None if row is None else row["version"]

    def _write(self, write: web.Json) -> int:
        table = write["table"]
        revision = self._revisions.get(table, 0) + 1
        self._revisions[table] = revision
        version = (self._version(write) or 0) + 1
        self._rows.setdefault(table, {})[write["key"]] = {
            "key": write["key"],
            "version": version,
            "value": write["value"],
            "revision": revision,
        }
        return version

    def _object(self, request: web.JsonRequest) -> None:
        name = request.parts[1]
        known = self._objects.get(name)
        if request.method == "GET":
            self.counts["reads"] += 1
            if known is None:
                request.answer(404, {})
            else:
                request.answer_bytes(200, known[1], f'"{known[0]}"')
            return
        self.counts["writes"] += 1
        if request.method == "DELETE":
            self._objects.pop(name, None)
            request.answer(204)
            return
        wanted = request.header("If-Match")
        etag = "" if known is None else f'"{known[0]}"'
        if etag != wanted:
            request.answer(412, {})
            return
        version = 1 if known is None else known[0] + 1
        self._objects[name] = (version, request.raw.content.read())
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.cut()
            return
        request.answer(200, {}, f'"{version}"')

    def _list(self, request: web.JsonRequest) -> None:
        etag = f'"{self._list_version}"'
        if request.header("If-None-Match") == etag:
            request.answer(304)
        else:
            request.answer(200, self._instances, etag)

    def _cloud(self, request: web.JsonRequest) -> None:
        if request.method == "DELETE":
            request.answer(204)
            return
        if self.faults.refuse_starts:
            request.answer(409, {"error": "no such instance free"})
            return
        order = request.body()["operation_id"]
        if order not in self._started:
            self._started[order] = f"i-{len(self._started) + 1}"
        body = {"instance_id": self._started[order]}
        self._answer_write(request, body)
