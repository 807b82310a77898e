"""What a gateway node is told at its start."""

import dataclasses

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import peer_registry


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where to listen."""

    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """One node's settings.

    ``shutdown_grace_s`` is the time from the stop signal to the kill.
    Usage is reported by windows of ``usage_window_s``, each due
    ``usage_delay_s`` after its end, None where no usage is reported.
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
