"""The attempts of one request at endpoints.

An attempt that is late, or whose endpoint answered with a failure, is kept
while another one is made.  The caller gets the answer of the one that goes
on first; nothing is given up before something better has arrived.
"""

import abc

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import attempt
from fireflypulley.gateway import attempt_accounts
from fireflypulley.gateway import attempt_chooser
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import record
from fireflypulley.gateway import relay

MIN_FAILURE_STATUS = 500
"""Lowest status that counts as a failure of the endpoint."""


class AttemptsOwner(abc.ABC):
    """Is told how the attempts of a request ended."""

    @abc.abstractmethod
    def answered(self) -> None:
        """Called when the relay has all of an endpoint's answer."""

    @abc.abstractmethod
    def given_up(self, refusal: runs.Refusal) -> None:
        """Called when no attempt serves the request."""

    @abc.abstractmethod
    def timed_out(self) -> None:
        """Called when too little time is left for an attempt."""


class Attempts(attempt.AttemptOwner):
    """Tries endpoints until one responds or no further attempt is allowed."""

    def __init__(
        self,
        shared: dependencies.Dependencies,
        owner: AttemptsOwner,
        incoming: inbound.IncomingRequest,
        response_relay: relay.ResponseRelay,
        request_record: record.RequestRecord,
    ) -> None:
        self._dependencies = shared
        self._owner = owner
        self._incoming = incoming
        self._relay = response_relay
        self._record = request_record
        self.current: attempt.Attempt | None = None
        self.kept: attempt.Attempt | None = None
        """An attempt that may still serve the caller beside the current."""
        self._accounts = attempt_accounts.AttemptAccounts(
            shared, request_record
        )
        self._chooser = attempt_chooser.AttemptChooser(
            shared, response_relay, request_record
        )
        self._is_paused = False

    def _now_s(self) -> float:
        return self._dependencies.reactor.seconds()

    @property
    def last_event_id(self) -> int | None:
        return self._relay.last_event_id

    def start(self) -> None:
        """Try the next endpoint, unless that makes no sense any more."""
        request = self._record.request
        assert request is not None
        if not self._chooser.has_time(request):
            self._owner.timed_out()
            return
        run = self._chooser.choose(request)
        if isinstance(run, runs.Refusal):
            self._give_up(run)
        else:
            self._begin(run)

    def _begin(self, run: runs.Run) -> None:
        self._record.last_run = run
        part = self._relay.start_attempt()
        self.current = attempt.Attempt(
            self._dependencies, self, self._incoming, run, part
        )
        self.current.begin()

    def attempt_sent(self, sent: attempt.Attempt) -> None:
        self._chooser.note_sent()
        self._record.attempt_counts.arrivals += 1
        if sent.connection is not None:
            self._record.through = sent.connection.peer
        if self._is_paused:
            sent.pause()

    # Attempts that are kept

    def attempt_late(
        self, late: attempt.Attempt, outcome: calls.Outcome
    ) -> None:
        """Try another endpoint, if allowed, beside one that is late."""
        if late is not self.current or self.kept is not None:
            late.watch_again()
            return
        run = self._chooser.choose_beside(late, outcome)
        if isinstance(run, runs.Refusal):
            self._log_late(late, outcome, run)
            late.watch_again()
            return
        self._log_late(late, outcome, None)
        self._keep(late)
        self._begin(run)

    def _log_late(
        self,
        late: attempt.Attempt,
        outcome: calls.Outcome,
        refusal: runs.Refusal | None,
    ) -> None:
        """Log what follows, once for each obstacle."""
        obstacle = ""
        if refusal is not None:
            obstacle = refusal.detail or refusal.reason.value
            if obstacle == late.obstacle:
                return
        late.obstacle = obstacle
        self._record.log_attempt(
            late.run,
            outcome,
            "no response in time",
            "stay" if refusal else "beside",
            refusal,
            self._now_s(),
        )

    def _keep(self, sent: attempt.Attempt) -> None:
        """Keep an attempt while another one is made."""
        self._accounts.keep(sent)
        self._chooser.excluded |= {sent.key}
        self.kept, self.current = sent, None

    def _prefer(self, chosen: attempt.Attempt) -> None:
        """Let an attempt that goes on serve, and drop the other one."""
        other = self.current if chosen is self.kept else self.kept
        self.current, self.kept = chosen, None
        self._relay.use(chosen.part)
        if other is not None:
            other.abort()
            self._accounts.drop(other)
            chosen.watch_again()

    def _return_to_kept(self) -> None:
        """Go on with the attempt that was kept, as no other one serves."""
        kept, self.kept = self.kept, None
        assert kept is not None
        self.current = kept
        self._relay.use(kept.part)
        if kept.has_failed and kept.is_complete:
            self._owner.answered()
        elif not kept.has_failed:
            kept.watch_again()

    # attempt.AttemptOwner

    def attempt_head(
        self,
        sent: attempt.Attempt,
        status: int,
        headers: header_codec.Headers,
    ) -> None:
        response = self._dependencies.header_codec.decode_response(
            status, headers
        )
        is_ours = self._is_ours(sent, response)
        if is_ours and not response.misdirected:
            self._dependencies.limit_reader.read(
                sent.run, response, self._now_s()
            )
        if is_ours and (response.misdirected or response.not_run):
            outcome = calls.Outcome.NOT_RUN
            if response.misdirected:
                outcome = calls.Outcome.MISDIRECTED
            sent.discard()
            self._end_attempt(sent, outcome, f"status {status}")
            return
        problem = self._relay.find_head_problem(
            status, response, self._record.request_id
        ) or self._relay.find_type_problem(headers)
        if problem:
            sent.abort()
            self._end_attempt(sent, calls.Outcome.GARBAGE, problem)
            return
        if not self._relay.is_stream:
            self._accounts.count_usage()
        self._relay.set_head(sent.part, status, headers)
        if status >= MIN_FAILURE_STATUS and self._keep_failure(sent):
            return
        if not self._relay.is_event_stream(sent.part):
            self._prefer(sent)

    def _is_ours(
        self,
        sent: attempt.Attempt,
        response: header_codec.ResponseMetadata,
    ) -> bool:
        """Return whether an answer is one to this request.

        A refusal of an earlier request can arrive late, or once more, on
        the same connection.  One without a request id is only believed on
        a connection that has carried no other request.
        """
        if response.request_id:
            return response.request_id == self._record.request_id
        connection = sent.connection
        return connection is not None and connection.is_first_request

    def _keep_failure(self, failed: attempt.Attempt) -> bool:
        """Try another endpoint after a failure, if allowed.

        Return whether another attempt goes on.
        """
        detail, outcome = f"status {failed.part.status}", calls.Outcome.FAILED
        other = self.current if failed is self.kept else self.kept
        if other is not None and not other.has_failed:
            failed.discard()
            self._end_attempt(failed, outcome, detail)
            return True
        has_time = self._chooser.has_time(failed.run.request)
        if self._relay.head_sent or not has_time:
            return False
        refusal = self._chooser.find_refusal(
            failed, outcome, self._chooser.counts_with(failed)
        )
        if refusal is not None:
            return False
        self._log_failed(failed, outcome, detail, None)
        if other is not None:
            other.abort()
        failed.has_failed = True
        self._accounts.end(failed, outcome)
        self._keep(failed)
        self.start()
        return True

    def attempt_data(self, sent: attempt.Attempt, data: bytes) -> None:
        if sent is self.kept:
            if sent.has_failed:
                self._hold_failure(sent, data)
                return
            self._prefer(sent)
        count = self._relay.event_count
        try:
            has_event = self._relay.receive_data(data)
        except relay.InvalidStream as problem:
            sent.abort()
            self._end_attempt(sent, calls.Outcome.GARBAGE, str(problem))
            return
        if not has_event:
            return
        if self.kept is not None and self._relay.event_count > count:
            self._prefer(sent)
        self._accounts.note_event(sent, self._relay.last_event_id)

    def _hold_failure(self, failed: attempt.Attempt, data: bytes) -> None:
        """Keep a part of a failure, which is no use if it is too large."""
        failed.part.hold(data)
        if failed.part.held_bytes > relay.MAX_HELD_BYTES:
            failed.abort()
            self.kept = None

    def attempt_end(self, sent: attempt.Attempt) -> None:
        if self._relay.is_finished:
            return
        if sent is self.kept and sent.has_failed:
            sent.is_complete = True
            return
        problem = self._relay.find_end_problem(sent.part)
        if problem:
            self._end_attempt(sent, calls.Outcome.CUT, problem)
            return
        self._prefer(sent)
        is_failure = self._relay.status >= MIN_FAILURE_STATUS
        self._accounts.end(
            sent,
            calls.Outcome.FAILED if is_failure else calls.Outcome.COMPLETE,
        )
        self._owner.answered()

    def attempt_failed(
        self, sent: attempt.Attempt, outcome: calls.Outcome, detail: str
    ) -> None:
        self._end_attempt(sent, outcome, detail)

    # Ends of attempts

    def _end_attempt(
        self, ended: attempt.Attempt, outcome: calls.Outcome, detail: str
    ) -> None:
        """End an attempt, and go on with another one if there may be one."""
        is_known = ended in (self.current, self.kept)
        if self._relay.is_finished or not is_known:
            return
        self._chooser.excluded |= {ended.key}
        self._accounts.end(ended, outcome)
        if ended is self.kept:
            self.kept = None
            self._log_failed(ended, outcome, detail, None)
            return
        self.current = None
        kept = self.kept
        if kept is not None and not kept.has_failed:
            self._log_failed(ended, outcome, detail, None)
            self._chooser.give_back()
            self._return_to_kept()
            return
        refusal = self._chooser.find_refusal(
            ended, outcome, self._record.attempt_counts
        )
        self._log_failed(ended, outcome, detail, refusal)
        if refusal is not None:
            self._give_up(refusal)
            return
        self.start()

    def _log_failed(
        self,
        ended: attempt.Attempt,
        outcome: calls.Outcome,
        detail: str,
        refusal: runs.Refusal | None,
    ) -> None:
        follows = "stop" if refusal else "again"
        if self.current is not None or self.kept is not None:
            follows = "other"
        self._record.log_attempt(
            ended.run, outcome, detail, follows, refusal, self._now_s()
        )

    def _give_up(self, refusal: runs.Refusal) -> None:
        """Let an attempt that was kept serve, else give the request up."""
        self._chooser.give_back()
        if self.kept is not None:
            self._return_to_kept()
        else:
            self._owner.given_up(refusal)

    # For the owner

    def end_now(self, refusal: runs.Refusal) -> None:
        """End the request with what there is; it may have run."""
        for sent in self._under_way:
            if sent.has_failed:
                continue
            sent.abort()
            if sent.was_sent:
                self._accounts.end_late(sent)
            else:
                self._dependencies.scheduler.note_abandoned(sent.run)
        if self.kept is not None and not self.kept.is_complete:
            self.kept = None
        self._give_up(refusal)

    def leave(self) -> None:
        """Stop all work, as the caller has left."""
        self._chooser.give_back()
        for sent in self._under_way:
            sent.abort()
            self._dependencies.scheduler.note_abandoned(sent.run)

    def pause(self) -> None:
        """Stop reading while the caller accepts no data."""
        self._is_paused = True
        for sent in self._under_way:
            sent.pause()

    def resume(self) -> None:
        """Continue to read."""
        self._is_paused = False
        for sent in self._under_way:
            sent.resume()

    @property
    def _under_way(self) -> list[attempt.Attempt]:
        both = (self.current, self.kept)
        return [sent for sent in both if sent is not None]
