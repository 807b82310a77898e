"""The routes of the callers' HTTP interface."""

import dataclasses
import hashlib
import re

import pydantic
from twisted.web import resource
from twisted.web import server

from fireflypulley.callers import channel
from fireflypulley.callers import gateway
from fireflypulley.callers import models
from fireflypulley.callers import sinks
from fireflypulley.core import matching
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.transport import open_callers

MAX_BODY_BYTES = 8 << 20
IDLE_TIMEOUT_S = 75
_MODEL_PATHS = frozenset({"/v1/chat/completions", "/v1/completions"})
_KEY = re.compile(r"[\x21-\x7e]{1,255}")


class _Refused(Exception):
    def __init__(self, refusal: problems.Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def _refused(reason: problems.Reason, detail: str) -> _Refused:
    return _Refused(problems.Refusal(reason, problems.Run.NOT_RUN, detail))


class CallerRequest(server.Request):
    """A request that drops a body larger than ``MAX_BODY_BYTES``."""

    _received = 0
    _too_large = False

    def gotLength(self, length: int | None) -> None:
        self._too_large = length is not None and length > MAX_BODY_BYTES
        super().gotLength(None if self._too_large else length)

    def handleContentChunk(self, data: bytes) -> None:
        self._received += len(data)
        if self._received > MAX_BODY_BYTES:
            self._too_large = True
        if not self._too_large:
            super().handleContentChunk(data)

    @property
    def too_large(self) -> bool:
        """Return whether the body exceeded the limit and was dropped."""
        return self._too_large


class Root(resource.Resource):
    """Handles all paths of the interface."""

    isLeaf = True

    def __init__(self, node: gateway.Gateway) -> None:
        super().__init__()
        self._node = node

    def render(self, request: CallerRequest) -> int | bytes:
        path = request.path.decode("ascii", errors="replace")
        if path == "/livez":
            return b"live\n"
        if path == "/readyz":
            return self._readyz(request)
        if path == "/metrics":
            request.setHeader("Content-Type", "text/plain; version=0.0.4")
            return self._node.metrics()
        sink = sinks.HttpSink(request)
        try:
            self._serve(request, path, sink)
        except _Refused as error:
            sink.refuse(error.refusal)
        return server.NOT_DONE_YET

    def _readyz(self, request: CallerRequest) -> bytes:
        if self._node.ready():
            return b"ready\n"
        request.setResponseCode(503)
        return b"not ready\n"

    def _notify_on_disconnect(
        self, request: CallerRequest, sink: sinks.HttpSink
    ) -> None:
        def disconnected(_: object) -> None:
            sink.close()
            self._node.caller_left(sink)

        request.notifyFinish().addErrback(disconnected)

    def _serve(
        self, request: CallerRequest, path: str, sink: sinks.HttpSink
    ) -> None:
        if request.too_large:
            raise _refused(
                problems.Reason.TOO_LARGE,
                f"the body is over {MAX_BODY_BYTES} bytes",
            )
        if path in _MODEL_PATHS:
            self._model(request, path)
        elif path.startswith("/services/"):
            self._service(request, path, sink)
        elif path == matching.JOBS_PATH:
            self._job(request, path, sink)
        elif path.startswith(matching.JOBS_PATH + "/"):
            self._job_resource(request, path, sink)
        else:
            raise _refused(problems.Reason.NO_ROUTE, f"no path {path!r}")

    def _model(self, request: CallerRequest, path: str) -> None:
        if request.method != b"POST":
            raise _refused(
                problems.Reason.METHOD_NOT_ALLOWED, f"{path} takes POST"
            )
        body = request.content.read()
        model = _model_body(body)
        call = _call(request, path, body, model=model.model)
        sink_class = sinks.StreamSink
        if not model.stream:
            sink_class, call = sinks.HttpSink, _without_events(call)
        sink = sink_class(request)
        self._notify_on_disconnect(request, sink)
        self._node.submit(call, sink)

    def _service(
        self, request: CallerRequest, path: str, sink: sinks.HttpSink
    ) -> None:
        service, _, rest = path.removeprefix("/services/").partition("/")
        _, separator, query = request.uri.partition(b"?")
        target = "/" + rest
        if separator:
            target += "?" + query.decode("ascii", errors="replace")
        body = request.content.read()
        call = _call(request, target, body, service=service)
        self._notify_on_disconnect(request, sink)
        self._node.submit(call, sink)

    def _job(
        self, request: CallerRequest, path: str, sink: sinks.HttpSink
    ) -> None:
        if request.method != b"POST":
            raise _refused(
                problems.Reason.METHOD_NOT_ALLOWED, f"{path} takes POST"
            )
        body = request.content.read()
        model = _model_body(body)
        call = _call(request, path, body, model=model.model)
        self._notify_on_disconnect(request, sink)
        self._node.submit_job(call, sink)

    def _job_resource(
        self, request: CallerRequest, path: str, sink: sinks.HttpSink
    ) -> None:
        rest = path.removeprefix(matching.JOBS_PATH + "/")
        job_id, _, part = rest.partition("/")
        call = _call(request, path, b"")
        self._notify_on_disconnect(request, sink)
        if request.method == b"GET" and not part:
            self._node.job_status(call, job_id, sink)
        elif request.method == b"GET" and part == "text":
            offset = _offset(request)
            self._node.job_text(call, job_id, offset, sink)
        elif request.method == b"DELETE" and not part:
            self._node.cancel_job(call, job_id, sink)
        else:
            raise _refused(
                problems.Reason.NO_ROUTE,
                f"no {request.method.decode(errors='replace')} {path!r}",
            )


def _offset(request: CallerRequest) -> int:
    text = request.args.get(b"offset", [b"0"])[0]
    if not text.isdigit() or len(text) > 12:
        raise _refused(
            problems.Reason.BAD_REQUEST, f"offset: bad value {text!r}"
        )
    return int(text)


def _model_body(body: bytes) -> models.ModelBody:
    try:
        return models.ModelBody.model_validate_json(body)
    except pydantic.ValidationError as error:
        raise _refused(
            problems.Reason.BAD_REQUEST, models.first_problem(error)
        )


def _call(
    request: CallerRequest,
    path: str,
    body: bytes,
    model: str = "",
    service: str = "",
) -> gateway.Call:
    content_type = request.getHeader("Content-Type") or ""
    return gateway.Call(
        payload.Payload(
            request.method.decode("ascii", errors="replace"),
            path,
            content_type,
            body,
        ),
        _token_sha256(request),
        _idempotency_key(request),
        _last_event_id(request),
        model,
        service,
    )


def _without_events(call: gateway.Call) -> gateway.Call:
    """Return the call of a caller that takes a document, which is whole."""
    if call.last_event_id is None:
        return call
    return dataclasses.replace(call, last_event_id=gateway.NO_EVENT)


def _token_sha256(request: CallerRequest) -> str:
    header = request.getHeader("Authorization") or ""
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token.strip():
        raise _refused(
            problems.Reason.NO_CREDENTIALS, "a bearer token is required"
        )
    return hashlib.sha256(token.strip().encode()).hexdigest()


def _idempotency_key(request: CallerRequest) -> str:
    key = request.getHeader("Idempotency-Key") or ""
    if key and not _KEY.fullmatch(key):
        raise _refused(
            problems.Reason.BAD_REQUEST,
            "Idempotency-Key: 1 to 255 visible ASCII characters",
        )
    return key


def _last_event_id(request: CallerRequest) -> int | None:
    text = request.getHeader("Last-Event-ID")
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > 12:
        raise _refused(
            problems.Reason.BAD_REQUEST,
            f"Last-Event-ID: bad value {text!r}",
        )
    return int(text)


class CallerSite(server.Site):
    """A site whose connections share what may be held."""

    protocol = channel.CallerChannel

    def __init__(self, root: Root, callers: open_callers.OpenCallers) -> None:
        super().__init__(
            root, requestFactory=CallerRequest, timeout=IDLE_TIMEOUT_S
        )
        self.callers = callers
        self.displayTracebacks = False


def create(
    node: gateway.Gateway, callers: open_callers.OpenCallers
) -> server.Site:
    """Return the site that serves callers from a node."""
    return CallerSite(Root(node), callers)
