"""The times at which requests are sent."""

import random
import typing

from fireflystandins.load import plans
from fireflystandins.load import readers


class Arrival(typing.NamedTuple):
    """A request to send, ``at_s`` seconds after the start.

    ``reader`` names the profile of its caller.
    """

    at_s: float
    kind: str
    reader: str = readers.PLAIN


def arrivals(plan: plans.Plan) -> list[Arrival]:
    """Return the requests of a plan in order of time.

    They depend only on the seed; adding a kind does not change the
    requests of the others, and adding profiles moves none.
    """
    requests = []
    for name, kind in plan.kinds.items():
        rng = random.Random(f"{plan.load.seed}/{name}")
        reader_rng = random.Random(f"{plan.load.seed}/{name}/reader")
        at_s = rng.expovariate(kind.rate_per_s)
        while at_s < plan.load.duration_s:
            reader = readers.choose(plan.readers, reader_rng)
            requests.append(Arrival(at_s, name, reader))
            at_s += rng.expovariate(kind.rate_per_s)
    return sorted(requests)
