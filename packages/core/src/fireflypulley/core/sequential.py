"""A sequential test between two rates, valid at any sample size.

Wald's sequential probability ratio test: the probability that a service
with the lower rate ever crosses the upper bound is at most
``1 / e**BAD_LOG_RATIO``.  A test that is restarted many times needs the
higher ``TURNED_BAD_LOG_RATIO``.
"""

import math

BAD_LOG_RATIO = math.log(10_000.0)
TURNED_BAD_LOG_RATIO = math.log(1_000_000.0)
SUSPECT_LOG_RATIO = math.log(10.0)
GOOD_LOG_RATIO = -math.log(20.0)
PRIOR_BAD_ANSWERS = 1.0
PRIOR_GOOD_ANSWERS = 49.0
# The bad rate is the base rate times RATE_FACTOR or plus RATE_MARGIN,
# whichever is higher, but at most MAX_BAD_RATE.
RATE_FACTOR = 4.0
RATE_MARGIN = 0.08
MAX_BASE_RATE = 0.6
MAX_BAD_RATE = 0.95


def base_rate(bad: int, total: int) -> float:
    """Return the smoothed rate of bad responses, plus a margin of error."""
    rate = (bad + PRIOR_BAD_ANSWERS) / (
        total + PRIOR_BAD_ANSWERS + PRIOR_GOOD_ANSWERS
    )
    return min(MAX_BASE_RATE, rate + _margin(rate, total))


def _margin(rate: float, total: int) -> float:
    sample_size = total + PRIOR_BAD_ANSWERS + PRIOR_GOOD_ANSWERS
    return math.sqrt(rate * (1.0 - rate) / sample_size)


def log_ratio(bad: int, total: int, base: float) -> float:
    """Return the log likelihood ratio of a bad rate against ``base``.

    Above ``BAD_LOG_RATIO`` the version is bad; below ``GOOD_LOG_RATIO``
    it is as good as the old one.
    """
    bad_rate = min(MAX_BAD_RATE, max(base * RATE_FACTOR, base + RATE_MARGIN))
    good = total - bad
    return bad * math.log(bad_rate / base) + good * math.log(
        (1.0 - bad_rate) / (1.0 - base)
    )
