"""Issues the permits of all nodes for endpoints that name a limit."""

import collections.abc

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import node_shares
from fireflypulley.core.gateway import presence
from fireflypulley.core.gateway import quotas

BURST_S = 0.25
"""Permits of this time, and one more, may be issued at once; a request
arrives a moment after its permit, so the burst has to stay far below
what an endpoint tolerates."""
START_S = 0.1
"""A new issuer starts with the permits of this time only, since it does
not know what was issued before."""
MIN_WAIT_S = 0.01


class PermitIssuer:
    """A token bucket for each limited endpoint, of the only issuer.

    ``term`` is the number of the period in which this node issues; at a
    new one all buckets start again.
    """

    def __init__(self) -> None:
        self._buckets: dict[endpoint_limits.Key, quotas.Bucket] = {}
        self._term = -1

    def issue(
        self,
        limit: endpoint_limits.EndpointLimit,
        share: float,
        term: int,
        now_s: float,
    ) -> float:
        """Issue a permit and return 0, or return the time to wait.

        ``share`` is the fraction of the nodes that this issuer reaches.
        """
        if term != self._term:
            self._buckets.clear()
            self._term = term
        bucket = self._bucket(limit, share, now_s)
        if bucket.level + 1e-9 >= 1.0:
            bucket.level -= 1.0
            return 0.0
        wait_s = (1.0 - bucket.level) / bucket.limit.rate_per_s
        return max(MIN_WAIT_S, wait_s)

    def _bucket(
        self, limit: endpoint_limits.EndpointLimit, share: float, now_s: float
    ) -> quotas.Bucket:
        rate_per_s = max(limit.rate_per_s or 0.0, node_shares.MIN_RATE_PER_S)
        rate_per_s *= share
        paced = quotas.Limit(rate_per_s, 1.0 + rate_per_s * BURST_S)
        bucket = self._buckets.get(limit.key)
        if bucket is None:
            level = min(1.0, rate_per_s * START_S)
            bucket = quotas.Bucket(paced, level, now_s)
            self._buckets[limit.key] = bucket
        bucket.fill(now_s)
        bucket.limit = paced
        bucket.level = min(bucket.level, paced.burst)
        return bucket

    def forget_absent(
        self, present: collections.abc.Container[endpoint_limits.Key]
    ) -> None:
        """Drop the buckets of endpoints that are gone."""
        presence.drop_absent(self._buckets, present)
