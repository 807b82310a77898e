"""The platform's services over its HTTP API."""

import typing
import urllib.parse

import pydantic

from fireflypulley.platform import base
from fireflypulley.platform import http_client


class _RowModel(pydantic.BaseModel):
    key: str
    version: int
    value: typing.Any


class _ChangesModel(pydantic.BaseModel):
    revision: int
    rows: list[_RowModel]


class _VersionsModel(pydantic.BaseModel):
    versions: list[int]


class _ConflictsModel(pydantic.BaseModel):
    conflicts: list[int]


class _StartedModel(pydantic.BaseModel):
    instance_id: str


class _WriteModel(pydantic.BaseModel):
    table: str
    key: str
    version: int | None
    value: typing.Any


class _TransactionModel(pydantic.BaseModel):
    operation_id: str
    writes: list[_WriteModel]


_INSTANCES = pydantic.TypeAdapter(base.Instances)
_ORDER = pydantic.TypeAdapter(base.StartOrder)
_ANY: pydantic.TypeAdapter[typing.Any]
_ANY = pydantic.TypeAdapter(typing.Any)


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="")


_Model = typing.TypeVar("_Model", bound=pydantic.BaseModel)


def _parse(model: type[_Model], body: bytes) -> _Model:
    try:
        return model.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise base.Unavailable(f"invalid response of the platform: {error}")


def _require_success(reply: http_client.Reply, call: str) -> None:
    """Raise ``base.Unavailable`` for a reply that is no success."""
    if not 200 <= reply.code < 300:
        raise base.Unavailable(f"{call}: {reply.code}")


class HttpTable(base.Table):
    """The table service at ``/tables`` and ``/transactions``."""

    def __init__(self, http: http_client.HttpClient) -> None:
        self._http = http

    async def read(self, table: str, key: str) -> base.Row | None:
        path = f"/tables/{_quote(table)}/rows/{_quote(key)}"
        reply = await self._http.request("GET", path)
        if reply.code == 404:
            return None
        return _row(_parse(_RowModel, reply.body))

    async def changes(self, table: str, revision: int) -> base.Changes:
        path = f"/tables/{_quote(table)}/rows?since={revision}"
        headers = {"If-None-Match": f'"{revision}"'}
        reply = await self._http.request("GET", path, headers=headers)
        if reply.code == 304:
            return base.Changes(revision, ())
        model = _parse(_ChangesModel, reply.body)
        rows = tuple(_row(row) for row in model.rows)
        return base.Changes(model.revision, rows)

    async def transact(
        self, operation_id: str, writes: tuple[base.Write, ...]
    ) -> tuple[int, ...]:
        model = _TransactionModel(
            operation_id=operation_id,
            writes=[
                _WriteModel(
                    table=write.table,
                    key=write.key,
                    version=write.version,
                    value=_ANY.validate_json(write.value),
                )
                for write in writes
            ],
        )
        body = model.model_dump_json().encode()
        reply = await self._http.request("POST", "/transactions", body)
        if reply.code == 412:
            conflicts = _parse(_ConflictsModel, reply.body).conflicts
            raise base.Conflict(tuple(conflicts))
        if reply.code != 200:
            raise base.Unavailable(f"transaction: {reply.code}")
        return tuple(_parse(_VersionsModel, reply.body).versions)


def _row(model: _RowModel) -> base.Row:
    return base.Row(model.key, model.version, _ANY.dump_json(model.value))


class HttpObjectStore(base.ObjectStore):
    """The object store at ``/objects``."""

    def __init__(self, http: http_client.HttpClient) -> None:
        self._http = http

    async def get(self, name: str) -> base.StoredObject | None:
        path = f"/objects/{_quote(name)}"
        reply = await self._http.request("GET", path)
        if reply.code == 404:
            return None
        _require_success(reply, f"GET {path}")
        return base.StoredObject(reply.etag, reply.body)

    async def put(self, name: str, content: bytes, etag: str | None) -> str:
        condition = {"If-Match": etag} if etag else {"If-None-Match": "*"}
        path = f"/objects/{_quote(name)}"
        reply = await self._http.request("PUT", path, content, condition)
        if reply.code == 412:
            raise base.Conflict((0,))
        _require_success(reply, f"PUT {path}")
        return reply.etag

    async def delete(self, name: str) -> None:
        path = f"/objects/{_quote(name)}"
        reply = await self._http.request("DELETE", path)
        if reply.code != 404:
            _require_success(reply, f"DELETE {path}")


class HttpInstanceList(base.InstanceList):
    """The instance list at ``/instances``."""

    def __init__(self, http: http_client.HttpClient) -> None:
        self._http = http
        self._etag = ""
        self._cached = base.Instances((), ())

    async def instances(self) -> base.Instances:
        headers = {"If-None-Match": self._etag} if self._etag else None
        reply = await self._http.request("GET", "/instances", headers=headers)
        if reply.code == 304:
            return self._cached
        try:
            self._cached = _INSTANCES.validate_json(reply.body)
        except pydantic.ValidationError as error:
            raise base.Unavailable(f"invalid instance list: {error}")
        self._etag = reply.etag
        return self._cached


class HttpCloud(base.Cloud):
    """The cloud API at ``/cloud/instances``."""

    def __init__(self, http: http_client.HttpClient) -> None:
        self._http = http

    async def start(self, order: base.StartOrder) -> str:
        body = _ORDER.dump_json(order)
        reply = await self._http.request("POST", "/cloud/instances", body)
        if reply.code == 409:
            raise base.StartRefused(reply.body.decode(errors="replace"))
        return _parse(_StartedModel, reply.body).instance_id

    async def stop(self, instance_id: str) -> None:
        path = f"/cloud/instances/{_quote(instance_id)}"
        reply = await self._http.request("DELETE", path)
        if reply.code != 404:
            _require_success(reply, f"DELETE {path}")
