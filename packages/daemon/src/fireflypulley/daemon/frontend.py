"""Turns calls into requests, or attaches them to existing requests."""

import hashlib
import json
import secrets

from fireflypulley.callers import gateway
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import matching
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.daemon import driver
from fireflypulley.daemon import fetches
from fireflypulley.daemon import key_directory
from fireflypulley.daemon import registry
from fireflypulley.daemon import tasks

PREFIX_CHARACTERS = 512
REQUEST_ID_BYTES = 9
CONFIGURATION_RETRY_AFTER_S = 2.0


class Frontend:
    """Checks the token, route and key of calls, then starts requests."""

    def __init__(
        self,
        loop: driver.Driver,
        dependencies: tasks.Dependencies,
        task_registry: registry.Registry,
        directory: key_directory.KeyDirectory,
        answer_fetches: fetches.Fetches,
    ) -> None:
        self._loop = loop
        self._dependencies = dependencies
        self._registry = task_registry
        self._directory = directory
        self._answer_fetches = answer_fetches

    def refuse(
        self,
        sink: gateway.Sink,
        reason: problems.Reason,
        detail: str,
    ) -> None:
        """Refuse a call that has not run."""
        self.send_refusal(
            sink,
            problems.Refusal(reason, problems.Run.NOT_RUN, detail),
        )

    def send_refusal(
        self, sink: gateway.Sink, refusal: problems.Refusal
    ) -> None:
        """Count and send a refusal of a call that is not yet a request."""
        self._loop.core.state.counters.refused[refusal.reason] += 1
        sink.refuse(refusal)

    def authenticate(
        self, call: gateway.Call, sink: gateway.Sink
    ) -> tuple[str, configuration.Workspace] | None:
        """Return the caller's workspace, or None after a refusal."""
        config = self._loop.core.state.config
        name = config.workspace_of_token(call.token_sha256)
        workspace = config.workspace(name) if name else None
        if name is None or workspace is None:
            self._refuse_token(sink)
            return None
        return name, workspace

    def _refuse_token(self, sink: gateway.Sink) -> None:
        """Refuse a token that no workspace here has."""
        core = self._loop.core
        has_configuration = core.state.config.total_version > 0
        if has_configuration and core.confirmed(self._loop.now_s()):
            self.refuse(
                sink,
                problems.Reason.BAD_CREDENTIALS,
                "this token belongs to no workspace",
            )
            return
        refusal = problems.Refusal(
            problems.Reason.STORE_UNAVAILABLE,
            problems.Run.NOT_RUN,
            "this node does not know the current configuration",
            CONFIGURATION_RETRY_AFTER_S,
        )
        self.send_refusal(sink, refusal)

    def submit(self, call: gateway.Call, sink: gateway.Sink) -> None:
        """Start a request for a call, or attach it to an existing one."""
        authenticated = self.authenticate(call, sink)
        if authenticated is None:
            return
        name, workspace = authenticated
        route = self.find_route(workspace, call)
        if isinstance(route, problems.Refusal):
            self.send_refusal(sink, route)
            return
        if route.at_most_once and not call.idempotency_key:
            self.refuse(
                sink,
                problems.Reason.KEY_REQUIRED,
                f"route {route.name!r} needs an Idempotency-Key",
            )
            return
        request = self.create_request(name, route, call)
        key = request.request_id
        if call.idempotency_key and call.model:
            key = f"{name}/{call.idempotency_key}"
            self._submit_keyed(request, call, key, sink)
            return
        self._begin(request, call, key, sink)

    def find_route(
        self, workspace: configuration.Workspace, call: gateway.Call
    ) -> configuration.Route | problems.Refusal:
        """Return the route of a call, or why there is none."""
        payload = call.payload
        if call.model:
            return matching.model_route(workspace, payload.path, call.model)
        path = payload.path.partition("?")[0]
        return matching.service_route(
            workspace, call.service, payload.method, path
        )

    def create_request(
        self, workspace: str, route: configuration.Route, call: gateway.Call
    ) -> requests.Request:
        """Return the request that the core handles for a call."""
        kind = topology.ServiceKind.PLAIN
        if call.model:
            kind = topology.ServiceKind.MODEL
        return requests.Request(
            request_id=secrets.token_hex(REQUEST_ID_BYTES),
            workspace=workspace,
            route=route.name,
            service=route.service,
            kind=kind,
            deadline_s=self._loop.now_s() + route.deadline_s,
            fingerprint=_fingerprint(workspace, call),
            prefix=_prefix(call),
            at_most_once=route.at_most_once,
            idempotency_key=call.idempotency_key,
        )

    def _begin(
        self,
        request: requests.Request,
        call: gateway.Call,
        key: str,
        sink: gateway.Sink,
    ) -> None:
        last_event_id = _last_event_id(call)
        if call.model and last_event_id != gateway.NO_EVENT:
            self._refuse_unknown_run(sink, key, last_event_id)
            return
        task = tasks.RequestTask(
            self._dependencies, request, call.payload, key
        )
        self._registry.add(task)
        task.attach(sink, gateway.NO_EVENT)
        self._loop.feed(events.RequestArrived(request))

    def _submit_keyed(
        self,
        request: requests.Request,
        call: gateway.Call,
        key: str,
        sink: gateway.Sink,
    ) -> None:
        task = self._registry.by_key(key)
        if task is not None:
            self._attach(task, request, call, sink)
            return
        reconnecting = call.last_event_id is not None

        def on_holder(node_id: str | None) -> None:
            if not sink.open:
                return
            if node_id is None:
                self._begin_or_attach(request, call, key, sink)
                return
            self._answer_fetches.begin(
                key,
                request.fingerprint,
                node_id,
                _last_event_id(call),
                sink,
                lambda: self._begin_or_attach(request, call, key, sink),
            )

        self._directory.find(key, reconnecting, on_holder)

    def _begin_or_attach(
        self,
        request: requests.Request,
        call: gateway.Call,
        key: str,
        sink: gateway.Sink,
    ) -> None:
        task = self._registry.by_key(key)
        if task is None:
            self._begin(request, call, key, sink)
        else:
            self._attach(task, request, call, sink)

    def _attach(
        self,
        task: tasks.RequestTask,
        request: requests.Request,
        call: gateway.Call,
        sink: gateway.Sink,
    ) -> None:
        if task.request.fingerprint != request.fingerprint:
            self.send_refusal(sink, tasks.key_reused())
            return
        last_event_id = _last_event_id(call)
        if task.has_sent(last_event_id):
            task.attach(sink, last_event_id)
        else:
            self._refuse_unknown_run(sink, task.key, last_event_id)

    def _refuse_unknown_run(
        self, sink: gateway.Sink, key: str, last_event_id: int
    ) -> None:
        self.send_refusal(sink, tasks.unknown_run(key, last_event_id))


def _last_event_id(call: gateway.Call) -> int:
    """Return the id of the last event a caller has, or ``NO_EVENT``."""
    if call.last_event_id is None:
        return gateway.NO_EVENT
    return call.last_event_id


def _fingerprint(workspace: str, call: gateway.Call) -> str:
    payload = call.payload
    digest = hashlib.blake2b(digest_size=16)
    for part in (workspace, payload.method, payload.path):
        digest.update(part.encode() + b"\x00")
    digest.update(payload.body)
    return digest.hexdigest()


def _prefix(call: gateway.Call) -> str:
    if not call.model:
        return ""
    fields = json.loads(call.payload.body)
    messages = fields.get("messages") or []
    text = str(fields.get("prompt") or "")
    if messages:
        text = str(messages[0].get("content"))
    if len(text) < PREFIX_CHARACTERS:
        return ""
    start = text[:PREFIX_CHARACTERS].encode()
    return hashlib.blake2b(start, digest_size=8).hexdigest()
