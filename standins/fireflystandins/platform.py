"""A stand-in for the platform: table, objects, instances and cloud.

``POST /faults`` sets the fields of ``Faults``: ``down`` (no responses),
``slow_s`` (late responses), ``lose_answers`` (this many writes take
effect without a response) and ``refuse_starts`` (no instance is started).
``PUT /instances`` replaces the instance list.
"""

import dataclasses
import typing

from twisted.internet import reactor

from fireflystandins import web


@dataclasses.dataclass
class Faults:
    """The active faults."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    refuse_starts: bool = False


class Platform:
    """The platform's state, in memory."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._rows: dict[str, dict[str, dict[str, typing.Any]]] = {}
        self._revisions: dict[str, int] = {}
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._instances: web.Json = {"endpoints": [], "nodes": []}
        self._list_version = 1
        self._instances_by_operation: dict[str, str] = {}
        self._operations = 0
        self.counts = {"reads": 0, "writes": 0, "transactions": 0}

    def handle(self, request: web.JsonRequest) -> None:
        """Serve a request, subject to the active faults."""
        section = request.parts[0] if request.parts else ""
        if section in ("faults", "counts"):
            self._handle_control(section, request)
            return
        if section == "instances" and request.method == "PUT":
            self._instances = request.body()
            self._list_version += 1
            request.respond(200, {})
            return
        if self.faults.down and section != "instances":
            request.abort()
            return
        if self.faults.slow_s and section != "instances":
            reactor.callLater(self.faults.slow_s, self._serve, request)
            return
        self._serve(request)

    def _handle_control(self, section: str, request: web.JsonRequest) -> None:
        if section == "faults":
            for name, value in request.body().items():
                setattr(self.faults, name, value)
            request.respond(200, dataclasses.asdict(self.faults))
            return
        request.respond(200, self.counts)

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
            request.respond(404, {})
            return
        handler(request)

    def _table(self, request: web.JsonRequest) -> None:
        self.counts["reads"] += 1
        table = request.parts[1]
        rows = self._rows.get(table, {})
        if len(request.parts) > 3:
            row = rows.get(request.parts[3])
            if row is None:
                request.respond(404, {})
            else:
                request.respond(200, row, f'"{row["version"]}"')
            return
        since = int(request.argument("since", "0"))
        revision = self._revisions.get(table, 0)
        if request.header("If-None-Match") == f'"{revision}"':
            request.respond(304)
            return
        changed = [r for r in rows.values() if r["revision"] > since]
        body = {"revision": revision, "rows": changed}
        request.respond(200, body, f'"{revision}"')

    def _transaction(self, request: web.JsonRequest) -> None:
        writes = request.body()["writes"]
        conflicts = [
            index
            for index, write in enumerate(writes)
            if self._version(write) != write["version"]
        ]
        if conflicts:
            request.respond(412, {"conflicts": conflicts})
            return
        versions = [self._write(write) for write in writes]
        self.counts["transactions"] += 1
        self.counts["writes"] += len(writes)
        self._respond_to_write(request, {"versions": versions})

    def _respond_to_write(
        self, request: web.JsonRequest, body: web.Json
    ) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.abort()
            return
        request.respond(200, body)

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
        stored = self._objects.get(name)
        if request.method == "GET":
            self.counts["reads"] += 1
            if stored is None:
                request.respond(404, {})
            else:
                request.respond_bytes(200, stored[1], f'"{stored[0]}"')
            return
        self.counts["writes"] += 1
        if request.method == "DELETE":
            self._objects.pop(name, None)
            request.respond(204)
            return
        expected = request.header("If-Match")
        etag = "" if stored is None else f'"{stored[0]}"'
        if etag != expected:
            request.respond(412, {})
            return
        version = 1 if stored is None else stored[0] + 1
        self._objects[name] = (version, request.raw.content.read())
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.abort()
            return
        request.respond(200, {}, f'"{version}"')

    def _list(self, request: web.JsonRequest) -> None:
        etag = f'"{self._list_version}"'
        if request.header("If-None-Match") == etag:
            request.respond(304)
        else:
            request.respond(200, self._instances, etag)

    def _cloud(self, request: web.JsonRequest) -> None:
        if request.method == "DELETE":
            request.respond(204)
            return
        if self.faults.refuse_starts:
            request.respond(409, {"error": "no such instance free"})
            return
        operation_id = request.body()["operation_id"]
        if operation_id not in self._instances_by_operation:
            self._instances_by_operation[operation_id] = (
                f"i-{len(self._instances_by_operation) + 1}"
            )
        body = {"instance_id": self._instances_by_operation[operation_id]}
        self._respond_to_write(request, body)
