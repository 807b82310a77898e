"""Forgets what is kept about starts of endpoints that are gone."""

import collections.abc
import typing

_K = typing.TypeVar("_K")
_V = typing.TypeVar("_V")


def drop_absent(
    kept: dict[_K, _V], present: collections.abc.Container[_K]
) -> None:
    """Delete the entries whose key is not present."""
    for key in [key for key in kept if key not in present]:
        del kept[key]
