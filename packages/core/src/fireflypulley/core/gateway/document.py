"""The gateway's configuration: one complete document per version."""

import dataclasses
import enum
import functools

from fireflypulley.core import ownership


class RouteKind(enum.Enum):
    """How a route answers, and whether its requests may be retried."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The requests to one host below one path prefix.

    ``priority`` 0 is the most urgent.  ``max_gap_s`` is the longest pause
    between events of a stream that still counts as on time.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Return whether answers are streams of events."""
        return self.kind is RouteKind.STREAM

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    def service_for(self, request_id: str) -> str:
        """Return a request's service, always the same for the same id."""
        total = sum(target.weight for target in self.targets)
        point = ownership.fraction(request_id) * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """The capacity of each of a service's model engines."""

    slots: int
    kv_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """How many endpoints may be ordered in each failure domain.

    ``reclaimable_price`` is the price of a reclaimable endpoint as a
    fraction of the regular price; ``domain_prices`` are relative prices
    by domain.
    """

    min_count: int
    max_count: int
    boot_s: float
    reclaimable_price: float
    domain_prices: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service; ``cold_rate_per_s`` limits requests to a cold endpoint."""

    name: str
    health_path: str
    max_connections: int
    cold_rate_per_s: float = 0.0
    engine: Engine | None = None
    scaling: Scaling | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A workspace with its API keys and its limit.

    ``rate_per_s`` 0 means no limit.  With ``counts_tokens`` a request
    counts as its tokens, or as ``default_tokens`` if it states none.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None
    counts_tokens: bool = False
    default_tokens: int = 0
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits of a caller's request."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Document:
    """One version of the complete configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: CallerLimits = CallerLimits()

    @functools.cached_property
    def _routes_by_host(self) -> dict[str, dict[str, Route]]:
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, {})[route.prefix] = route
        return routes_by_host

    @functools.cached_property
    def _services_by_name(self) -> dict[str, Service]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _workspaces_by_key(self) -> dict[str, Workspace]:
        return {
            key: workspace
            for workspace in self.workspaces
            for key in workspace.api_keys
        }

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path."""
        prefixes = self._routes_by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (cut := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: cut + 1])
            if route is not None:
                return route
            end = cut
        return None

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return self._services_by_name.get(name)

    def workspace_of_key(self, api_key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to."""
        return self._workspaces_by_key.get(api_key)
