"""Limits of a deployment that hold over all nodes together."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SharedBounds:
    """The limits that all nodes keep together.

    A workspace may exceed its limit by the fraction ``limit_overshoot``
    plus ``limit_tolerance`` requests or tokens, because nodes receive
    each other's counts with a delay.  ``drain_s`` is how long an endpoint
    is guaranteed to serve after it announced that it leaves, or after its
    entry was removed.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 20.0
    retry_window_s: float = 10.0
    limit_overshoot: float = 0.0
    limit_tolerance: float = 0.0
    drain_s: float = 2.0
