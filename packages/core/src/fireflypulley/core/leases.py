"""Leases that expire for their holder before others may acquire them."""

import dataclasses

GUARD_S = 1.0  # safety margin on both sides of the expiry


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease that expires at ``expires_s``.

    The expiry is computed from the time of the request for the lease,
    so a slow response shortens the holder's time and never extends it.
    """

    holder: str
    fencing: int
    expires_s: float

    def is_held(self, now_s: float) -> bool:
        """Return whether the holder may still use the lease."""
        return now_s < self.expires_s - GUARD_S

    def is_free(self, now_s: float) -> bool:
        """Return whether another node may acquire the lease."""
        return now_s >= self.expires_s + GUARD_S


def renewal(
    lease: Lease | None, holder: str, asked_s: float, ttl_s: float
) -> Lease | None:
    """Return the lease to write, or None if another node holds it."""
    if lease is None:
        return Lease(holder, 1, asked_s + ttl_s)
    if lease.holder == holder:
        return Lease(holder, lease.fencing, asked_s + ttl_s)
    if not lease.is_free(asked_s):
        return None
    return Lease(holder, lease.fencing + 1, asked_s + ttl_s)
