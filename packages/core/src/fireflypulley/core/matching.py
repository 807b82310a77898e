"""Finds the route of a caller's request in its workspace."""

from fireflypulley.core import configuration
from fireflypulley.core import problems
from fireflypulley.core import topology

JOBS_PATH = "/v1/jobs"


def _refusal(reason: problems.Reason, detail: str) -> problems.Refusal:
    return problems.Refusal(reason, problems.Run.NOT_RUN, detail)


def model_route(
    workspace: configuration.Workspace, path: str, model: str
) -> configuration.Route | problems.Refusal:
    """Return the route of a model request, or the refusal."""
    service = workspace.service(model)
    if service is None or service.kind is not topology.ServiceKind.MODEL:
        return _refusal(
            problems.Reason.NO_ROUTE,
            f"this workspace reaches no model {model!r}",
        )
    for route in workspace.routes:
        if route.service == model and route.path == path:
            return route
    return _refusal(
        problems.Reason.NO_ROUTE, f"no route {path} to model {model!r}"
    )


def service_route(
    workspace: configuration.Workspace,
    service: str,
    method: str,
    path: str,
) -> configuration.Route | problems.Refusal:
    """Return the longest matching route of a plain service, or refuse."""
    target = workspace.service(service)
    if target is None or target.kind is not topology.ServiceKind.PLAIN:
        return _refusal(
            problems.Reason.NO_ROUTE,
            f"this workspace reaches no service {service!r}",
        )
    candidates = [
        route
        for route in workspace.routes
        if route.service == service and _is_under(path, route.path)
    ]
    if not candidates:
        return _refusal(
            problems.Reason.NO_ROUTE, f"no route for {service}{path}"
        )
    allowed = [r for r in candidates if not r.methods or method in r.methods]
    if not allowed:
        return _refusal(
            problems.Reason.METHOD_NOT_ALLOWED,
            f"no route for {method} {service}{path}",
        )
    return max(allowed, key=lambda route: len(route.path))


def _is_under(path: str, prefix: str) -> bool:
    if prefix.endswith("/"):
        return path.startswith(prefix) or path == prefix.rstrip("/")
    return path == prefix or path.startswith(prefix + "/")
