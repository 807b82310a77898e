"""The endpoints and nodes known to a node."""

import dataclasses
import enum


class ServiceKind(enum.StrEnum):
    """The kind of a service's endpoints."""

    MODEL = "model"
    PLAIN = "plain"


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One endpoint, as described by the platform's instance list.

    ``capacity`` and ``cold_capacity`` limit the concurrent requests.
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
    """One fireflypulley daemon; ``address`` accepts node streams."""

    node_id: str
    address: str
    failure_domain: str
    region: str = "local"
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an endpoint reported, which may lag.

    ``answered_total`` counts responses since ``started_s``; a lower total
    or a later start shows that a new process is serving the address.
    ``tokens_total`` stays 0 for services that generate no tokens.
    """

    running: int
    waiting: int
    answered_total: int
    started_s: float
    tokens_total: int = 0
