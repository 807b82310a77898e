"""Handles one request until its final response."""

from twisted.internet import interfaces

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import attempts
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import record
from fireflypulley.gateway import relay


class Exchange(inbound.RequestHandler, attempts.AttemptsOwner):
    """Admits a request, and gives its caller the final response."""

    def __init__(
        self,
        shared: dependencies.Dependencies,
        request: inbound.IncomingRequest,
        sink: inbound.CallerSink,
    ) -> None:
        self._dependencies = shared
        self._incoming = request
        self._relay = relay.ResponseRelay(
            shared.header_codec, sink, shared.memory
        )
        self._record = record.RequestRecord(request.arrived_s)
        self._attempts: attempts.Attempts | None = None
        self._timer: interfaces.IDelayedCall | None = None

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
        if admitted.route.resumable:
            self._relay.caller_has = self._record.metadata.last_event_id
        left_s = admitted.deadline_s - self._now_s()
        self._timer = self._dependencies.reactor.callLater(
            max(0.0, left_s), self.timed_out
        )
        self._attempts = attempts.Attempts(
            self._dependencies,
            self,
            self._incoming,
            self._relay,
            self._record,
        )
        self._attempts.start()

    # attempts.AttemptsOwner

    def answered(self) -> None:
        self._stop_timer()
        self._record.answered_s = self._now_s()
        self._relay.finish(self._delivered)

    def _delivered(self, delivery: caller_ends.Delivery) -> None:
        """End the request, as its caller has the answer or never will."""
        self._record.delivery = delivery
        if delivery.end is None:
            self._finish("answered", self._relay.status)
            return
        detail = f"caller's connection: {delivery.end.value}"
        self._finish("undelivered", self._relay.status, detail)

    def timed_out(self) -> None:
        self._end_now(runs.Refusal(calls.RefusalReason.TIMEOUT))

    def given_up(self, refusal: runs.Refusal) -> None:
        """Refuse a request that no endpoint answered."""
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

    # Final responses

    def _end_now(self, refusal: runs.Refusal) -> None:
        """End the request with what there is; it may have run."""
        if self._attempts is not None:
            self._attempts.end_now(refusal)

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

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _finish(self, result: str, status: int, detail: str = "") -> None:
        self._stop_timer()
        self._record.log_end(
            result,
            status,
            detail,
            self._relay.last_event_id,
            self._dependencies.scheduler,
            self._dependencies.metrics,
            self._now_s(),
        )
        attempts_made, self._attempts = self._attempts, None
        if attempts_made is not None:
            attempts_made.close()
        self._dependencies.done(self)

    # inbound.RequestHandler

    def caller_left(self) -> None:
        self._relay.detach()
        if self._attempts is not None:
            self._attempts.leave()
        self._finish("caller_left", 0)

    def response_broken(self, problem: str) -> None:
        self._relay.detach()
        if self._attempts is not None:
            self._attempts.leave()
        self._finish("cut", self._relay.status, problem)

    def pause(self) -> None:
        if self._attempts is not None:
            self._attempts.pause()

    def resume(self) -> None:
        if self._attempts is not None:
            self._attempts.resume()

    def abort(self) -> None:
        """End the request now because the node shuts down."""
        if not self._relay.is_finished:
            self._end_now(
                runs.Refusal(calls.RefusalReason.TIMEOUT, None, "shutdown")
            )
