"""Settings of a gateway node."""

import dataclasses

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import node_limits
from fireflypulley.core.gateway import peer_registry


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """A host and port to listen on."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """One node's settings.

    ``shutdown_grace_s`` is the time between the stop signal and the kill.
    Usage is reported in windows of ``usage_window_s``; each report is due
    ``usage_delay_s`` after the end of its window.  If ``usage_delay_s`` is
    None, usage is not reported.
    """

    node: peer_registry.NodeEntry
    callers: Address
    readiness: Address
    nodes: Address
    metrics: Address
    shared_bounds: bounds.SharedBounds
    shutdown_grace_s: float
    usage_window_s: float
    usage_delay_s: float | None
    scales_replicas: bool
    caller_bounds: caller_ends.CallerBounds = caller_ends.CallerBounds()
    limits: node_limits.NodeLimits = node_limits.NodeLimits()
