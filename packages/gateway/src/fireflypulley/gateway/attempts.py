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
_BROKEN_OFF = frozenset({calls.Outcome.CUT, calls.Outcome.GARBAGE})


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
        self.late: list[attempt.Attempt] = []
        """Attempts that may still serve the caller beside the current."""
        self.failed: attempt.Attempt | None = None
        """The latest failure of an endpoint, held if nothing else serves."""
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
        part = self._relay.start_attempt(lambda: self._send_early(begun))
        self._record.run_events.append(record.RunEvents(run, part.sent_events))
        begun = attempt.Attempt(
            self._dependencies, self, self._incoming, run, part
        )
        self._use(begun)
        begun.begin()

    def _use(self, used: attempt.Attempt) -> None:
        """Let an attempt be the current one."""
        self.current = used
        self._relay.use(used.part, self.is_contested)
        self._record.last_run = used.run
        self._record.through = used.peer
        self._record.answer_end = used.end

    def attempt_sent(self, sent: attempt.Attempt) -> None:
        self._chooser.note_sent()
        self._record.attempt_counts.arrivals += 1
        self._record.through = sent.peer
        self._pause_single()

    # Attempts beside each other

    @property
    def is_contested(self) -> bool:
        """Return whether several attempts may still serve the caller."""
        return bool(self.late)

    def attempt_late(
        self, late: attempt.Attempt, outcome: calls.Outcome
    ) -> None:
        """Try another endpoint, if allowed, beside one that is late.

        While the caller does not read, nothing is read from the endpoint
        either, so that it is not late.
        """
        if late is not self.current:
            return
        if self._is_paused:
            late.watch_again()
            return
        run = self._chooser.choose_beside(late, outcome)
        if isinstance(run, runs.Refusal):
            self._accounts.log_late(late, outcome, run)
            late.watch_again()
            return
        self._accounts.log_late(late, outcome, None)
        self._accounts.keep(late)
        self._chooser.excluded |= {late.key}
        self.late.append(late)
        self._begin(run)

    def _prefer(self, chosen: attempt.Attempt) -> None:
        """Let an attempt that goes on serve, and drop all others."""
        others = [one for one in self._under_way if one is not chosen]
        self.late = []
        self._drop_failed()
        self._use(chosen)
        for other in others:
            other.abort()
            self._accounts.drop(other)
        if others:
            self._chooser.give_back()
            chosen.watch_again()
            self._pause_single()

    def _drop_failed(self) -> None:
        failed, self.failed = self.failed, None
        if failed is not None:
            failed.abort()

    def _return_to_late(self) -> None:
        """Wait for an attempt that is late, as no newer one serves."""
        self._chooser.give_back()
        last = self.late.pop()
        self._use(last)
        last.watch_again()
        self._pause_single()

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
        if self._is_ambiguous(sent):
            sent.abort()
            detail = "no length on a used connection"
            self._end_attempt(sent, calls.Outcome.AMBIGUOUS, detail)
            return
        if status >= MIN_FAILURE_STATUS and self._keep_failure(sent):
            return

    def _is_ambiguous(self, sent: attempt.Attempt) -> bool:
        """Return whether a part of another answer may be in this one."""
        connection = sent.connection
        if connection is None or not connection.is_unframed:
            return False
        self._dependencies.connector.note_unframed(sent.run)
        return connection.is_ambiguous

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
        """Hold a failure while another attempt may serve the caller.

        Return whether there is one.
        """
        outcome = calls.Outcome.FAILED
        may_follow = self.is_contested or self._chooser.may_follow(failed)
        if not may_follow:
            return False
        self._accounts.end(failed, outcome)
        self._chooser.excluded |= {failed.key}
        self._drop_failed()
        self.failed = failed
        follows = "other" if self.is_contested else "again"
        detail = f"status {failed.part.status}"
        self._accounts.log(failed, outcome, detail, follows, None)
        if failed in self.late:
            self.late.remove(failed)
        elif self.is_contested:
            self._return_to_late()
        else:
            self.current = None
            self.start()
        return True

    def attempt_data(self, sent: attempt.Attempt, data: bytes) -> None:
        if sent is self.failed:
            self._hold_failure(sent, data)
        elif self._relay.is_event_stream(sent.part):
            self._receive_events(sent, data)
        else:
            self._receive_plain(sent, data)
        if self._relay.head_sent:
            self._drop_failed()

    def _hold_failure(self, failed: attempt.Attempt, data: bytes) -> None:
        """Keep a part of a failure, which is no use if it is too large."""
        failed.part.hold(data)
        if failed.part.is_large:
            self._drop_failed()

    def _send_early(self, holding: attempt.Attempt) -> None:
        """Send what an attempt holds, as the node needs the memory.

        A failure that is kept for later is dropped.
        """
        if holding is self.failed:
            self._drop_failed()
        elif holding in self._under_way:
            self._prefer(holding)
            self._relay.send_held()
            if holding.part.held_bytes:
                # An event that is not complete can't be sent.
                scarce = calls.RefusalReason.TIMEOUT
                self.end_now(runs.Refusal(scarce, None, "memory"))
        else:
            holding.part.drop()

    def _receive_plain(self, sent: attempt.Attempt, data: bytes) -> None:
        """Hold a body beside another attempt's, unless it is too large."""
        if not self.is_contested:
            self._relay.receive_data(data)
            return
        sent.part.hold(data)
        if sent.part.is_large:
            self._prefer(sent)

    def _receive_events(self, sent: attempt.Attempt, data: bytes) -> None:
        if self.is_contested:
            self._relay.use(sent.part, True)
        count = self._relay.event_count
        problem: relay.InvalidStream | None = None
        try:
            has_event = self._relay.receive_data(data)
        except relay.InvalidStream as found:
            problem, has_event = found, False
        if self.is_contested and self._relay.event_count > count:
            self._prefer(sent)
        elif self.is_contested and self.current is not None:
            self._relay.use(self.current.part, True)
        if problem is not None:
            self._relay.note_unfinished(sent.part)
            sent.abort()
            self._end_attempt(sent, problem.outcome, str(problem))
        elif has_event:
            self._accounts.note_event(sent, self._relay.last_event_id)

    def attempt_end(self, sent: attempt.Attempt) -> None:
        if self._relay.is_finished:
            return
        if sent is self.failed:
            sent.is_complete = True
            return
        problem = self._relay.find_end_problem(sent.part)
        if problem:
            self._relay.note_unfinished(sent.part)
            self._end_attempt(sent, calls.Outcome.CUT, problem)
            return
        if self._lacks_event_at_end(sent):
            detail = "ended before an event that another run had begun"
            self._end_attempt(sent, calls.Outcome.GARBAGE, detail)
            return
        self._prefer(sent)
        self._record.answer_end = sent.end
        is_failure = self._relay.status >= MIN_FAILURE_STATUS
        self._accounts.end(
            sent,
            calls.Outcome.FAILED if is_failure else calls.Outcome.COMPLETE,
        )
        self._owner.answered()

    def _lacks_event_at_end(self, ended: attempt.Attempt) -> bool:
        """Return whether an older attempt has shown a further event."""
        if not self._relay.is_event_stream(ended.part):
            return False
        for older in self._under_way:
            if older is ended:
                break
            self._relay.note_unfinished(older.part)
        return self._relay.lacks_event

    def attempt_failed(
        self, sent: attempt.Attempt, outcome: calls.Outcome, detail: str
    ) -> None:
        if sent is self.failed:
            # It will never be whole.
            self.failed = None
        if outcome in _BROKEN_OFF and sent in self._under_way:
            self._relay.note_unfinished(sent.part)
        self._end_attempt(sent, outcome, detail)

    # Ends of attempts

    def _end_attempt(
        self, ended: attempt.Attempt, outcome: calls.Outcome, detail: str
    ) -> None:
        """End an attempt, and go on with another one if there may be one."""
        if self._relay.is_finished or ended not in self._under_way:
            return
        ended.part.close()
        if outcome is not calls.Outcome.AMBIGUOUS:
            # A new connection to the same endpoint will do.
            self._chooser.excluded |= {ended.key}
        self._accounts.end(ended, outcome)
        if self.is_contested:
            self._accounts.log(ended, outcome, detail, "other", None)
            self._go_on_without(ended)
            return
        self.current = None
        refusal = self._chooser.find_refusal(
            ended, outcome, self._record.attempt_counts
        )
        follows = "stop" if refusal else "again"
        self._accounts.log(ended, outcome, detail, follows, refusal)
        if refusal is not None:
            self._give_up(refusal)
            return
        self.start()

    def _go_on_without(self, ended: attempt.Attempt) -> None:
        """Go on with the attempts beside one that has ended."""
        if ended is self.current:
            self._return_to_late()
        else:
            self.late.remove(ended)
            self._relay.is_contested = self.is_contested
            self._pause_single()

    def _give_up(self, refusal: runs.Refusal) -> None:
        """Pass on an endpoint's failure if there is one, else refuse.

        It does not go on an answer that another attempt has begun.
        """
        self._chooser.give_back()
        if self._relay.head_sent:
            self._drop_failed()
        failed, self.failed = self.failed, None
        if failed is None:
            self._owner.given_up(refusal)
            return
        self._use(failed)
        if failed.is_complete:
            self._owner.answered()

    # For the owner

    def end_now(self, refusal: runs.Refusal) -> None:
        """End the request with what there is; it may have run."""
        for sent in self._under_way:
            sent.abort()
            if sent.was_sent:
                self._accounts.end_late(sent)
            else:
                self._dependencies.scheduler.evaluator.note_abandoned(sent.run)
        if self.failed is not None and not self.failed.is_complete:
            self._drop_failed()
        self._give_up(refusal)

    def leave(self) -> None:
        """Stop all work, as the caller has left."""
        self._chooser.give_back()
        self._drop_failed()
        for sent in self._under_way:
            sent.abort()
            self._dependencies.scheduler.evaluator.note_abandoned(sent.run)

    def close(self) -> None:
        """Let go of all attempts, as the request has ended."""
        for one in [*self._under_way, self.failed]:
            if one is not None:
                one.part.close()
        self.current = self.failed = None
        self.late = []

    def pause(self) -> None:
        """Stop reading while the caller accepts no data."""
        self._is_paused = True
        self._pause_single()

    def _pause_single(self) -> None:
        """Pause the only attempt; of several one has to go on first."""
        if self.current is None or not self._is_paused:
            return
        if not self.is_contested:
            self.current.pause()

    def resume(self) -> None:
        """Continue to read."""
        self._is_paused = False
        if self.current is not None:
            self.current.resume()

    @property
    def _under_way(self) -> list[attempt.Attempt]:
        """Return the attempts that may still serve the caller."""
        if self.current is None:
            return list(self.late)
        return [*self.late, self.current]
