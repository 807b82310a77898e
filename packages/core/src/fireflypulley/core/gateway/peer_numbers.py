"""Numbers that other nodes report, and which of them can be.

A field of type ``Count`` or ``Amount`` keeps a bool as it came, so that it
is refused and not taken for 0 or 1.
"""

Count = int | bool
Amount = float | bool

MAX_AHEAD_S = 86_400.0
"""A time that is further in the future than clocks of nodes differ."""
MAX_SEQUENCE = (1 << 53) - 1
"""No node counts further."""


class BadNumber(ValueError):
    """A number that no node can report."""


def check(name: str, number: Amount, most: float) -> None:
    """Raise ``BadNumber`` unless a number is from 0 to ``most``."""
    if isinstance(number, bool) or not 0 <= number <= most:
        raise BadNumber(f"{name}: {number}")


def check_time_ms(name: str, time_ms: Count, now_s: float) -> None:
    """Raise ``BadNumber`` if a Unix time is from the future, or none."""
    check(name, time_ms, (now_s + MAX_AHEAD_S) * 1000)
