"""Counts the requests of each workspace that ran, by time window."""

import collections
import dataclasses

KEPT_WINDOWS = 8
KEPT_REPORTS = 16
"""Well above what a store that returns from an older copy has lost."""
Counts = dict[int, dict[str, int]]
"""Request counts by window number and workspace."""


@dataclasses.dataclass(frozen=True, slots=True)
class UsageReport:
    """The total usage of one window; sending it again is idempotent."""

    window: int
    counts: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Draft:
    """The counts of all nodes when the duty's holder last stored them.

    ``written_ms`` is a Unix time.
    """

    counts: Counts
    written_ms: int = 0


class SettledReports:
    """The reports that holders of the duty have decided on.

    All nodes remember them, so that a holder that lacks one, as after a
    return of the store from an older copy, repeats it with the same counts.
    """

    def __init__(self) -> None:
        self._counts: Counts = {}

    def merge(self, report: UsageReport) -> bool:
        """Add a report; return whether its window had none."""
        if report.window in self._counts:
            return False
        self._counts[report.window] = dict(report.counts)
        for old in sorted(self._counts)[:-KEPT_REPORTS]:
            del self._counts[old]
        return report.window in self._counts

    def counts(self, window: int) -> dict[str, int] | None:
        """Return the counts reported for a window, None if not known."""
        return self._counts.get(window)

    def known(self) -> tuple[UsageReport, ...]:
        """Return all reports that are kept."""
        return tuple(
            UsageReport(window, dict(counts))
            for window, counts in sorted(self._counts.items())
        )


class UsageCounts:
    """The counts of this node, and those that other nodes reported.

    ``started_ms`` is the Unix time of this node's start.
    """

    def __init__(self, window_s: float, started_ms: int = 0) -> None:
        self._window_s = window_s
        self._started_ms = started_ms
        self._inherited = Draft({})
        self.settled = SettledReports()
        self._own: dict[int, collections.Counter[str]] = {}
        self._peer_counts: dict[tuple[str, int], Counts] = {}

    def window_at(self, unix_s: float) -> int:
        """Return the number of the window at a moment."""
        return int(unix_s // self._window_s)

    def end_of(self, window: int) -> float:
        """Return the Unix time at which a window ends."""
        return (window + 1) * self._window_s

    def count(self, workspace: str, unix_s: float) -> None:
        """Count a request that has begun to run."""
        window = self.window_at(unix_s)
        counter = self._own.setdefault(window, collections.Counter())
        counter[workspace] += 1
        for old in [w for w in self._own if w < window - KEPT_WINDOWS]:
            del self._own[old]

    @property
    def own(self) -> Counts:
        """Return this node's counts of the kept windows."""
        return {window: dict(counts) for window, counts in self._own.items()}

    def update_peer(
        self, node_id: str, incarnation: int, other_counts: Counts
    ) -> None:
        """Record what another node has counted since its start."""
        known = self._peer_counts.setdefault((node_id, incarnation), {})
        known.update(other_counts)
        newest = max(known, default=0)
        for old in [w for w in known if w < newest - KEPT_WINDOWS]:
            del known[old]

    def inherit(self, draft: Draft) -> None:
        """Continue from the draft that an earlier holder stored."""
        self._inherited = draft

    def draft(self, windows: range, now_ms: int) -> Draft:
        """Return the counts of all nodes in windows that are still open."""
        counts = {window: self.report(window).counts for window in windows}
        non_empty = {
            window: total for window, total in counts.items() if total
        }
        return Draft(non_empty, now_ms)

    def _all_started_since(self, unix_ms: int) -> bool:
        """Return whether all counting nodes started after a time."""
        starts = [incarnation for _, incarnation in self._peer_counts]
        return min([self._started_ms, *starts]) > unix_ms

    def report(self, window: int) -> UsageReport:
        """Return what all nodes have counted in a window.

        An inherited draft is included.  If all nodes started after it was
        stored, their counts are added to it.  Otherwise their counts
        already include most of it, and the greater count is used.
        """
        total: collections.Counter[str] = collections.Counter()
        total.update(self._own.get(window, {}))
        for other_counts in self._peer_counts.values():
            total.update(other_counts.get(window, {}))
        inherited = self._inherited.counts.get(window, {})
        if self._all_started_since(self._inherited.written_ms):
            total.update(inherited)
        else:
            total |= collections.Counter(inherited)
        return UsageReport(window, dict(total))
