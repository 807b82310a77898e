"""The times at which requests are sent."""

import random
import typing

from fireflystandins.load import plans


class Arrival(typing.NamedTuple):
    """A request to send, ``at_s`` seconds after the start."""

    at_s: float
    kind: str


def arrivals(plan: plans.Plan) -> list[Arrival]:
    """Return the requests of a plan in order of time.

    They depend only on the seed; adding a kind does not change the
    requests of the others.
    """
    requests = []
    for name, kind in plan.kinds.items():
        rng = random.Random(f"{plan.load.seed}/{name}")
        at_s = rng.expovariate(kind.rate_per_s)
        while at_s < plan.load.duration_s:
            requests.append(Arrival(at_s, name))
            at_s += rng.expovariate(kind.rate_per_s)
    return sorted(requests)
