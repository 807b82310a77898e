"""Requests that crash the endpoints which run them.

What ran on two endpoints that crashed is suspect and runs apart: one
suspect of a node at a time, at an endpoint that its fingerprint picks.
Two crashes more under it quarantine it on all nodes; one could be the
work of another suspect.  So one request crashes at most four endpoints,
and one more for each copy in flight.
"""

from fireflypulley.core import facts

SUSPECT_S = 120.0
QUARANTINE_S = 600.0
CRASHES_TO_SUSPECT = 2
CRASHES_TO_QUARANTINE = 4
MAX_ISOLATED = 1


class Quarantine:
    """The crashes counted against each fingerprint."""

    def __init__(self, shared: facts.SharedState) -> None:
        self._shared = shared
        self._isolated: dict[str, str] = {}
        self._cleared: dict[str, int] = {}

    def _crashes(self, fingerprint: str, now_s: float) -> int:
        fact = self._shared.get("suspicion", fingerprint)
        if not isinstance(fact, facts.Suspicion) or fact.until_s <= now_s:
            self._cleared.pop(fingerprint, None)
            return 0
        return fact.crashes

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request must run apart."""
        crashes = self._crashes(fingerprint, now_s)
        if crashes <= self._cleared.get(fingerprint, 0):
            return False
        return crashes >= CRASHES_TO_SUSPECT

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request gets its final answer at once."""
        crashes = self._crashes(fingerprint, now_s)
        return crashes >= CRASHES_TO_QUARANTINE

    def may_run_isolated(self) -> bool:
        """Return whether one more suspect may run now."""
        return len(self._isolated) < MAX_ISOLATED

    def begin_isolated(self, request_id: str, endpoint_id: str) -> None:
        """Record a suspect that runs apart."""
        self._isolated[request_id] = endpoint_id

    def end_isolated(self, request_id: str) -> None:
        """Record the end of a suspect's attempt."""
        self._isolated.pop(request_id, None)

    def record_crash(
        self, fingerprint: str, isolated: bool, now_s: float
    ) -> facts.Suspicion:
        """Return the suspicion after a crash under a request.

        From suspicion on, only a crash under the request running apart
        counts, so the innocent never reach quarantine by company alone.
        """
        crashes = self._crashes(fingerprint, now_s)
        if isolated or crashes < CRASHES_TO_SUSPECT:
            crashes += 1
        lasts_s = SUSPECT_S
        if crashes >= CRASHES_TO_QUARANTINE:
            lasts_s = QUARANTINE_S
        return facts.Suspicion(fingerprint, crashes, now_s + lasts_s)

    def record_answer(self, fingerprint: str, now_s: float) -> None:
        """Clear a request that has been answered in full."""
        crashes = self._crashes(fingerprint, now_s)
        if crashes:
            self._cleared[fingerprint] = crashes
