"""Versions of the store's rows that order across its returns.

The store numbers its transactions.  When it comes back from an older copy,
it gives numbers out again and raises its era.  A version holds both, the
era first, so a newer version is always the higher one.
"""

MAX_NUMBER = (1 << 40) - 1
MAX_ERA = (1 << 20) - 1


def join(era: int, number: int) -> int:
    """Return the version of a transaction.

    Raises ``ValueError`` for an era or a number out of range.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era of the store: {era}")
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"version of the store: {number}")
    return era * (MAX_NUMBER + 1) + number


def era(version: int) -> int:
    """Return the era of a version."""
    return version // (MAX_NUMBER + 1)


def number(version: int) -> int:
    """Return the number of the transaction in its era."""
    return version % (MAX_NUMBER + 1)
