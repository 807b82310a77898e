"""Tells crashes of endpoints from lost responses, and reports them."""

import collections.abc

from twisted.internet import interfaces

from fireflypulley.core import facts
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import prober

FEATURE = "prompt-crashes"
CRASH_CHECK_DELAY_S = 0.4

_Reports = collections.abc.Sequence[prompt_crashes.CrashReport]


class CrashDetector:
    """Checks endpoints that cut off requests, and collects the evidence.

    An endpoint that neither this node nor a peer can connect to after that
    has crashed.  The requests that it had not begun to answer may have
    caused it.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        endpoint_prober: prober.Prober,
        publish_fact: collections.abc.Callable[[facts.Fact], None],
        publish_reports: collections.abc.Callable[[_Reports], None],
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._prober = endpoint_prober
        self._publish_fact = publish_fact
        self._publish_reports = publish_reports
        self._cut: dict[tuple[str, int], list[runs.Run]] = {}

    def note_cut(self, run: runs.Run) -> None:
        """Check after a delay whether a run's endpoint has crashed."""
        key = run.member.registration.key
        if key in self._cut:
            self._cut[key].append(run)
            return
        self._cut[key] = [run]
        self._reactor.callLater(
            CRASH_CHECK_DELAY_S, self._start_check, run.member
        )

    def _start_check(self, member: fleet.Member) -> None:
        cut = self._cut.pop(member.registration.key)
        background.start(self._check(member, cut), probe=member.endpoint_id)

    async def _check(self, member: fleet.Member, cut: list[runs.Run]) -> None:
        if not await self._prober.has_failed(member):
            return
        # Copies of a request that ran together have crashed it once.
        for run in {run.request.fingerprint: run for run in cut}.values():
            self._count_request(run)
        current = self._scheduler.fleet.get(member.endpoint_id)
        if current is None or not current.leaving:
            self._report_parts(member, cut)

    def _count_request(self, run: runs.Run) -> None:
        """Count the crash by the request itself, which may come again."""
        endpoint_id, started_ms = run.member.registration.key
        fact = self._scheduler.crash_tracker.crashed(
            run.request.fingerprint,
            self._reactor.seconds(),
            f"{endpoint_id}/{started_ms}",
        )
        self._publish_fact(fact)
        decision_log.note(
            "crash",
            id=run.request.metadata.request_id,
            endpoint=run.member.endpoint_id,
            fingerprint=fact.fingerprint,
            crashes=fact.crashes,
            began=run.has_begun,
            parts=[part.part_id for part in run.request.metadata.shared_parts],
        )

    def _report_parts(self, member: fleet.Member, cut: list[runs.Run]) -> None:
        """Report which requests the endpoint had not begun to answer."""
        unbegun = tuple(
            _describe(run.request) for run in cut if not run.has_begun
        )
        now_s = self._reactor.seconds()
        spec = member.registration
        cut_s = min(run.ended_s for run in cut)
        report = prompt_crashes.CrashReport(
            *spec.key, spec.service, unbegun, age_s=now_s - cut_s
        )
        if self._scheduler.prompt_crashes.merge(report, now_s):
            log(report, "connection")
            self._publish_reports([report])

    def note_answered(self, run: runs.Run) -> None:
        """Record that a run was answered, in full or by its first events."""
        request = run.request
        news = self._scheduler.prompt_crashes.note_answered(
            run.member.registration.service,
            request.shared_part_ids,
            self._reactor.seconds(),
        )
        if not news:
            return
        for report in news:
            log(report, "answer", request.metadata.request_id)
        self._publish_reports(news)


def _describe(request: calls.AdmittedRequest) -> prompt_crashes.UnbegunRun:
    return prompt_crashes.UnbegunRun(
        request.workspace_name, tuple(sorted(request.shared_part_ids))
    )


def log(
    report: prompt_crashes.CrashReport, source: str, request_id: str = ""
) -> None:
    """Log news of a crash, and who said so."""
    decision_log.note(
        "crash_report",
        id=request_id,
        endpoint=report.endpoint_id,
        age_ms=round(report.age_s * 1000),
        unbegun=[list(run.parts) for run in report.unbegun],
        cleared=list(report.cleared),
        outlived=report.outlived,
        source=source,
    )
