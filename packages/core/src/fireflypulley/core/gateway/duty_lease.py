"""Lease for the duty, the work that only one node may do at a time.

The lease is one row of the store.  Each change of holder raises the row's
fencing number.  The holder renews the row and acts only for a part of the
lease term, counted from the time of its request.  Other nodes may take
the row over once they have seen it unchanged for longer than the term.
Clocks of different nodes are never compared.

After a return of the store from an older copy the row may name a former
holder, or be missing.  Fencing numbers of an era are therefore higher than
those of all eras before, and a holder claims the row anew.
"""

import dataclasses
import enum

from fireflypulley.core.gateway import row_versions

FENCING_NUMBERS_PER_ERA = 1 << 20
VALID_FOR_S = 2.2
RENEW_INTERVAL_S = 1.0
READ_INTERVAL_S = 1.0
TAKEOVER_AFTER_S = 4.0


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRow:
    """The lease's row: the holder of the duty and its fencing number.

    ``renewals`` changes with each renewal, so that each write is new.
    """

    holder: str
    fencing: int
    renewals: int
    row_version: int


class Step(enum.Enum):
    """The next operation on the row."""

    WAIT = "wait"
    READ = "look"
    WRITE = "write"


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """A conditional write of the row."""

    fencing: int
    renewals: int
    expected_version: int


class DutyLease:
    """One node's view of the lease.

    All times must come from a clock that runs while the machine is
    suspended.
    """

    def __init__(self, holder: str) -> None:
        self._holder = holder
        self._seen: LeaseRow | None = None
        self._seen_version = -1
        self._seen_s = 0.0
        self._read_s = float("-inf")
        self._claimed_s = float("-inf")
        self._valid_until_s = float("-inf")
        self._era = 0
        self._accepted_era = 0

    @property
    def fencing(self) -> int:
        """Return the fencing number as last seen, 0 if unknown."""
        return self._seen.fencing if self._seen else 0

    @property
    def known_holder(self) -> str | None:
        """Return the holder as last seen."""
        return self._seen.holder if self._seen else None

    @property
    def is_holder(self) -> bool:
        """Return whether the row names this process as the holder."""
        return self._seen is not None and self._seen.holder == self._holder

    def may_act(self, now_s: float) -> bool:
        """Return whether this node holds a valid lease now."""
        return self.is_holder and now_s < self._valid_until_s

    def step(self, now_s: float, is_candidate: bool) -> Step:
        """Return the next operation; only a candidate reads the row."""
        if self.is_holder and self._valid_until_s > float("-inf"):
            if now_s - self._claimed_s >= RENEW_INTERVAL_S:
                return Step.WRITE
            return Step.WAIT
        if not is_candidate:
            return Step.WAIT
        if self._may_take_over(now_s):
            return Step.WRITE
        if now_s - self._read_s >= READ_INTERVAL_S:
            return Step.READ
        return Step.WAIT

    def _may_take_over(self, now_s: float) -> bool:
        if self._seen_version < 0 or self._claimed_s > self._read_s:
            return False
        if self._seen is None or self.is_holder:
            return True
        return now_s - self._seen_s >= TAKEOVER_AFTER_S

    def claim(self, now_s: float) -> Claim:
        """Return the write to make now."""
        self._claimed_s = now_s
        seen = self._seen
        before = self._era * FENCING_NUMBERS_PER_ERA
        if seen is None:
            return Claim(before + 1, 0, 0)
        is_renewal = self._era == self._accepted_era
        if seen.holder == self._holder and is_renewal:
            return Claim(seen.fencing, seen.renewals + 1, seen.row_version)
        fencing = max(seen.fencing, before) + 1
        return Claim(fencing, 0, seen.row_version)

    def note_era(self, era: int) -> None:
        """Record the era of the store; it never goes down."""
        self._era = max(self._era, era)

    def note_read_started(self, now_s: float) -> None:
        """Record that a read of the row has started."""
        self._read_s = now_s

    def note_read(self, row: LeaseRow | None, now_s: float) -> None:
        """Record the row as read, None if there is none."""
        version = row.row_version if row else 0
        self.note_era(row_versions.era(version))
        if version != self._seen_version:
            self._seen_version = version
            self._seen_s = now_s
            self._seen = row
        if row is not None and row.holder != self._holder:
            self._valid_until_s = float("-inf")

    def note_accepted(
        self, claim: Claim, row_version: int, asked_s: float
    ) -> None:
        """Record that a claim was accepted."""
        self._seen = LeaseRow(
            self._holder, claim.fencing, claim.renewals, row_version
        )
        self._seen_version = row_version
        self.note_era(row_versions.era(row_version))
        self._accepted_era = self._era
        self._seen_s = asked_s
        self._valid_until_s = asked_s + VALID_FOR_S

    def note_rejected(self, row: LeaseRow | None, now_s: float) -> None:
        """Record the row after a claim that another write preceded."""
        self._valid_until_s = float("-inf")
        self.note_read(row, now_s)
        self._read_s = now_s
