"""Tracks requests that crash endpoints, over all nodes."""

import dataclasses

from fireflypulley.core import facts
from fireflypulley.core import poison


class CrashTracker:
    """Counts crashes by the fingerprint of the request.

    A request that is answered in full after a crash is not quarantined
    until the crash count expires, by any node that hears of it.
    """

    def __init__(self, shared: facts.SharedState) -> None:
        self._shared = shared
        self._quarantine = poison.Quarantine(shared)
        self._cleared: set[str] = set()
        self._untold: list[facts.Fact] = []

    def is_quarantined(self, fingerprint: str, now_s: float) -> bool:
        """Return whether a request is refused because of its crashes."""
        fact = self._suspicion(fingerprint)
        if fact is None or fact.is_cleared or fingerprint in self._cleared:
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

    def answered(self, fingerprint: str, now_s: float) -> None:
        """Record that a request was answered in full."""
        if self._suspicion(fingerprint) is None:
            return
        self._cleared.add(fingerprint)
        self._untold += self._clear(fingerprint, now_s)

    def updates(self, now_s: float) -> list[facts.Fact]:
        """Return what the other nodes are to be told of answers.

        Again, if another node has counted a crash before it heard of one.
        """
        updates, self._untold = self._untold, []
        for fingerprint in self._cleared:
            updates += self._clear(fingerprint, now_s)
        return updates

    def _clear(self, fingerprint: str, now_s: float) -> list[facts.Fact]:
        fact = self._suspicion(fingerprint)
        if fact is None or fact.is_cleared:
            return []
        cleared = dataclasses.replace(fact, is_cleared=True)
        return [cleared] if self._shared.merge(cleared, now_s) else []

    def _suspicion(self, fingerprint: str) -> facts.Suspicion | None:
        fact = self._shared.get("suspicion", fingerprint)
        return fact if isinstance(fact, facts.Suspicion) else None

    def forget_old(self) -> None:
        """Drop cleared fingerprints whose suspicion has expired."""
        self._cleared = {
            fingerprint
            for fingerprint in self._cleared
            if self._suspicion(fingerprint) is not None
        }
