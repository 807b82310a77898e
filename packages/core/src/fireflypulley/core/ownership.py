"""Assignment of work to nodes by rendezvous hashing.

Ownership only avoids duplicate work.  Safety relies on compare-and-set,
leases and fencing numbers, never on there being a single owner.
"""

import collections.abc
import hashlib


def score(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key."""
    text = f"{key}\x00{member}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def ranking(key: str, members: collections.abc.Iterable[str]) -> list[str]:
    """Return the members by descending score."""
    return sorted(members, key=lambda member: -score(key, member))


def owner(key: str, members: collections.abc.Iterable[str]) -> str | None:
    """Return the member with the highest score, or None without members."""
    return max(members, key=lambda member: score(key, member), default=None)


def fraction(key: str) -> float:
    """Return a pseudo-random number in [0, 1) derived from the key."""
    digest = hashlib.blake2b(key.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64
