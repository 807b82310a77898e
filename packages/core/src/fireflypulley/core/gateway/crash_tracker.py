"""Tracks requests that crash endpoints, over all nodes."""

from fireflypulley.core import facts
from fireflypulley.core import poison


class CrashTracker:
    """Counts crashes by the fingerprint of the request.

    A request that is answered in full after a crash is not quarantined by
    this node until the crash count expires.
    """

    def __init__(self, shared: facts.SharedState) -> None:
        self._shared = shared
        self._quarantine = poison.Quarantine(shared)
        self._cleared: set[str] = set()

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request is refused because of its crashes."""
        if fingerprint in self._cleared:
            return False
        return self._quarantine.is_quarantined(fingerprint, now_s)

    def crashed(
        self, fingerprint: str, now_s: float, start: str = ""
    ) -> facts.Suspicion:
        """Count a crash; return the fact to publish to other nodes.

        ``start`` names the start of the endpoint that crashed.
        """
        fact = self._quarantine.record_crash(fingerprint, True, now_s, start)
        self._shared.merge(fact, now_s)
        return fact

    def answered(self, fingerprint: str) -> None:
        """Record that a request was answered in full."""
        if self._shared.get("suspicion", fingerprint) is not None:
            self._cleared.add(fingerprint)

    def forget_old(self) -> None:
        """Drop cleared fingerprints whose suspicion has expired."""
        self._cleared = {
            fingerprint
            for fingerprint in self._cleared
            if self._shared.get("suspicion", fingerprint) is not None
        }
