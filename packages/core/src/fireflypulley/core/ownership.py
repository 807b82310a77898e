"""Which node does a piece of work, by rendezvous hashing.

Ownership only saves work.  Safety rests on compare-and-set, leases and
fencing numbers, never on a single owner.
"""

import collections.abc
import hashlib


def score(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key."""
    text = f"{key}\x00{member}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def ranking(key: str, members: collections.abc.Iterable[str]) -> list[str]:
    """Return the members, the preferred one first."""
    return sorted(members, key=lambda member: -score(key, member))


def owner(key: str, members: collections.abc.Iterable[str]) -> str | None:
    """Return the preferred member, or None when there is none."""
    return max(members, key=lambda member: score(key, member), default=None)


def fraction(key: str) -> float:
    """Return a number in [0, 1) that depends on the key alone."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64
