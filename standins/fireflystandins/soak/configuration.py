"""The configuration of a soak's nodes, and changes of it."""

import collections.abc
import contextlib
import copy
import threading
import typing

from fireflystandins import gateways
from fireflystandins.soak import callers
from fireflystandins.soak import plan

KEY = "key-court"
MAX_CONNECTIONS = 512
_Write = collections.abc.Callable[[typing.Any], None]


class Settings:
    """The newest configuration; strikes of several threads change it."""

    def __init__(self, load: plan.Load) -> None:
        self._full = _full(load)
        self._missing: list[str] = []
        self._lock = threading.Lock()
        self.number = 1
        self.written = self._build()

    @property
    def routes(self) -> frozenset[str]:
        """Return the names of the routes."""
        return frozenset(one["name"] for one in self.written["routes"])

    @property
    def has_key(self) -> bool:
        """Return whether the callers' key is valid."""
        tenants = self.written["tenants"]
        return any(KEY in one["api-keys"] for one in tenants)

    @contextlib.contextmanager
    def without(
        self, route: str, write: _Write
    ) -> collections.abc.Generator[None, None, None]:
        """Write a version without a route or the key, then one with it."""
        with self._lock:
            self._missing.append(route)
            self._change(write)
        try:
            yield
        finally:
            with self._lock:
                self._missing.remove(route)
                self._change(write)

    def _change(self, write: _Write) -> None:
        self.number += 1
        self.written = self._build()
        write(self.written)

    def _build(self) -> typing.Any:
        config = copy.deepcopy(self._full) | {"version": self.number}
        config["routes"] = [
            one for one in config["routes"] if one["name"] not in self._missing
        ]
        if "" in self._missing:
            for one in config["tenants"]:
                one["api-keys"] = [
                    key for key in one["api-keys"] if key != KEY
                ]
        return config


def _full(load: plan.Load) -> typing.Any:
    config = gateways.configuration()
    for entry in config["routes"]:
        entry["timeout-ms"] = callers.DEADLINE_MS
    for entry in config["services"]:
        entry["max-connections"] = MAX_CONNECTIONS
    for entry in config["tenants"]:
        if load.limit_per_s and KEY in entry["api-keys"]:
            entry["rate-per-s"] = load.limit_per_s
            entry["burst"] = load.limit_burst
    return config
