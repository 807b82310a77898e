"""The endpoints and nodes that a node can see."""

import dataclasses
import enum


class ServiceKind(enum.StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One back end, as the platform's instance list describes it.

    ``capacity`` and ``cold_capacity`` count requests in progress at once.
    ``leaves_at_s`` is the Unix time of an announced reclaim.
    """

    endpoint_id: str
    address: str
    service: str
    version: str
    failure_domain: str
    capacity: int = 16
    cold_capacity: int = 1
    machine_class: str = "standard"
    reclaimable: bool = True
    price_per_hour: float = 1.0
    checks_fencing: bool = False
    leaving: bool = False
    leaves_at_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """One fireflypulley daemon; ``address`` takes node streams."""

    node_id: str
    address: str
    failure_domain: str
    region: str = "local"
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What an endpoint said of its own load, some time ago.

    ``answered_total`` counts answers since ``started_s``; a fall of either
    shows that the process behind the address is a new one.
    ``tokens_total`` stays 0 for services that generate none.
    """

    running: int
    waiting: int
    answered_total: int
    started_s: float
    tokens_total: int = 0
