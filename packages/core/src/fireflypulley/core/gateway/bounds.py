"""What a deployment bounds over all nodes together."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SharedBounds:
    """The limits that hold over all nodes together.

    A workspace's limit may be exceeded by ``limit_overshoot`` of it and
    ``limit_tolerance`` requests or tokens, since nodes hear of each other
    with a delay.  ``serves_on_s`` is how long an endpoint surely serves
    after it said that it leaves, or after its entry was removed.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    limit_overshoot: float = 0.0
    limit_tolerance: float = 0.0
    drain_s: float = 2.0
