"""Finds the prompt parts that crash the endpoints that answer on them.

The evidence of a crash are the requests that had not begun to answer when
their endpoint crashed.  It is the same on all nodes, whatever the order in
which they receive the reports.  A crash counts against a part that such a
request holds, unless

- a request with the part was answered after the crash, or
- nothing of the service was answered between the crash and the next one,
  as when several endpoints fail for the same reason, or
- a part that fewer such requests hold is to blame for it.
"""

import collections
import collections.abc
import dataclasses
import itertools

CRASHES_TO_REFUSE = 3
CRASHES_TO_SUSPECT = 2
PROVEN_EVENTS = 2
"""A stream with so many events has begun to answer; an endpoint can crash
right after the first one."""
EARLY_TRIAL_AFTER_S = 1.0
"""Time from the last crash until the first trial: a verdict that is wrong
refuses what would prove it so."""
FIRST_TRIAL_AFTER_S = 120.0
"""Time from the crash of the first trial to the second one; it doubles with
each further one, so that a deadly part causes few more crashes."""
TRIAL_INTERVAL_S = 2.0
"""Time until a trial that reached no endpoint is repeated."""
SETTLED_AFTER_S = 10.0
"""A verdict that is older is not expected to end with its first trial."""
KEPT_S = 86400.0
MAX_RECORDS = 256
MAX_RUNS_PER_RECORD = 512
MAX_PARTS_PER_RUN = 64

Key = tuple[str, int]
"""One start of an endpoint: its id and start time."""


@dataclasses.dataclass(frozen=True, slots=True)
class UnbegunRun:
    """A request that had not begun to answer when its endpoint crashed."""

    workspace: str
    parts: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """What a node knows of the crash of one start of an endpoint.

    ``cleared`` are parts of ``unbegun`` that were answered since.  With
    ``outlived`` another request of the service was answered after the
    crash and before the next one.  ``age_s`` is the time since the crash.
    """

    endpoint_id: str
    started_ms: int
    service: str
    unbegun: tuple[UnbegunRun, ...]
    cleared: tuple[str, ...] = ()
    outlived: bool = False
    age_s: float = 0.0

    @property
    def key(self) -> Key:
        """Return the key of the endpoint's start."""
        return self.endpoint_id, self.started_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Why requests that hold all of ``parts`` are refused.

    ``workspace`` is set if no request of another one crashed an endpoint.
    ``wait_s`` is the time until such a request may be tried again.
    """

    parts: frozenset[str]
    workspace: str | None
    endpoints: tuple[str, ...]
    last_crash_before_s: float
    wait_s: float

    def __str__(self) -> str:
        parts = "+".join(sorted(self.parts))
        endpoints = ",".join(self.endpoints)
        return (
            f"part {parts} crashed {endpoints}, last"
            f" {self.last_crash_before_s:.1f} s ago"
        )


@dataclasses.dataclass(slots=True)
class _Record:
    """The union of the reports on one crash."""

    key: Key
    service: str
    crashed_s: float
    unbegun: set[UnbegunRun]
    cleared: set[str]
    outlived: bool = False

    @property
    def suspects(self) -> set[str]:
        """Return the parts that the crash may be due to."""
        return {
            part for run in self.unbegun for part in run.parts
        } - self.cleared

    def report(self, now_s: float) -> CrashReport:
        """Return all that is known, to send to other nodes."""
        return CrashReport(
            *self.key,
            self.service,
            tuple(self.unbegun),
            tuple(sorted(self.cleared)),
            self.outlived,
            max(0.0, now_s - self.crashed_s),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Case:
    """The crashes that count against a part.

    A request has to hold all ``common`` parts, and to come from
    ``workspace`` if that is set, to be like those that crashed endpoints.
    """

    records: tuple[_Record, ...]
    common: frozenset[str]
    workspace: str | None

    def covers(self, workspace: str, parts: frozenset[str]) -> bool:
        """Return whether a request is like those that crashed endpoints."""
        if self.workspace not in (None, workspace):
            return False
        return self.common <= parts

    @property
    def _failed_trials(self) -> int:
        """Return how many crashes came after the verdict had settled."""
        times_s = [record.crashed_s for record in self.records]
        return sum(
            later_s - earlier_s >= EARLY_TRIAL_AFTER_S
            for earlier_s, later_s in itertools.pairwise(
                times_s[CRASHES_TO_REFUSE - 1 :]
            )
        )

    @property
    def due_s(self) -> float:
        """Return when such a request may be tried again."""
        wait_s = EARLY_TRIAL_AFTER_S
        failed = self._failed_trials
        if failed:
            wait_s = FIRST_TRIAL_AFTER_S * 2.0 ** (failed - 1)
        return self.records[-1].crashed_s + wait_s


class PromptCrashes:
    """The crashes that nodes saw, and the verdicts that follow.

    ``may_try`` tells whether this node alone may send a request again
    whose parts are refused, once it is time.
    """

    def __init__(self) -> None:
        self._records: dict[Key, _Record] = {}
        self._cases: dict[str, _Case] = {}
        self._tried_s: dict[str, float] = {}
        self.may_try: collections.abc.Callable[[], bool] = lambda: False
        self.dropped = 0

    # Evidence

    def merge(self, report: CrashReport, now_s: float) -> bool:
        """Apply a report of any node; return whether it is news."""
        record = self._records.get(report.key)
        if record is None:
            if not any(run.parts for run in report.unbegun):
                return False
            record = _Record(
                report.key,
                report.service,
                now_s - max(0.0, report.age_s),
                set(),
                set(),
            )
            self._records[report.key] = record
            self._drop_oldest()
        before = len(record.unbegun), len(record.cleared), record.outlived
        self._add_runs(record, report.unbegun)
        record.cleared.update(report.cleared)
        record.outlived = record.outlived or report.outlived
        after = len(record.unbegun), len(record.cleared), record.outlived
        if after == before:
            return False
        self._build_cases()
        return True

    def _add_runs(
        self, record: _Record, unbegun: tuple[UnbegunRun, ...]
    ) -> None:
        for run in unbegun:
            if len(record.unbegun) >= MAX_RUNS_PER_RECORD:
                self.dropped += 1
                continue
            parts = run.parts[:MAX_PARTS_PER_RUN]
            record.unbegun.add(UnbegunRun(run.workspace, parts))

    def _drop_oldest(self) -> None:
        if len(self._records) <= MAX_RECORDS:
            return
        oldest = min(self._records.values(), key=lambda one: one.crashed_s)
        del self._records[oldest.key]
        self.dropped += 1

    def note_answered(
        self, service: str, parts: collections.abc.Set[str], now_s: float
    ) -> list[CrashReport]:
        """Record that a request was answered; return what is news.

        It clears its parts of all crashes so far, and shows that the last
        crash did not end the service.
        """
        if not self._records:
            return []
        changed = []
        last = self._last_crash(service)
        for record in self._records.values():
            cleared = record.suspects & parts
            outlives = record is last and not record.outlived
            if not cleared and not outlives:
                continue
            record.cleared |= cleared
            record.outlived = record.outlived or outlives
            changed.append(record.report(now_s))
        if changed:
            self._build_cases()
        return changed

    def _last_crash(self, service: str) -> _Record | None:
        return max(
            (one for one in self._records.values() if one.service == service),
            key=lambda record: record.crashed_s,
            default=None,
        )

    def known(self, now_s: float) -> tuple[CrashReport, ...]:
        """Return all that is known, for a node that has just connected."""
        return tuple(one.report(now_s) for one in self._records.values())

    def forget_old(self, now_s: float) -> None:
        """Drop the crashes of long ago."""
        old = [
            record.key
            for record in self._records.values()
            if now_s - record.crashed_s > KEPT_S
        ]
        for key in old:
            del self._records[key]
        if old:
            self._build_cases()

    # Verdicts

    def _build_cases(self) -> None:
        """Collect the crashes that count against each part."""
        by_part: dict[str, list[_Entry]] = collections.defaultdict(list)
        for record in self._records.values():
            if not record.outlived:
                continue
            for run in record.unbegun:
                for part in set(run.parts) - record.cleared:
                    by_part[part].append((record, run))
        self._cases = _cases(by_part)
        for part in list(self._tried_s):
            if part not in self._cases:
                del self._tried_s[part]

    def _covering(
        self, workspace: str, parts: frozenset[str], crashes: int
    ) -> list[str]:
        """Return the parts with so many crashes that cover a request."""
        return [
            part
            for part in self._cases.keys() & parts
            if len(self._cases[part].records) >= crashes
            and self._cases[part].covers(workspace, parts)
        ]

    def is_suspect(self, workspace: str, parts: frozenset[str]) -> bool:
        """Return whether one more crash may lead to a verdict."""
        if not self._cases:
            return False
        return bool(self._covering(workspace, parts, CRASHES_TO_SUSPECT))

    def judge(
        self, workspace: str, parts: frozenset[str], now_s: float
    ) -> Verdict | None:
        """Return why a request is refused, None if it is not.

        From time to time one request that would be refused is tried, by
        the one node that may do so.
        """
        if not self._cases:
            return None
        covering = self._covering(workspace, parts, CRASHES_TO_REFUSE)
        if not covering:
            return None
        last = max(covering, key=self._due_s)
        due_s = self._due_s(last)
        if now_s >= due_s and self.may_try():
            for part in covering:
                self._tried_s[part] = now_s
            return None
        case = self._cases[last]
        wait_s = max(due_s - now_s, TRIAL_INTERVAL_S)
        if now_s - case.records[-1].crashed_s > SETTLED_AFTER_S:
            wait_s = max(wait_s, FIRST_TRIAL_AFTER_S)
        return _verdict(case, wait_s, now_s)

    def _due_s(self, part: str) -> float:
        """Return when a request that a part's case covers may be tried."""
        tried_s = self._tried_s.get(part, float("-inf"))
        return max(self._cases[part].due_s, tried_s + TRIAL_INTERVAL_S)

    def verdicts(self, now_s: float) -> list[Verdict]:
        """Return the verdicts in force, for the status page."""
        return [
            _verdict(case, case.due_s - now_s, now_s)
            for case in self._cases.values()
            if len(case.records) >= CRASHES_TO_REFUSE
        ]


_Entry = tuple[_Record, UnbegunRun]
"""A crash and one of the requests that may have caused it."""


def _cases(by_part: dict[str, list[_Entry]]) -> dict[str, _Case]:
    """Return the cases of the parts that several crashes count against.

    Parts that few requests hold come first: what they explain does not
    count against parts that many requests hold.
    """
    cases = {}
    explained: set[Key] = set()
    for part in sorted(by_part, key=lambda one: (len(by_part[one]), one)):
        entries = [
            entry for entry in by_part[part] if entry[0].key not in explained
        ]
        keys = {record.key for record, _ in entries}
        if len(keys) < CRASHES_TO_SUSPECT:
            continue
        cases[part] = _case(entries)
        if len(keys) >= CRASHES_TO_REFUSE:
            explained |= keys
    return cases


def _case(entries: list[_Entry]) -> _Case:
    """Return what the requests that may have caused crashes share."""
    records = {record.key: record for record, _ in entries}
    workspaces = {run.workspace for _, run in entries}
    open_parts = [
        frozenset(run.parts) - record.cleared for record, run in entries
    ]
    return _Case(
        tuple(sorted(records.values(), key=lambda one: one.crashed_s)),
        frozenset.intersection(*open_parts),
        workspaces.pop() if len(workspaces) == 1 else None,
    )


def _verdict(case: _Case, wait_s: float, now_s: float) -> Verdict:
    return Verdict(
        case.common,
        case.workspace,
        tuple(record.key[0] for record in case.records),
        now_s - case.records[-1].crashed_s,
        wait_s,
    )
