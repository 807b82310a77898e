"""Small documents, requests and endpoints for the gateway's tests."""

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import scheduler


def route(kind=document.RouteKind.IDEMPOTENT, **fields):
    """Return a route from host h and path prefix /a/ to service s."""
    values = {
        "name": "r",
        "host": "h",
        "prefix": "/a/",
        "kind": kind,
        "timeout_s": 10.0,
        "target_latency_s": 0.2,
        "priority": 1,
        "targets": (document.Target("s", 1.0),),
        "max_attempts": 2,
    }
    return document.Route(**(values | fields))


def a_document(*routes, version=1, workspaces=(), **service):
    """Return a configuration with one service named s."""
    return document.Document(
        version,
        routes or (route(),),
        (document.Service("s", "/healthz", 100, **service),),
        tuple(workspaces),
    )


def entry(endpoint_id, domain="a", **fields):
    """Return an endpoint's entry for service s."""
    values = {
        "service": "s",
        "address": "10.0.0.1:80",
        "failure_domain": domain,
        "version": "v1",
        "slots": 8,
        "started_ms": 1,
    }
    return fleet.Registration(endpoint_id, **(values | fields))


def a_scheduler(
    document_in_force=None, *entries, domain="a", node_id="", **fields
):
    """Return a scheduler with a configuration and endpoints."""
    node_scheduler = scheduler.RequestScheduler(
        domain, bounds.SharedBounds(**fields), node_id
    )
    node_scheduler.apply_document(document_in_force or a_document(), -1000.0)
    for one in entries:
        node_scheduler.fleet.put(one, 0.0)
    return node_scheduler


def call(request_id="q1", **fields):
    """Return the metadata of a caller's request."""
    return calls.RequestMetadata(request_id, **fields)


def admitted(
    node_scheduler, request_id="q1", now_s=0.0, path="/a/x", **fields
):
    """Return a scheduler's admitted request or refusal."""
    return node_scheduler.admit(
        call(request_id, **fields), "h", path, "f", now_s
    )
