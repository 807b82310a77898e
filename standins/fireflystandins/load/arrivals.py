"""The moments at which requests are sent."""

import random
import typing

from fireflystandins.load import plans


class Arrival(typing.NamedTuple):
    """One request to send, in seconds from the start."""

    at_s: float
    kind: str


def arrivals(plan: plans.Plan) -> list[Arrival]:
    """Return all requests of a plan in order, the same for one seed.

    A kind's requests do not change when another kind is added.
    """
    requests = []
    for name, kind in plan.kinds.items():
        rng = random.Random(f"{plan.load.seed}/{name}")
        at_s = rng.expovariate(kind.rate_per_s)
        while at_s < plan.load.duration_s:
            requests.append(Arrival(at_s, name))
            at_s += rng.expovariate(kind.rate_per_s)
    return sorted(requests)
