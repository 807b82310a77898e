"""What endpoints say of their leaving, by their answers to any node.

A node that has passed such an answer on need not wait for the endpoint's
entry in the store, and neither need the nodes that it tells.
"""

import dataclasses

from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import peer_numbers

KEPT_S = 60.0
"""An endpoint that leaves is gone after this time."""
MAX_REPORTS = 4096
"""More endpoints than a deployment has."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeavingReport:
    """A start of an endpoint said ``age_s`` ago that it leaves."""

    endpoint_id: str
    started_ms: peer_numbers.Count
    age_s: peer_numbers.Amount = 0.0

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the endpoint's start."""
        return self.endpoint_id, self.started_ms

    def check(self) -> None:
        """Raise ``BadNumber`` if no endpoint can have said this."""
        peer_numbers.check(
            "started_ms", self.started_ms, peer_numbers.MAX_SEQUENCE
        )
        peer_numbers.check("age", self.age_s, KEPT_S)


class LeavingReports:
    """The endpoints that said that they leave, to this or another node."""

    def __init__(self, endpoints: fleet.Fleet) -> None:
        self._fleet = endpoints
        self._said_s: dict[tuple[str, int], float] = {}

    def note_answer(
        self, key: tuple[str, int], now_s: float
    ) -> LeavingReport | None:
        """Record an answer; return a report if others may not know it."""
        report = LeavingReport(*key)
        return report if self.merge(report, now_s) else None

    def merge(self, report: LeavingReport, now_s: float) -> bool:
        """Apply a report; return whether it is news to this node.

        What its entry in the store says already is none.  Raise
        ``BadNumber``, and apply nothing, if there is no such report.
        """
        report.check()
        self._forget_old(now_s)
        if report.key in self._said_s:
            return False
        said_s = now_s - report.age_s
        if len(self._said_s) < MAX_REPORTS:
            self._said_s[report.key] = said_s
        return self._fleet.note_says_leaving(report.key, said_s)

    def known(self, now_s: float) -> tuple[LeavingReport, ...]:
        """Return the reports that a node that starts needs."""
        self._forget_old(now_s)
        return tuple(
            LeavingReport(*key, max(0.0, now_s - said_s))
            for key, said_s in self._said_s.items()
            if now_s - said_s <= KEPT_S
        )

    def _forget_old(self, now_s: float) -> None:
        # Reports arrive nearly in the order of their times.
        for key, said_s in list(self._said_s.items()):
            if now_s - said_s <= KEPT_S:
                break
            del self._said_s[key]
