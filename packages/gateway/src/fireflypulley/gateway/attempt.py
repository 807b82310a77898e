"""One attempt of a request at an endpoint."""

import abc

from twisted.internet import defer

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs
from fireflypulley.gateway import answer_part
from fireflypulley.gateway import connector
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import header_codec
from fireflypulley.gateway import inbound
from fireflypulley.gateway import outbound
from fireflypulley.gateway import response_watchdog


class AttemptOwner(abc.ABC):
    """Is told what happens to its attempts."""

    @property
    @abc.abstractmethod
    def last_event_id(self) -> int | None:
        """Return the last event that the caller has, None if none."""

    @abc.abstractmethod
    def attempt_sent(self, attempt: "Attempt") -> None:
        """Called when the request is written to an endpoint."""

    @abc.abstractmethod
    def attempt_head(
        self, attempt: "Attempt", status: int, headers: header_codec.Headers
    ) -> None:
        """Called with the head of an attempt's answer."""

    @abc.abstractmethod
    def attempt_data(self, attempt: "Attempt", data: bytes) -> None:
        """Called with a part of the body."""

    @abc.abstractmethod
    def attempt_end(self, attempt: "Attempt") -> None:
        """Called when the answer is complete according to its framing."""

    @abc.abstractmethod
    def attempt_failed(
        self, attempt: "Attempt", outcome: calls.Outcome, detail: str
    ) -> None:
        """Called when the answer can't become complete."""

    @abc.abstractmethod
    def attempt_late(self, attempt: "Attempt", outcome: calls.Outcome) -> None:
        """Called when nothing has arrived in time; it still may."""


class Attempt(outbound.ResponseListener):
    """A run, its connection, and what has arrived of its answer.

    ``is_counted`` is whether the request's counts include it, and
    ``is_complete`` whether all of an answer that is held has arrived.
    """

    def __init__(
        self,
        shared: dependencies.Dependencies,
        owner: AttemptOwner,
        incoming: inbound.IncomingRequest,
        run: runs.Run,
        part: answer_part.Part,
    ) -> None:
        self._shared = shared
        self._owner = owner
        self._incoming = incoming
        self.run = run
        self.part = part
        self.connection: outbound.EndpointConnection | None = None
        self.peer = ""
        """The node that the attempt was sent through, "" if direct."""
        self.was_sent = False
        self.is_counted = False
        self.is_complete = False
        self._is_over = False
        self.end: answer_ends.AnswerEnd | None = None
        """How the end of a complete answer was told, if known."""
        self.obstacle = ""
        """Why no other attempt followed when this one was late."""
        self._watchdog: response_watchdog.ResponseWatchdog | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Return the key of the endpoint's start."""
        return self.run.member.registration.key

    @property
    def _reads_little(self) -> bool:
        """Return whether a whole read may be more than can be held."""
        size_bytes = outbound.READ_BYTES
        return self._shared.memory.share_bytes(size_bytes) < size_bytes

    def begin(self) -> None:
        """Connect, and send the request."""
        defer.ensureDeferred(self._connect()).addErrback(self.fail)

    def fail(self, reason: object) -> None:
        """End the attempt after an unexpected error."""
        decision_log.note(
            "error",
            id=self.run.request.metadata.request_id,
            problem=str(reason),
        )
        outcome = calls.Outcome.UNREACHED
        if self.was_sent:
            outcome = calls.Outcome.CUT
        self.abort()
        self._owner.attempt_failed(self, outcome, "internal error")

    async def _connect(self) -> None:
        source = self._shared.connector
        connection = await source.connect(self.run)
        if self._is_over or self.run.is_over:
            if not isinstance(connection, connector.Obstacle):
                source.release(self.run, connection)
            return
        if isinstance(connection, connector.Obstacle):
            self.response_failed(connection.outcome, connection.detail)
            return
        self._send(connection)

    def _send(self, connection: outbound.EndpointConnection) -> None:
        run, incoming = self.run, self._incoming
        request, now_s = run.request, self._shared.reactor.seconds()
        metadata = header_codec.AttemptMetadata(
            run.member.endpoint_id,
            max(0.0, request.deadline_s - now_s),
            request.workspace.name if request.workspace else None,
            request.priority,
            self._owner.last_event_id,
        )
        headers = self._shared.header_codec.endpoint_headers(
            incoming.headers, metadata
        )
        self.connection = connection
        self.peer = connection.peer
        self.was_sent = True
        # Of a crowd all may be sent before the first answer comes.
        connection.read_little(True)
        self._shared.scheduler.evaluator.note_sent(run, now_s)
        if request.route.repeatable:
            self._watch()
        connection.send(
            incoming.method,
            incoming.target,
            headers,
            incoming.body,
            self,
            request.metadata.request_id,
        )
        self._owner.attempt_sent(self)

    def _watch(self) -> None:
        self._watchdog = response_watchdog.ResponseWatchdog(
            self._shared.reactor,
            self.run,
            lambda: bool(self.part.status),
            lambda outcome: self._owner.attempt_late(self, outcome),
        )

    def watch_again(self) -> None:
        """Watch on after the attempt was late."""
        if self._watchdog is not None:
            self._watchdog.check_again()

    def stop_watching(self) -> None:
        """Stop the watchdog."""
        if self._watchdog is not None:
            self._watchdog.stop()
            self._watchdog = None

    def abort(self) -> None:
        """Close the connection, so that the endpoint cancels the run."""
        self._is_over = True
        self.part.close()
        self.stop_watching()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.abort()

    def discard(self) -> None:
        """Read and drop the rest of an answer that is not forwarded."""
        self._is_over = True
        self.part.close()
        self.stop_watching()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.discard_response()

    def pause(self) -> None:
        """Stop reading the answer."""
        if self.connection is not None:
            self.connection.pause()
            self.run.hold()

    def resume(self) -> None:
        """Continue to read the answer."""
        self.run.release(self._shared.reactor.seconds())
        if self.connection is not None:
            self.connection.resume()

    # outbound.ResponseListener

    def response_head(
        self, status: int, headers: header_codec.Headers
    ) -> None:
        self._owner.attempt_head(self, status, headers)

    def response_data(self, data: bytes) -> None:
        if self.connection is not None:
            self.connection.read_little(self._reads_little)
        self._owner.attempt_data(self, data)

    def response_end(self, end: answer_ends.AnswerEnd | None = None) -> None:
        self.connection = None
        self.end = end
        self.stop_watching()
        self._owner.attempt_end(self)

    def response_failed(self, outcome: calls.Outcome, detail: str) -> None:
        self.connection = None
        self.stop_watching()
        self._owner.attempt_failed(self, outcome, detail)
        # The owner judges by what had arrived.
        self.part.close()
