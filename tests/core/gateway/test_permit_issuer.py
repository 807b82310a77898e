"""How many permits an issuer gives in any four seconds."""

import pytest

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import permit_issuer

WINDOW_S = 4.0
STEP_S = 0.01


def _limit(rate_per_s, revision=1):
    return endpoint_limits.EndpointLimit("e1", 1, revision, rate_per_s)


def _issued(issuer, limit, from_s, to_s, share=1.0, term=1, idle=()):
    """Return when permits were issued to nodes that ask all the time."""
    times = []
    for step in range(round((to_s - from_s) / STEP_S)):
        now_s = from_s + step * STEP_S
        if any(start <= now_s < end for start, end in idle):
            continue
        if issuer.issue(limit, share, term, now_s) == 0.0:
            times.append(now_s)
    return times


def most_in_a_window(times):
    return max(
        sum(first <= one < first + WINDOW_S for one in times)
        for first in times
    )


@pytest.mark.parametrize("rate_per_s", [0.25, 1.0, 7.5, 60.0])
@pytest.mark.parametrize("idle", [(), ((5.0, 12.0), (16.0, 17.0))])
def test_permits_stay_below_the_bound_and_use_the_rate(rate_per_s, idle):
    issuer = permit_issuer.PermitIssuer()
    times = _issued(issuer, _limit(rate_per_s), 0.0, 30.0, idle=idle)
    assert most_in_a_window(times) <= 1.0 + rate_per_s * (WINDOW_S + 0.26)
    busy_s = 30.0 - sum(end - start for start, end in idle)
    assert len(times) >= 0.9 * rate_per_s * busy_s - 1


def test_part_of_the_nodes_gets_part_of_the_rate():
    issuer = permit_issuer.PermitIssuer()
    times = _issued(issuer, _limit(10.0), 0.0, 20.0, share=0.5)
    assert len(times) == pytest.approx(100, abs=3)


def test_a_new_issuer_starts_almost_empty():
    issuer = permit_issuer.PermitIssuer()
    limit = _limit(2.0)
    assert issuer.issue(limit, 1.0, 1, 100.0) == pytest.approx(0.4)
    assert issuer.issue(limit, 1.0, 1, 100.4) == 0.0
    # The node issues again after another one did.
    assert issuer.issue(limit, 1.0, 3, 200.0) == pytest.approx(0.4)


def test_a_lower_rate_applies_at_once():
    issuer = permit_issuer.PermitIssuer()
    _issued(issuer, _limit(100.0), 0.0, 5.0)
    times = _issued(issuer, _limit(1.0, 2), 5.0, 15.0)
    assert most_in_a_window(times) <= 6


@pytest.mark.parametrize("rate_per_s", [1e-9, 1e12])
def test_extreme_rates_neither_stop_nor_flood(rate_per_s):
    issuer = permit_issuer.PermitIssuer()
    times = _issued(issuer, _limit(rate_per_s), 0.0, 30.0)
    assert len(times) >= 2
    waits_s = [issuer.issue(_limit(1e-9, 2), 1.0, 1, 30.0) for _ in "ab"]
    assert 0.0 < waits_s[1] <= 10.0
