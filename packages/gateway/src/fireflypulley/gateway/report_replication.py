"""Passes reports of nodes on to all nodes that can read them."""

import abc
import collections.abc
import typing

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import peer_numbers
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import usage
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import limit_reader
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

LEAVING_FEATURE = "leaving-reports"
USAGE_FEATURE = "usage-reports"
Report = typing.TypeVar("Report")


class ReportReplicator(abc.ABC, typing.Generic[Report]):
    """Sends reports of one kind, and passes on those that are news."""

    def __init__(self, node_hub: hub.Hub, feature: str) -> None:
        self._hub = node_hub
        self._feature = feature

    @abc.abstractmethod
    def _known(self, now_s: float) -> tuple[Report, ...]:
        """Return all reports that this node has."""

    @abc.abstractmethod
    def _merge(self, report: Report, now_s: float) -> bool:
        """Apply a report; return whether it is news.

        Raise ``BadNumber`` if no node can report this.
        """

    @abc.abstractmethod
    def _message(self, reports: tuple[Report, ...]) -> messages.Message:
        """Return the message that holds some reports."""

    @abc.abstractmethod
    def _log(self, report: Report, from_node: str) -> None:
        """Log a report that is news."""

    def publish(self, *reports: Report) -> None:
        """Send reports to all nodes with a stream."""
        self._send(reports, None)

    def send_all(self, node_id: str, now_s: float) -> None:
        """Send all reports to a node that has just connected."""
        known = self._known(now_s)
        if known and node_id in self._hub.peers_with(self._feature):
            self._hub.send_to([node_id], self._message(known))

    def receive(
        self,
        from_node: str,
        reports: collections.abc.Sequence[Report],
        now_s: float,
    ) -> None:
        """Apply reports; pass those that are news on to the other nodes."""
        news = tuple(
            one for one in reports if self._is_news(one, from_node, now_s)
        )
        for report in news:
            self._log(report, from_node)
        if news:
            self._send(news, from_node)

    def _is_news(self, report: Report, from_node: str, now_s: float) -> bool:
        try:
            return self._merge(report, now_s)
        except peer_numbers.BadNumber as problem:
            decision_log.note(
                "peer", peer=from_node, state="refused", detail=str(problem)
            )
            return False

    def _send(
        self, reports: tuple[Report, ...], except_node: str | None
    ) -> None:
        receivers = [
            node_id
            for node_id in self._hub.peers_with(self._feature)
            if node_id != except_node
        ]
        if receivers:
            self._hub.send_to(receivers, self._message(reports))


class LimitReplicator(ReportReplicator[endpoint_limits.EndpointLimit]):
    """Tells the other nodes which endpoints name a limit."""

    def __init__(
        self,
        limits: endpoint_limits.EndpointLimits,
        node_hub: hub.Hub,
        feature: str,
    ) -> None:
        super().__init__(node_hub, feature)
        self._limits = limits

    def _known(
        self, now_s: float
    ) -> tuple[endpoint_limits.EndpointLimit, ...]:
        return self._limits.known()

    def _merge(
        self, report: endpoint_limits.EndpointLimit, now_s: float
    ) -> bool:
        return self._limits.merge(report, now_s)

    def _message(
        self, reports: tuple[endpoint_limits.EndpointLimit, ...]
    ) -> messages.Message:
        return messages.LimitReports(reports)

    def _log(
        self, report: endpoint_limits.EndpointLimit, from_node: str
    ) -> None:
        limit_reader.log(report, from_node)


class CrashReplicator(ReportReplicator[prompt_crashes.CrashReport]):
    """Tells the other nodes which requests endpoints crashed under."""

    def __init__(
        self,
        crashes: prompt_crashes.PromptCrashes,
        node_hub: hub.Hub,
        feature: str,
    ) -> None:
        super().__init__(node_hub, feature)
        self._crashes = crashes

    def _known(self, now_s: float) -> tuple[prompt_crashes.CrashReport, ...]:
        return self._crashes.known(now_s)

    def _merge(self, report: prompt_crashes.CrashReport, now_s: float) -> bool:
        return self._crashes.merge(report, now_s)

    def _message(
        self, reports: tuple[prompt_crashes.CrashReport, ...]
    ) -> messages.Message:
        return messages.CrashReports(reports)

    def _log(self, report: prompt_crashes.CrashReport, from_node: str) -> None:
        crash_detector.log(report, from_node)


class LeavingReplicator(ReportReplicator[leaving_reports.LeavingReport]):
    """Tells the other nodes which endpoints say that they leave."""

    def __init__(
        self, leaving: leaving_reports.LeavingReports, node_hub: hub.Hub
    ) -> None:
        super().__init__(node_hub, LEAVING_FEATURE)
        self._leaving = leaving

    def _known(
        self, now_s: float
    ) -> tuple[leaving_reports.LeavingReport, ...]:
        return self._leaving.known(now_s)

    def _merge(
        self, report: leaving_reports.LeavingReport, now_s: float
    ) -> bool:
        return self._leaving.merge(report, now_s)

    def _message(
        self, reports: tuple[leaving_reports.LeavingReport, ...]
    ) -> messages.Message:
        return messages.LeavingReports(reports)

    def _log(
        self, report: leaving_reports.LeavingReport, from_node: str
    ) -> None:
        limit_reader.log_leaving(report, from_node)


class UsageReplicator(ReportReplicator[usage.UsageReport]):
    """Tells the other nodes what was decided on as the usage of a window."""

    def __init__(
        self, settled: usage.SettledReports, node_hub: hub.Hub
    ) -> None:
        super().__init__(node_hub, USAGE_FEATURE)
        self._settled = settled

    def _known(self, now_s: float) -> tuple[usage.UsageReport, ...]:
        return self._settled.known()

    def _merge(self, report: usage.UsageReport, now_s: float) -> bool:
        return self._settled.merge(report)

    def _message(
        self, reports: tuple[usage.UsageReport, ...]
    ) -> messages.Message:
        return messages.UsageReports(reports)

    def _log(self, report: usage.UsageReport, from_node: str) -> None:
        decision_log.note(
            "usage",
            window=report.window,
            state="settled",
            counts=report.counts,
            peer=from_node,
        )
