"""Reads what endpoints say of themselves in their answers, and logs it."""

import collections.abc

from fireflypulley.core.gateway import brittle_endpoints
from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import header_codec


class LimitReader:
    """Records what the answers to this node's requests say."""

    def __init__(
        self,
        limits: endpoint_limits.EndpointLimits,
        brittle: brittle_endpoints.BrittleEndpoints,
        leaving: leaving_reports.LeavingReports,
        on_limit: collections.abc.Callable[
            [endpoint_limits.EndpointLimit], None
        ],
        on_leaving: collections.abc.Callable[
            [leaving_reports.LeavingReport], None
        ],
    ) -> None:
        self._limits = limits
        self._brittle = brittle
        self._leaving = leaving
        self._on_limit = on_limit
        self._on_leaving = on_leaving

    def read(
        self,
        run: runs.Run,
        response: header_codec.ResponseMetadata,
        now_s: float,
    ) -> None:
        """Record what the answer to a run says.

        Only an answer of the endpoint itself to this request ends a
        limit: a refusal does not have to name the limit again.
        """
        self._read_brittleness(run, response, now_s)
        self._read_leaving(run, response, now_s)
        self._read_pause(run, response, now_s)
        key = run.member.registration.key
        if response.invalid_limit:
            self._note_invalid(key, response.invalid_limit)
        changed = None
        if response.limit_per_s is not None:
            changed = self._limits.note_named(key, response.limit_per_s, now_s)
        elif run.sent_s is not None and _is_full_answer(response):
            changed = self._limits.note_unnamed(key, run.sent_s)
        if changed is not None:
            log(changed, "answer", run.request.metadata.request_id)
            self._on_limit(changed)

    def _read_brittleness(
        self,
        run: runs.Run,
        response: header_codec.ResponseMetadata,
        now_s: float,
    ) -> None:
        service = run.member.registration.service
        if self._brittle.note_answer(service, response.refusals_per_s, now_s):
            decision_log.note(
                "brittle",
                id=run.request.metadata.request_id,
                endpoint=run.member.endpoint_id,
                service=service,
                refusals_per_s=response.refusals_per_s,
            )

    def _read_leaving(
        self,
        run: runs.Run,
        response: header_codec.ResponseMetadata,
        now_s: float,
    ) -> None:
        if not response.leaving:
            return
        key = run.member.registration.key
        report = self._leaving.note_answer(key, now_s)
        if report is not None:
            request_id = run.request.metadata.request_id
            log_leaving(report, "answer", request_id)
            self._on_leaving(report)

    def _read_pause(
        self,
        run: runs.Run,
        response: header_codec.ResponseMetadata,
        now_s: float,
    ) -> None:
        if response.pause_s is None:
            return
        run.load.pause(response.pause_s, now_s)
        decision_log.note(
            "endpoint",
            id=run.request.metadata.request_id,
            endpoint=run.member.endpoint_id,
            state="paused",
            pause_s=response.pause_s,
        )

    def _note_invalid(self, key: endpoint_limits.Key, text: str) -> None:
        if self._limits.note_invalid(key, text):
            decision_log.note(
                "endpoint_limit",
                endpoint=key[0],
                state="invalid",
                value=text,
            )


def _is_full_answer(response: header_codec.ResponseMetadata) -> bool:
    return response.sealed and not response.not_run


def log(
    limit: endpoint_limits.EndpointLimit, source: str, request_id: str = ""
) -> None:
    """Log a limit that was named, changed or ended, and who said so."""
    decision_log.note(
        "endpoint_limit",
        id=request_id,
        endpoint=limit.endpoint_id,
        state="ended" if limit.rate_per_s is None else "named",
        rate_per_s=limit.rate_per_s,
        revision=limit.revision,
        source=source,
    )


def log_leaving(
    report: leaving_reports.LeavingReport, source: str, request_id: str = ""
) -> None:
    """Log that an endpoint says that it leaves, and who told it."""
    decision_log.note(
        "endpoint",
        id=request_id,
        endpoint=report.endpoint_id,
        state="leaving",
        source=source,
    )
