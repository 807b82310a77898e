"""The operators' HTTP API, JSON in and out."""

import collections.abc
import dataclasses
import json
import secrets
import typing

import pydantic
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

from fireflypulley.core import configuration
from fireflypulley.core import findings
from fireflypulley.operators import changes
from fireflypulley.operators import control
from fireflypulley.operators import templates

_KIND = configuration.EntryKind
_ENTRY = pydantic.TypeAdapter(configuration.Entry)
_Json = typing.Any
_Plan = collections.abc.Callable[
    [changes.Planner], tuple[configuration.Entry, ...]
]
MAX_BODY_BYTES = 1 << 20


class _TextBody(pydantic.BaseModel):
    text: str
    file: str = "request"
    base_version: int | None = None


class _ParametersBody(pydantic.BaseModel):
    parameters: dict[str, str]


class _RolloutBody(pydantic.BaseModel):
    version: str = pydantic.Field(min_length=1)
    within_s: float | None = pydantic.Field(None, gt=0)


class _DomainBody(pydantic.BaseModel):
    drained: bool


class ApiError(Exception):
    """An error response."""

    def __init__(self, status: int, error: str, **more: _Json) -> None:
        super().__init__(error)
        self.status = status
        self.body = {"error": error, **more}


def _entry_json(entry: configuration.Entry) -> _Json:
    return _ENTRY.dump_python(entry, mode="json")


def _parse(
    model: type[pydantic.BaseModel], request: server.Request
) -> typing.Any:
    try:
        return model.model_validate_json(request.content.read())
    except pydantic.ValidationError as error:
        raise ApiError(400, "invalid body", findings=str(error))


class Api(resource.Resource):
    """Serves all paths of the API."""

    isLeaf = True

    def __init__(self, node: control.Control) -> None:
        super().__init__()
        self._node = node

    def render(self, request: server.Request) -> int:
        pending_response = defer.ensureDeferred(self._answer(request))
        pending_response.addErrback(
            lambda reason: request.processingFailed(reason)
        )
        return server.NOT_DONE_YET

    async def _answer(self, request: server.Request) -> None:
        try:
            status, body = 200, await self._serve(request)
        except ApiError as error:
            status, body = error.status, error.body
        except findings.InvalidInput as error:
            status = 422
            body = {
                "error": "invalid input",
                "findings": [str(finding) for finding in error.findings],
            }
        except changes.NotFound as error:
            status, body = 404, {"error": str(error)}
        except changes.Rejected as error:
            status, body = 409, {"error": str(error)}
        except control.ConcurrentChange as error:
            status = 409
            body = {
                "error": str(error),
                "theirs": [_entry_json(row) for row in error.rows],
            }
        except control.StoreUnavailable as error:
            status = 503
            body = {"error": f"not accepted: {error}"}
            request.setHeader("Retry-After", "2")
        request.setResponseCode(status)
        request.setHeader("Content-Type", "application/json")
        request.write(json.dumps(body).encode())
        request.finish()

    async def _serve(self, request: server.Request) -> _Json:
        header = request.getHeader("Authorization") or ""
        token = header.removeprefix("Bearer ").strip()
        if not token or not self._node.authorized(token):
            raise ApiError(401, "an operator's bearer token is required")
        parts = [p.decode(errors="replace") for p in request.postpath]
        if parts[:1] != ["v1"] or len(parts) < 2:
            raise ApiError(404, f"no path {request.path!r}")
        handler = {
            "status": self._status,
            "templates": self._templates,
            "workspaces": self._workspaces,
            "rollouts": self._rollouts,
            "domains": self._domains,
            "endpoints": self._endpoints,
            "nodes": self._nodes,
            "requests": self._requests,
        }.get(parts[1])
        if handler is None:
            raise ApiError(404, f"no path {request.path!r}")
        return await handler(request, parts[2:])

    async def _change(self, plan: _Plan) -> _Json:
        await self._node.refresh()
        config = self._node.config()
        origin = changes.Origin(secrets.token_hex(8), self._node.now_s())
        entries = plan(changes.Planner(config, origin))
        written = await self._node.write(entries)
        return {
            "based_on": {
                f"{entry.kind.value} {entry.name}": entry.version
                for entry in entries
            },
            "written": [_entry_json(entry) for entry in written],
        }

    # Handlers that only read

    async def _status(self, request: server.Request, rest: list[str]) -> _Json:
        return dataclasses.asdict(self._node.status())

    async def _endpoints(
        self, request: server.Request, rest: list[str]
    ) -> _Json:
        return [dataclasses.asdict(e) for e in self._node.endpoints()]

    async def _nodes(self, request: server.Request, rest: list[str]) -> _Json:
        return [dataclasses.asdict(n) for n in self._node.nodes()]

    async def _requests(
        self, request: server.Request, rest: list[str]
    ) -> _Json:
        view = self._node.request(rest[0]) if rest else None
        if view is None:
            raise ApiError(404, "no such open request on this node")
        return dataclasses.asdict(view)

    def _get(self, kind: configuration.EntryKind, name: str) -> _Json:
        entry = self._node.config().get(kind, name)
        if entry is None:
            raise ApiError(404, f"no {kind.value} {name!r}")
        return _entry_json(entry)

    def _list(self, kind: configuration.EntryKind) -> _Json:
        entries = self._node.config().of_kind(kind)
        return [_entry_json(entry) for entry in entries]

    # Handlers that read and change

    async def _templates(
        self, request: server.Request, rest: list[str]
    ) -> _Json:
        if request.method == b"GET":
            if rest:
                return self._get(_KIND.TEMPLATE, rest[0])
            return self._list(_KIND.TEMPLATE)
        body = _parse(_TextBody, request)
        template = templates.read_template(body.text, body.file)
        if rest == ["validate"]:
            return {"valid": template.name}
        self._check_base_version(
            _KIND.TEMPLATE, template.name, body.base_version
        )
        return await self._change(lambda plan: plan.template(template))

    def _check_base_version(
        self,
        kind: configuration.EntryKind,
        name: str,
        base_version: int | None,
    ) -> None:
        if base_version is None:
            return
        entry = self._node.config().get(kind, name)
        version = 0 if entry is None else entry.version
        if version != base_version:
            rows = () if entry is None else (entry,)
            raise control.ConcurrentChange(rows)

    async def _workspaces(
        self, request: server.Request, rest: list[str]
    ) -> _Json:
        if request.method == b"GET":
            if rest:
                return self._get(_KIND.WORKSPACE, rest[0])
            return self._list(_KIND.WORKSPACE)
        if rest:
            return await self._set_parameters(request, rest[0])
        body = _parse(_TextBody, request)
        file = templates.read_workspace(body.text, body.file)
        self._check_base_version(_KIND.WORKSPACE, file.name, body.base_version)
        return await self._change(lambda plan: plan.workspace(file))

    async def _set_parameters(
        self, request: server.Request, name: str
    ) -> _Json:
        body = _parse(_ParametersBody, request)
        await self._node.refresh()
        known = self._node.config().workspace(name)
        if known is None:
            raise ApiError(404, f"no workspace {name!r}")
        file = templates.WorkspaceFile(
            name,
            known.template,
            known.token_sha256,
            dict(known.parameters) | body.parameters,
        )
        return await self._change(lambda plan: plan.workspace(file))

    async def _rollouts(
        self, request: server.Request, rest: list[str]
    ) -> _Json:
        if request.method == b"GET" and not rest:
            return self._list(_KIND.ROLLOUT)
        if len(rest) < 2:
            raise ApiError(404, "name a workspace and a service")
        workspace, service = rest[0], rest[1]
        name = configuration.rollout_name(workspace, service)
        if request.method == b"GET":
            return self._get(_KIND.ROLLOUT, name)
        if request.method == b"DELETE":
            return await self._change(
                lambda plan: plan.abort_rollout(workspace, service)
            )
        body = _parse(_RolloutBody, request)
        return await self._change(
            lambda plan: plan.start_rollout(
                workspace, service, body.version, body.within_s
            )
        )

    async def _domains(
        self, request: server.Request, rest: list[str]
    ) -> _Json:
        views = {view.name: view for view in self._node.domains()}
        if request.method == b"GET":
            if not rest:
                return [dataclasses.asdict(v) for v in views.values()]
            if rest[0] not in views:
                raise ApiError(404, f"no failure domain {rest[0]!r}")
            return dataclasses.asdict(views[rest[0]])
        if not rest or rest[0] not in views:
            known = ", ".join(sorted(views))
            raise ApiError(404, f"no such failure domain; known: {known}")
        body = _parse(_DomainBody, request)
        return await self._change(
            lambda plan: plan.domain(rest[0], body.drained)
        )


def create(node: control.Control) -> server.Site:
    """Return the site that serves a node's operators' API."""
    site = server.Site(Api(node))
    site.displayTracebacks = False
    return site
