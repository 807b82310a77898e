"""Whether a node itself is cut off from the endpoints.

One endpoint that takes no connection may be gone.  A node whose connection
attempts fail at several, with no success between, takes its own links for
cut, and reaches endpoints through other nodes until an attempt succeeds.
"""

import collections.abc

from fireflypulley.core.gateway import presence

MIN_FAILED_ENDPOINTS = 2
FAILURE_VALID_S = 3.0
"""A failed attempt counts for this long; while the node is cut off, probes
fail more often than that."""
PROBE_INTERVAL_S = 0.5

_Key = tuple[str, int]


class EndpointPaths:
    """The direct connection attempts of a node to starts of endpoints.

    ``on_reached`` is called whenever one has succeeded.
    """

    def __init__(self) -> None:
        self.on_reached: collections.abc.Callable[[], None] = lambda: None
        self._failed_s: dict[_Key, float] = {}
        self._probed_s = float("-inf")

    def note_direct(self, key: _Key, reached: bool, now_s: float) -> None:
        """Record the result of a direct connection attempt."""
        if reached:
            self._failed_s.clear()
            self.on_reached()
        else:
            self._failed_s[key] = now_s

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether this node's own links seem to be cut."""
        failed = [
            key
            for key, failed_s in self._failed_s.items()
            if now_s - failed_s < FAILURE_VALID_S
        ]
        return len(failed) >= MIN_FAILED_ENDPOINTS

    def begin_probe(self, now_s: float) -> bool:
        """Return whether to try a direct connection now, and count it."""
        if now_s - self._probed_s < PROBE_INTERVAL_S:
            return False
        if not self.is_cut_off(now_s):
            return False
        self._probed_s = now_s
        return True

    @property
    def next_probe_s(self) -> float:
        """Return when the next probe is due while the node is cut off."""
        return self._probed_s + PROBE_INTERVAL_S

    def next_probe(self, keys: list[_Key]) -> _Key:
        """Return the start that was tried least recently."""
        return min(keys, key=lambda k: (self._failed_s.get(k, 0.0), k))

    def forget_absent(self, present: set[_Key]) -> None:
        """Drop the failures of starts that are gone."""
        presence.drop_absent(self._failed_s, present)
