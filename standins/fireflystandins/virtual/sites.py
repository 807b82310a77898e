"""Systems of the users' sizes: Dakar, Belgium, ten times Dakar."""

import dataclasses

from fireflypulley.core import configuration
from fireflypulley.core import topology
from fireflystandins.virtual import endpoint
from fireflystandins.virtual import system

MODEL_CAPACITY = 16
APP_CAPACITY = 32
COLD_CAPACITY = 2
_KIND = configuration.EntryKind


@dataclasses.dataclass(frozen=True)
class Site:
    """The size of a site."""

    name: str
    domains: int = 4
    nodes: int = 9
    models: int = 5
    apps: int = 4
    workspaces: int = 5


DAKAR = Site("dakar")
BELGIUM = Site("belgium", nodes=6)
TEN_TIMES = Site("ten-times", nodes=18, models=50, apps=40, workspaces=50)
SMALL = Site("small", domains=2, nodes=3, models=3, apps=2, workspaces=1)


def workspace(weight: float = 1.0) -> configuration.Workspace:
    """Return a workspace with routes to a model and an application."""
    model = topology.ServiceKind.MODEL
    plain = topology.ServiceKind.PLAIN
    return configuration.Workspace(
        template="t",
        parameters=(),
        token_sha256=(),
        weight=weight,
        services=(
            configuration.Service("model", model, "v1", 600.0, 0.33),
            configuration.Service("app", plain, "v1", 600.0, 0.5),
        ),
        routes=(
            configuration.Route("ask", "model"),
            configuration.Route("sum", "model"),
            configuration.Route("file", "app", at_most_once=True),
            configuration.Route("look", "app"),
        ),
    )


def build(site: Site, seed: int) -> system.System:
    """Return a settled system of a site's size with warm endpoints."""
    world = system.System(seed)
    for number in range(site.workspaces):
        world.put(_KIND.WORKSPACE, f"w{number + 1}", workspace())
    for number in range(site.models):
        add_model(world, f"m{number}", f"d{number % site.domains}")
    for number in range(site.apps):
        world.add_endpoint(
            topology.Endpoint(
                f"a{number}",
                f"a{number}:1",
                "app",
                "v1",
                f"d{number % site.domains}",
                APP_CAPACITY,
                COLD_CAPACITY,
            )
        )
    for number in range(site.nodes):
        world.add_node(f"n{number}", f"d{number % site.domains}")
    world.settle()
    return world


def add_model(
    world: system.System,
    endpoint_id: str,
    domain: str,
    version: str = "v1",
    behaviour: endpoint.Behaviour = endpoint.Behaviour(),
    cold: bool = False,
    price_per_hour: float = 1.0,
) -> endpoint.VirtualEndpoint:
    """Add a model endpoint to a system."""
    spec = topology.Endpoint(
        endpoint_id,
        f"{endpoint_id}:1",
        "model",
        version,
        domain,
        MODEL_CAPACITY,
        COLD_CAPACITY,
        price_per_hour=price_per_hour,
    )
    return world.add_endpoint(spec, behaviour, cold)
