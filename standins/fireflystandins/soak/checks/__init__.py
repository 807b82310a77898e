"""The checkers of the rules that need no prices.

Each judges what callers, endpoints and the operator saw, and nothing that a
node says of itself.
"""

from fireflystandins.soak.checks import base
from fireflystandins.soak.checks import budget
from fireflystandins.soak.checks import configurations
from fireflystandins.soak.checks import drain
from fireflystandins.soak.checks import duties
from fireflystandins.soak.checks import limits
from fireflystandins.soak.checks import lost
from fireflystandins.soak.checks import mixed
from fireflystandins.soak.checks import order
from fireflystandins.soak.checks import processes
from fireflystandins.soak.checks import recover
from fireflystandins.soak.checks import timeouts
from fireflystandins.soak.checks import trends
from fireflystandins.soak.checks import twice


def create() -> list[base.Checker]:
    """Return all checkers."""
    return [
        lost.Lost(),
        order.Order(),
        mixed.Mixed(),
        twice.Twice(),
        budget.Repeats(),
        drain.Drain(),
        duties.Duties(),
        timeouts.Timeouts(),
        configurations.Configurations(),
        limits.Quota(),
        limits.EndpointLimits(),
        recover.Recover(),
        processes.OwnEnds(),
        processes.Growth(),
        trends.Trends(),
    ]
