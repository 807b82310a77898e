"""The status page for operators: what a node knows and does.

The page is a JSON object; times are in seconds.
"""

import dataclasses
import json
import typing

from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import duties
from fireflypulley.gateway import follower
from fireflypulley.gateway import pools
from fireflypulley.gateway import tunnel_server

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """The objects whose state the page shows."""

    scheduler: scheduler.RequestScheduler
    peer_registry: peer_registry.PeerRegistry
    follower: follower.Follower
    duties: duties.DutyManager
    paths: pools.Paths
    tunnel_server: tunnel_server.TunnelServer


def describe(sources: Sources, now_s: float, open_requests: int) -> Json:
    """Return the whole page."""
    return {
        "node": _node(sources, now_s, open_requests),
        "configuration": _configuration(sources.scheduler, now_s),
        "endpoints": _endpoints(sources.scheduler, now_s),
        "evacuations": sorted(
            sources.scheduler.endpoint_filter.drained_domains
        ),
        "rollouts": _rollouts(sources.scheduler, now_s),
        "limits": _limits(sources.scheduler, now_s),
        "endpoint_limits": _endpoint_limits(sources.scheduler, now_s),
        "refused_parts": _refused_parts(sources.scheduler, now_s),
        "refused": _counts(sources.scheduler.refused),
        "outcomes": _counts(sources.scheduler.evaluator.outcomes),
    }


def render(page: Json) -> bytes:
    """Return the page as encoded JSON."""
    return json.dumps(page, indent=1).encode()


def _counts(counter: typing.Any) -> dict[str, int]:
    return {key.value: count for key, count in counter.items() if count}


def _node(sources: Sources, now_s: float, open_requests: int) -> Json:
    registry = sources.peer_registry
    return {
        "node": registry.this.node_id,
        "failure_domain": registry.this.failure_domain,
        "open_requests": open_requests,
        "nodes_alive": registry.alive(now_s),
        "nodes_known": sorted([*registry.node_ids, registry.this.node_id]),
        "store_doubted": sources.follower.health.is_doubted,
        "unreadable_rows": sources.follower.unreadable,
        "rows": sources.follower.cache.versions(),
        "rows_confirmed": _freshness(sources.scheduler, now_s),
        "cut_off_from_endpoints": sources.paths.direct.is_cut_off(now_s),
        "tunnels_for_others": sources.tunnel_server.open_count,
        "holds_duty": sources.duties.holds,
        "fencing": sources.duties.fence.fencing,
    }


def _freshness(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> Json:
    fresh = node_scheduler.freshness
    return {
        table: {
            "before_s": round(fresh.age_s(table, now_s) or 0.0, 2),
            "by": fresh.source(table),
        }
        for table in fresh.tables
    }


def _configuration(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> Json:
    config = node_scheduler.document
    if config is None:
        return {"version": 0}
    return {
        "version": config.version,
        "age_s": round(now_s - node_scheduler.applied_s, 1),
        "routes": len(config.routes),
        "services": sorted(service.name for service in config.services),
        "workspaces": len(config.workspaces),
    }


def _endpoints(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> list[Json]:
    entries = []
    for member in sorted(
        node_scheduler.fleet, key=lambda member: member.endpoint_id
    ):
        spec = member.registration
        load = node_scheduler.loads.of(member)
        entries.append(
            {
                "endpoint": spec.endpoint_id,
                "service": spec.service,
                "failure_domain": spec.failure_domain,
                "version": spec.version,
                "reclaimable": spec.reclaimable,
                "running": load.total_running(now_s),
                "waiting_tokens": load.total_waiting_tokens(now_s),
                "no_work_because": _no_work_reason(
                    node_scheduler, member, now_s
                ),
            }
        )
    return entries


def _no_work_reason(
    node_scheduler: scheduler.RequestScheduler,
    member: fleet.Member,
    now_s: float,
) -> str:
    """Return why an endpoint gets little or no work, or ""."""
    spec = member.registration
    load = node_scheduler.loads.of(member)
    if member.removed_s is not None:
        return "removed"
    if member.leaving:
        return "leaving"
    if spec.failure_domain in node_scheduler.endpoint_filter.drained_domains:
        return "evacuated"
    in_use = node_scheduler.fleet.in_use(spec.service, now_s)
    if not node_scheduler.rollouts.allowed(spec.service, "", [member], in_use):
        return "other version"
    if load.is_unreachable:
        return "unreached"
    if load.is_suspected(now_s):
        return "doubted"
    if load.full_until_s > now_s:
        return "full"
    if node_scheduler.limited.limit_of(member) is not None:
        return "limited"
    if member.is_cold(now_s):
        return "cold"
    return ""


def _rollouts(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> list[Json]:
    entries = []
    for rollout in node_scheduler.rollouts:
        answers, is_bad = node_scheduler.rollouts.evidence(rollout)
        entries.append(
            {
                "service": rollout.service,
                "target": rollout.target,
                "phase": node_scheduler.rollouts.phase(rollout).value,
                "left_s": round(rollout.deadline_s - now_s, 1),
                "answers": answers,
                "is_bad": is_bad,
            }
        )
    return entries


def _limits(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> list[Json]:
    return [
        {
            "workspace": name,
            "left": round(left),
            "burst": round(limit.burst),
            "rate_per_s": round(limit.rate_per_s, 2),
        }
        for name, left, limit in node_scheduler.limits.limiter.levels(now_s)
    ]


def _endpoint_limits(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> list[Json]:
    limits = node_scheduler.limited.limits
    return [
        {
            "endpoint": limit.endpoint_id,
            "rate_per_s": limit.rate_per_s,
            "named_before_s": round(limits.age_s(limit.key, now_s), 1),
            "revision": limit.revision,
        }
        for limit in limits.in_force()
    ]


def _refused_parts(
    node_scheduler: scheduler.RequestScheduler, now_s: float
) -> list[Json]:
    return [
        {
            "parts": sorted(verdict.parts),
            "workspace": verdict.workspace,
            "endpoints": list(verdict.endpoints),
            "last_crash_before_s": round(verdict.last_crash_before_s, 1),
            "tried_in_s": round(verdict.wait_s, 1),
        }
        for verdict in node_scheduler.prompt_crashes.verdicts(now_s)
    ]
