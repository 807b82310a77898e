"""Election of the duty holder, and the usage reports that it sends.

The duty is a lease in the store.  Only the node that holds it reports usage,
orders replicas and advances rollouts.
"""

import collections.abc
import json
import time
import typing

from twisted.internet import interfaces

from fireflypulley.core.gateway import duty_lease
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import row_versions
from fireflypulley.core.gateway import usage
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import peer_sync
from fireflypulley.platform import base
from fireflypulley.transport import steady_time

TABLE = "fireflypulley-duties"
KEY = "singleton"
CLAIM_DELAY_S = 1.5
CLAIM_DELAY_PER_RANK_S = 0.7
COUNTS_SETTLE_S = 2.0
"""Time after the end of a window when its counts are known on all nodes."""
RETRY_DELAY_S = 0.5
MAX_KEPT_REPORTS = 4
MAX_DRAFT_WINDOWS = 2
_State = dict[str, typing.Any]
_OnSettled = collections.abc.Callable[..., None]


def boottime_s() -> float:
    """Return a monotonic time that includes time spent suspended."""
    return steady_time.boottime_s()


class DutyManager:
    """Competes for the duty, and sends usage reports while holding it.

    Reports are written to the row of the duty before they are sent, and
    told to the other nodes, so that a later holder sends the same counts
    although the store may have lost the row.  A report is due
    ``usage_delay_s`` after the end of its window; if this is None, no
    report is sent.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        registry: peer_registry.PeerRegistry,
        store: base.ControlStore,
        cloud: base.FencedCloud,
        counts: usage.UsageCounts,
        usage_delay_s: float | None,
        store_failed: collections.abc.Callable[[str], None],
    ) -> None:
        this = registry.this
        self._reactor = reactor
        self._peer_registry = registry
        self._store = store
        self._cloud = cloud
        self._usage = counts
        self._usage_delay_s = usage_delay_s
        self._store_failed = store_failed
        self._holder = f"{this.node_id}/{this.started_ms}"
        self._lease = duty_lease.DutyLease(self._holder)
        self._is_stepping = False
        self._reports: dict[int, dict[str, int]] = {}
        self._sent: set[int] = set()
        self._sending: set[int] = set()
        self.on_settled: _OnSettled = lambda *reports: None
        """Called with the reports that were written."""
        self._send_after_s = 0.0

    @property
    def holds(self) -> bool:
        """Return whether this node holds the duty now."""
        return self._lease.may_act(boottime_s())

    @property
    def fence(self) -> base.Fence:
        """Return the fence to send with every action of the holder."""
        return base.Fence(
            self._peer_registry.this.node_id, self._lease.fencing
        )

    def tick(self, peers: peer_sync.PeerSync | None) -> None:
        """Read or renew the duty if due; send reports while holding it."""
        if not self._is_stepping:
            step = self._lease.step(boottime_s(), self._is_candidate(peers))
            if step is not duty_lease.Step.WAIT:
                self._is_stepping = True
                work = (
                    self._read_lease
                    if step is duty_lease.Step.READ
                    else self._write_lease
                )
                background.start(work(), self._end_step, duty=KEY)
        if self.holds:
            self._send_reports()

    def _end_step(self) -> None:
        self._is_stepping = False

    def _is_candidate(self, peers: peer_sync.PeerSync | None) -> bool:
        """Return whether this node may try to acquire the duty.

        It may when no holder has been seen for a time that grows with the
        rank of the node, so that nodes try one after the other.
        """
        if peers is None:
            return False
        now_s = self._reactor.seconds()
        rank = self._peer_registry.alive(now_s).index(
            self._peer_registry.this.node_id
        )
        claim_delay_s = CLAIM_DELAY_S + CLAIM_DELAY_PER_RANK_S * rank
        if self._lease.known_holder is None:
            claim_delay_s = CLAIM_DELAY_PER_RANK_S * rank
        return now_s - peers.duty_claims.claimed_s >= claim_delay_s

    async def _read_lease(self) -> None:
        now_s = boottime_s()
        self._lease.note_read_started(now_s)
        try:
            snapshot = await self._store.read(TABLE)
        except base.Unavailable as problem:
            self._store_failed(str(problem))
            decision_log.note("duty", state="unread", detail=str(problem))
            return
        self._lease.note_era(row_versions.era(snapshot.version))
        lease_row = None
        for row in snapshot.rows:
            if row.key == KEY:
                lease_row = self._parse_row(row.value, row.version)
        self._lease.note_read(lease_row, boottime_s())

    def _parse_row(
        self, value: bytes | None, version: int
    ) -> duty_lease.LeaseRow | None:
        if value is None:
            return None
        state: _State = json.loads(value)
        self._reports = _counts_by_window(state["reports"])
        if state["holder"] != self._holder:
            drafts = _counts_by_window(state.get("drafts", {}))
            written_ms = state.get("written_ms", 0)
            self._usage.inherit(usage.Draft(drafts, written_ms))
        return duty_lease.LeaseRow(
            state["holder"], state["fencing"], state["renewals"], version
        )

    async def _write_lease(self) -> None:
        now_s = boottime_s()
        was_held = self._lease.is_holder
        claim = self._lease.claim(now_s)
        reports = self._due_reports() if was_held else self._known_reports()
        state = {
            "holder": self._holder,
            "fencing": claim.fencing,
            "renewals": claim.renewals,
            "reports": {str(w): counts for w, counts in reports.items()},
        }
        if self._usage_delay_s is not None:
            draft = self._draft(reports)
            state["drafts"] = {str(w): c for w, c in draft.counts.items()}
            state["written_ms"] = draft.written_ms
        value = json.dumps(state, separators=(",", ":")).encode()
        write = base.RowWrite(TABLE, KEY, value, claim.expected_version)
        try:
            version = await self._store.transact((write,))
        except base.RowsConflict as conflict:
            self._note_conflict(conflict)
            return
        except base.Unavailable as problem:
            self._store_failed(str(problem))
            decision_log.note("duty", state="unwritten", detail=str(problem))
            return
        self._reports = reports
        self._settle(reports)
        self._lease.note_accepted(claim, version, now_s)
        if not was_held:
            self._sent.clear()
            decision_log.note("duty", state="taken", fencing=claim.fencing)

    def _settle(self, reports: dict[int, dict[str, int]]) -> None:
        """Remember the reports that are in the row, and tell the others."""
        settled = self._usage.settled
        written = [
            usage.UsageReport(window, counts)
            for window, counts in sorted(reports.items())
        ]
        news = [report for report in written if settled.merge(report)]
        if news:
            self.on_settled(*news)

    def _note_conflict(self, conflict: base.RowsConflict) -> None:
        lease_row = None
        for row in conflict.current:
            if row.key == KEY:
                lease_row = self._parse_row(row.value, row.version)
        self._lease.note_rejected(lease_row, boottime_s())
        decision_log.note(
            "duty",
            state="held-by-other",
            holder=lease_row.holder if lease_row else None,
        )

    def _known_reports(self) -> dict[int, dict[str, int]]:
        """Return the row's reports, with the counts that were sent."""
        settled = self._usage.settled.counts
        return {
            window: settled(window) or counts
            for window, counts in self._reports.items()
        }

    def _due_reports(self) -> dict[int, dict[str, int]]:
        """Return the reports to keep, including newly completed ones."""
        settled = self._usage.settled.counts
        reports = self._known_reports()
        if self._usage_delay_s is None:
            return reports
        now_s = time.time()
        newest = self._usage.window_at(now_s - COUNTS_SETTLE_S) - 1
        oldest = self._usage.window_at(now_s - self._usage_delay_s)
        for window in range(oldest, newest + 1):
            if window not in reports:
                counts = settled(window) or self._usage.report(window).counts
                if counts:
                    reports[window] = counts
        for expired in sorted(reports)[:-MAX_KEPT_REPORTS]:
            del reports[expired]
        return reports

    def _draft(self, reports: dict[int, dict[str, int]]) -> usage.Draft:
        """Return the counts of the windows that have no report yet.

        If all nodes stop at once, the next holder continues from them.
        """
        now_s = time.time()
        newest = self._usage.window_at(now_s)
        first = max(reports, default=newest - MAX_DRAFT_WINDOWS) + 1
        first = max(first, newest - MAX_DRAFT_WINDOWS)
        windows = range(first, newest + 1)
        return self._usage.draft(windows, round(now_s * 1000))

    def _send_reports(self) -> None:
        now_s = self._reactor.seconds()
        if now_s < self._send_after_s:
            return
        for window in sorted(self._reports):
            if window in self._sent or window in self._sending:
                continue
            self._sending.add(window)
            background.start(self._send(window), duty=KEY, window=window)

    async def _send(self, window: int) -> None:
        counts = self._reports[window]
        try:
            await self._cloud.report_usage(self.fence, window, counts)
        except base.Unavailable as problem:
            self._send_after_s = self._reactor.seconds() + RETRY_DELAY_S
            decision_log.note(
                "usage", window=window, state="unsent", detail=str(problem)
            )
        else:
            self._sent.add(window)
            decision_log.note(
                "usage",
                window=window,
                state="sent",
                fencing=self._lease.fencing,
                counts=counts,
            )
        finally:
            self._sending.discard(window)


def _counts_by_window(packed: _State) -> dict[int, dict[str, int]]:
    return {int(window): counts for window, counts in packed.items()}
