"""Requests that crash the endpoints which run them, on all nodes."""

from fireflypulley.core import facts
from fireflypulley.core import poison


class CrashTracker:
    """The crashes counted against each request's fingerprint.

    A request that was ever answered in full is no suspect, whatever
    crashed beside it.
    """

    def __init__(self, shared: facts.SharedState) -> None:
        self._shared = shared
        self._quarantine = poison.Quarantine(shared)
        self._cleared: set[str] = set()

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request has only ever crashed endpoints."""
        if fingerprint in self._cleared:
            return False
        return self._quarantine.is_quarantined(fingerprint, now_s)

    def crashed(self, fingerprint: str, now_s: float) -> facts.Suspicion:
        """Count a crash; return what the other nodes are to hear."""
        fact = self._quarantine.crashed(fingerprint, True, now_s)
        self._shared.merge(fact, now_s)
        return fact

    def answered(self, fingerprint: str) -> None:
        """Note that a request was answered in full."""
        if self._shared.get("suspicion", fingerprint) is not None:
            self._cleared.add(fingerprint)

    def forget_old(self) -> None:
        """Forget proofs against suspicions that have expired."""
        self._cleared = {
            fingerprint
            for fingerprint in self._cleared
            if self._shared.get("suspicion", fingerprint) is not None
        }
