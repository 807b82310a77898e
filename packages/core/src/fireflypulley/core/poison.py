"""Detection and quarantine of requests that crash endpoints.

A request that was running on two endpoints when they crashed is suspect
and runs isolated: each node runs one suspect at a time, at an endpoint
selected by the request's fingerprint.  Two more crashes while it runs
isolated quarantine it on all nodes; a single one could be caused by the
suspect of another node.  One request can therefore crash at most four
endpoints, and one more for each copy in flight.
"""

from fireflypulley.core import facts

SUSPECT_S = 120.0
QUARANTINE_S = 600.0
CRASHES_TO_SUSPECT = 2
CRASHES_TO_QUARANTINE = 4
MAX_ISOLATED = 1  # concurrent suspects per node
SAME_CRASH_S = 1.5
"""Nodes count one crash within this time of each other; an endpoint whose
entry is not new yet is back no sooner."""
MAX_STARTS = 16
"""More than crash in that time, with a copy of one request at each."""


def _duration_s(crashes: int) -> float:
    """Return how long a suspicion lasts."""
    return QUARANTINE_S if crashes >= CRASHES_TO_QUARANTINE else SUSPECT_S


class Quarantine:
    """The crashes counted for each request fingerprint."""

    def __init__(self, shared: facts.SharedState) -> None:
        self._shared = shared
        self._isolated: dict[str, str] = {}
        self._cleared: dict[str, int] = {}

    def _crashes(self, fingerprint: str, now_s: float) -> int:
        fact = self._suspicion(fingerprint, now_s)
        if fact is None:
            self._cleared.pop(fingerprint, None)
            return 0
        return fact.crashes

    def _suspicion(
        self, fingerprint: str, now_s: float
    ) -> facts.Suspicion | None:
        fact = self._shared.get("suspicion", fingerprint)
        if not isinstance(fact, facts.Suspicion) or fact.until_s <= now_s:
            return None
        return fact

    def is_suspect(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request must run isolated."""
        crashes = self._crashes(fingerprint, now_s)
        if crashes <= self._cleared.get(fingerprint, 0):
            return False
        return crashes >= CRASHES_TO_SUSPECT

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request must be refused without running."""
        crashes = self._crashes(fingerprint, now_s)
        return crashes >= CRASHES_TO_QUARANTINE

    def may_run_isolated(self) -> bool:
        """Return whether this node may run another suspect now."""
        return len(self._isolated) < MAX_ISOLATED

    def begin_isolated(self, request_id: str, endpoint_id: str) -> None:
        """Record the start of a suspect's isolated attempt."""
        self._isolated[request_id] = endpoint_id

    def end_isolated(self, request_id: str) -> None:
        """Record the end of a suspect's isolated attempt, if any."""
        self._isolated.pop(request_id, None)

    def record_crash(
        self,
        fingerprint: str,
        isolated: bool,
        now_s: float,
        start: str = "",
    ) -> facts.Suspicion:
        """Return the suspicion after an endpoint running a request crashed.

        ``start`` names the start of the endpoint if nodes know starts
        apart; a crash of which another node has told already, since it
        had a copy of the request under way there, is not counted again.
        Once a request is suspect, only crashes during its isolated runs
        count, so a harmless request cannot reach quarantine because of
        the requests that run beside it.
        """
        known = self._suspicion(fingerprint, now_s)
        starts = () if known is None else known.starts
        if known is not None and start in starts:
            counted_s = known.until_s - _duration_s(known.crashes)
            if now_s - counted_s < SAME_CRASH_S:
                return known
        crashes = self._crashes(fingerprint, now_s)
        if isolated or crashes < CRASHES_TO_SUSPECT:
            crashes += 1
            if start:
                starts = (*starts, start)[-MAX_STARTS:]
        until_s = now_s + _duration_s(crashes)
        is_cleared = known is not None and known.is_cleared
        return facts.Suspicion(
            fingerprint, crashes, until_s, starts, is_cleared
        )

    def record_answer(self, fingerprint: str, now_s: float) -> None:
        """Clear the suspicion of a request that has been completed."""
        crashes = self._crashes(fingerprint, now_s)
        if crashes:
            self._cleared[fingerprint] = crashes
