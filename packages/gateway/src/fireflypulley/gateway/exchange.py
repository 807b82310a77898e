"""Handles one request until its final response."""

import collections.abc
import dataclasses
import math

from twisted.internet import defer
from twisted.internet import interfaces

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import connector
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import limit_reader
from fireflypulley.gateway import metrics
from fireflypulley.gateway import outbound
from fireflypulley.gateway import record
from fireflypulley.gateway import relay
from fireflypulley.gateway import response_watchdog

MIN_RETRY_TIME_S = 0.05
MIN_FAILURE_STATUS = 500
"""Lowest status that counts as a failure of the endpoint."""


@dataclasses.dataclass(frozen=True, slots=True)
class Dependencies:
    """The objects that all exchanges share."""

    reactor: interfaces.IReactorTime
    scheduler: scheduler.RequestScheduler
    header_codec: header_codec.HeaderCodec
    connector: connector.Connector
    count_usage: collections.abc.Callable[[str], None]
    metrics: metrics.GatewayMetrics
    crash_detector: crash_detector.CrashDetector
    limit_reader: limit_reader.LimitReader
    done: collections.abc.Callable[["Exchange"], None]
    stops_at_s: collections.abc.Callable[[], float] = lambda: math.inf
    """When this node ends what still runs, infinite unless it is stopping."""


class Exchange(inbound.RequestHandler, outbound.ResponseListener):
    """Tries endpoints until one responds or no further attempt is allowed."""

    def __init__(
        self,
        dependencies: Dependencies,
        request: inbound.IncomingRequest,
        sink: inbound.CallerSink,
    ) -> None:
        self._dependencies = dependencies
        self._incoming = request
        self._relay = relay.ResponseRelay(dependencies.header_codec, sink)
        self._record = record.RequestRecord(request.arrived_s)
        self._run: runs.Run | None = None
        self._connection: outbound.EndpointConnection | None = None
        self._excluded: frozenset[tuple[str, int]] = frozenset()
        self._timer: interfaces.IDelayedCall | None = None
        self._watchdog: response_watchdog.ResponseWatchdog | None = None
        self._paused = False
        self._is_usage_counted = False
        self._was_sent = False

    def _now_s(self) -> float:
        return self._dependencies.reactor.seconds()

    def start(self) -> None:
        """Admit the request and start the first attempt."""
        incoming = self._incoming
        try:
            self._record.metadata = (
                self._dependencies.header_codec.decode_request(
                    incoming.headers
                )
            )
        except header_codec.InvalidHeaders as problem:
            bad = calls.RefusalReason.BAD_REQUEST
            self._refuse(runs.Refusal(bad, None, str(problem)))
            return
        admitted = self._dependencies.scheduler.admit(
            self._record.metadata,
            incoming.host,
            incoming.path,
            incoming.fingerprint(self._record.metadata.api_key),
            incoming.arrived_s,
        )
        if isinstance(admitted, runs.Refusal):
            self._refuse(admitted)
            return
        self._record.request = admitted
        self._relay.is_stream = admitted.route.is_stream
        left_s = admitted.deadline_s - self._now_s()
        self._timer = self._dependencies.reactor.callLater(
            max(0.0, left_s), self._timed_out
        )
        self._start_attempt()

    # Attempts

    def _start_attempt(self) -> None:
        request = self._record.request
        assert request is not None
        now_s = self._now_s()
        if request.deadline_s - now_s < MIN_RETRY_TIME_S:
            self._timed_out()
            return
        if self._would_be_cut(request, now_s):
            stopping = calls.RefusalReason.STOPPING
            self._give_up(runs.Refusal(stopping, calls.RETRY_ELSEWHERE_S))
            return
        run = self._dependencies.scheduler.choose(
            request,
            self._excluded,
            now_s,
            self._record.attempt_counts.withheld,
        )
        if isinstance(run, runs.Refusal):
            self._give_up(run)
            return
        self._run = self._record.last_run = run
        self._was_sent = False
        defer.ensureDeferred(self._connect(run)).addErrback(
            self._handle_internal_error
        )

    def _would_be_cut(
        self, request: calls.AdmittedRequest, now_s: float
    ) -> bool:
        """Return whether the node stops before an attempt is likely to end."""
        durations = self._dependencies.scheduler.endpoint_filter.durations
        expected_s = durations.expected_s(request.route.name) or 0.0
        return now_s + expected_s > self._dependencies.stops_at_s()

    def _handle_internal_error(self, reason: object) -> None:
        """End an attempt whose handling raised an unexpected error."""
        decision_log.note(
            "error", id=self._record.request_id, problem=str(reason)
        )
        outcome = calls.Outcome.UNREACHED
        if self._was_sent:
            outcome = calls.Outcome.CUT
        self._end_attempt(outcome, "internal error")

    async def _connect(self, run: runs.Run) -> None:
        source = self._dependencies.connector
        connection = await source.connect(run)
        if self._relay.is_finished or run is not self._run or run.is_over:
            if not isinstance(connection, connector.Obstacle):
                source.release(run, connection)
            return
        if isinstance(connection, connector.Obstacle):
            self._end_attempt(connection.outcome, connection.detail)
            return
        self._send(run, connection)

    def _send(
        self, run: runs.Run, connection: outbound.EndpointConnection
    ) -> None:
        request, incoming = run.request, self._incoming
        now_s = self._now_s()
        attempt = header_codec.AttemptMetadata(
            run.member.endpoint_id,
            max(0.0, request.deadline_s - now_s),
            request.workspace.name if request.workspace else None,
            request.priority,
            self._relay.last_event_id,
        )
        headers = self._dependencies.header_codec.endpoint_headers(
            incoming.headers, attempt
        )
        self._relay.start_attempt()
        self._connection = connection
        self._record.through = connection.peer
        self._record.attempt_counts.arrivals += 1
        self._was_sent = True
        self._dependencies.scheduler.note_sent(run, now_s)
        if request.route.repeatable:
            self._watchdog = response_watchdog.ResponseWatchdog(
                self._dependencies.reactor,
                run,
                lambda: bool(self._relay.status),
                self._abandon_unresponsive,
            )
        connection.send(
            incoming.method,
            incoming.target,
            headers,
            incoming.body,
            self,
            self._record.request_id,
        )
        if self._paused:
            connection.pause()

    def _abandon_unresponsive(self, outcome: calls.Outcome) -> None:
        """Retry elsewhere after a watchdog timeout, if allowed."""
        request = self._record.request
        assert request is not None
        if self._record.attempt_counts.runs + 1 >= request.route.max_attempts:
            return
        self._drop_connection()
        self._end_attempt(outcome, "no response in time")

    def _stop_watchdog(self) -> None:
        if self._watchdog is not None:
            self._watchdog.stop()
            self._watchdog = None

    # outbound.ResponseListener

    def response_head(
        self, status: int, headers: header_codec.Headers
    ) -> None:
        response = self._dependencies.header_codec.decode_response(
            status, headers
        )
        is_ours = self._is_ours(response)
        if is_ours and not response.misdirected and self._run is not None:
            self._dependencies.limit_reader.read(
                self._run, response, self._now_s()
            )
        if is_ours and (response.misdirected or response.not_run):
            outcome = calls.Outcome.NOT_RUN
            if response.misdirected:
                outcome = calls.Outcome.MISDIRECTED
            self._discard_response()
            self._end_attempt(outcome, f"status {status}")
            return
        problem = self._relay.find_head_problem(
            status, response, self._record.request_id
        ) or self._relay.find_type_problem(headers)
        if problem:
            self._drop_connection()
            self._end_attempt(calls.Outcome.GARBAGE, problem)
            return
        if not self._relay.is_stream:
            self._count_usage()
        if status >= MIN_FAILURE_STATUS and self._retry_after_failure(status):
            return
        self._relay.set_head(status, headers)

    def _is_ours(self, response: header_codec.ResponseMetadata) -> bool:
        """Return whether an answer is one to this request.

        A refusal of an earlier request can arrive late, or once more, on
        the same connection.  One without a request id is only believed on
        a connection that has carried no other request.
        """
        if response.request_id:
            return response.request_id == self._record.request_id
        connection = self._connection
        return connection is not None and connection.is_first_request

    def _count_usage(self) -> None:
        request = self._record.request
        if (
            request is None
            or request.workspace is None
            or self._is_usage_counted
        ):
            return
        self._is_usage_counted = True
        self._dependencies.count_usage(request.workspace.name)

    def _retry_after_failure(self, status: int) -> bool:
        """Retry a failed request, if allowed; return whether it is retried."""
        request = self._record.request
        assert request is not None
        if not request.route.repeatable or self._relay.head_sent:
            return False
        if self._record.attempt_counts.runs + 1 >= request.route.max_attempts:
            return False
        left_s = request.deadline_s - self._now_s()
        if left_s < MIN_RETRY_TIME_S:
            return False
        self._discard_response()
        self._end_attempt(calls.Outcome.FAILED, f"status {status}")
        return True

    def response_data(self, data: bytes) -> None:
        try:
            has_event = self._relay.receive_data(data)
        except relay.InvalidStream as problem:
            self._drop_connection()
            self._end_attempt(calls.Outcome.GARBAGE, str(problem))
            return
        if has_event and self._run is not None:
            self._count_usage()
            event_id = self._relay.last_event_id
            self._dependencies.scheduler.note_event(
                self._run, event_id, self._now_s()
            )
            if self._run.events == prompt_crashes.PROVEN_EVENTS:
                self._dependencies.crash_detector.note_answered(self._run)

    def response_end(self) -> None:
        if self._relay.is_finished:
            return
        self._connection = None
        problem = self._relay.find_end_problem()
        if problem:
            self._end_attempt(calls.Outcome.CUT, problem)
            return
        is_failure = self._relay.status >= MIN_FAILURE_STATUS
        self._end_run(
            calls.Outcome.FAILED if is_failure else calls.Outcome.COMPLETE
        )
        self._relay.finish()
        self._finish("answered", self._relay.status)

    def response_failed(self, outcome: calls.Outcome, detail: str) -> None:
        self._connection = None
        self._end_attempt(outcome, detail)

    # Ends of attempts

    def _discard_response(self) -> None:
        """Discard the rest of a response that is not forwarded."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.discard_response()

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def _end_run(self, outcome: calls.Outcome) -> None:
        self._stop_watchdog()
        run, self._run = self._run, None
        if run is None:
            return
        if outcome is calls.Outcome.WITHHELD:
            self._record.attempt_counts.withheld += 1
        else:
            self._record.attempt_counts.choices += 1
        if self._was_sent and not outcome.certainly_not_run:
            self._record.attempt_counts.runs += 1
        self._dependencies.scheduler.note_ended(run, outcome, self._now_s())
        if outcome is calls.Outcome.COMPLETE:
            self._dependencies.metrics.observe_attempt(run, self._now_s())
            self._dependencies.crash_detector.note_answered(run)

    def _end_attempt(self, outcome: calls.Outcome, detail: str) -> None:
        run, request = self._run, self._record.request
        if self._relay.is_finished or run is None or request is None:
            return
        self._excluded |= {run.member.registration.key}
        self._end_run(outcome)
        if outcome is calls.Outcome.CUT and self._was_sent:
            self._count_usage()
            self._dependencies.crash_detector.note_cut(run)
        refusal = self._find_retry_refusal(request, run, outcome)
        self._record.log_attempt(run, outcome, detail, refusal, self._now_s())
        if refusal is not None:
            self._give_up(refusal)
            return
        self._start_attempt()

    def _find_retry_refusal(
        self,
        request: calls.AdmittedRequest,
        run: runs.Run,
        outcome: calls.Outcome,
    ) -> runs.Refusal | None:
        """Return why no attempt may follow the one that ended, or None."""
        if not self._relay.may_continue:
            unknown = calls.RefusalReason.OUTCOME_UNKNOWN
            part = runs.RetryObstacle.PART
            return runs.Refusal(unknown, None, part.value)
        return self._dependencies.scheduler.may_retry(
            request,
            outcome,
            self._record.attempt_counts,
            self._now_s(),
            run.has_begun,
        )

    # Final responses

    def _timed_out(self) -> None:
        self._timer = None
        self._abort_attempt()
        self._give_up(runs.Refusal(calls.RefusalReason.TIMEOUT))

    def _abort_attempt(self) -> None:
        """Abort the attempt; a request that was sent may have run."""
        if self._was_sent and self._run is not None:
            self._record.attempt_counts.runs += 1
        self._drop_connection()

    def _give_up(self, refusal: runs.Refusal) -> None:
        """Refuse a request that no endpoint answered."""
        run, self._run = self._run, None
        if run is not None:
            is_silent = run.load.is_unresponsive(self._now_s())
            outcome = calls.Outcome.SLOW
            if is_silent:
                outcome = calls.Outcome.SILENT
            self._dependencies.scheduler.note_ended(
                run, outcome, self._now_s()
            )
        if (
            self._record.attempt_counts.runs == 0
            and self._record.request is not None
        ):
            self._dependencies.scheduler.limits.refund(self._record.request)
            if refusal.reason is calls.RefusalReason.TIMEOUT:
                refusal = runs.Refusal(calls.RefusalReason.NO_TIME_LEFT)
        elif self._record.attempt_counts.runs:
            refusal = self._as_outcome_unknown(refusal)
        self._refuse(refusal)

    def _as_outcome_unknown(self, refusal: runs.Refusal) -> runs.Refusal:
        """Return a refusal that does not imply "not executed"."""
        status = calls.STATUS_BY_REFUSAL[refusal.reason]
        if status not in relay.NOT_EXECUTED_STATUSES:
            return refusal
        return runs.Refusal(
            calls.RefusalReason.OUTCOME_UNKNOWN, None, refusal.reason.value
        )

    def _refuse(self, refusal: runs.Refusal) -> None:
        if self._relay.is_finished:
            return
        self._dependencies.scheduler.refused[refusal.reason] += 1
        if self._relay.head_sent:
            self._relay.abort()
            detail = f"{refusal.reason.value}: {refusal.detail}"
            self._finish("cut", self._relay.status, detail)
            return
        status = calls.STATUS_BY_REFUSAL[refusal.reason]
        headers = self._dependencies.header_codec.refusal_headers(
            self._record.request_id, refusal.retry_after_s
        )
        self._relay.refuse(status, headers)
        self._finish(refusal.reason.value, status, refusal.detail)

    def _finish(self, result: str, status: int, detail: str = "") -> None:
        self._stop_watchdog()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        self._record.log_end(
            result,
            status,
            detail,
            self._relay.last_event_id,
            self._dependencies.scheduler,
            self._dependencies.metrics,
            self._now_s(),
        )
        self._dependencies.done(self)

    # inbound.RequestHandler

    def caller_left(self) -> None:
        self._relay.detach()
        self._drop_connection()
        run, self._run = self._run, None
        if run is not None:
            self._dependencies.scheduler.note_abandoned(run)
        self._finish("caller_left", 0)

    def pause(self) -> None:
        self._paused = True
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        self._paused = False
        if self._connection is not None:
            self._connection.resume()

    def abort(self) -> None:
        """End the request now because the node shuts down."""
        if self._relay.is_finished:
            return
        self._abort_attempt()
        self._give_up(
            runs.Refusal(calls.RefusalReason.TIMEOUT, None, "shutdown")
        )
