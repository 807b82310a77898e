"""The callers of a node: their connections and their open requests."""

import collections.abc

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import dependencies
from fireflypulley.gateway import exchange
from fireflypulley.gateway import inbound
from fireflypulley.gateway import stop_order


class Callers(inbound.RequestReceiver):
    """Begins an exchange for each request, and knows who is connected.

    ``on_request`` is called after each request that begins.
    """

    def __init__(
        self,
        shared: dependencies.Dependencies,
        stop: stop_order.StopOrder,
        on_request: collections.abc.Callable[[], None],
    ) -> None:
        self._shared = shared
        self._scheduler = shared.scheduler
        self._stop = stop
        self._on_request = on_request
        self._open_requests: set[exchange.Exchange] = set()
        self.connections: set[inbound.Caller] = set()

    @property
    def open_count(self) -> int:
        """Return the number of requests that are not answered yet."""
        return len(self._open_requests)

    # inbound.RequestReceiver

    @property
    def limits(self) -> document.CallerLimits:
        config = self._scheduler.document
        return config.limits if config else document.CallerLimits()

    @property
    def is_stopping(self) -> bool:
        return self._stop.has_begun

    def receive(
        self, request: inbound.IncomingRequest, sink: inbound.CallerSink
    ) -> inbound.RequestHandler:
        if not self._stop.accepts_requests:
            # The end of the node could interrupt it.
            self.refuse(sink, calls.RefusalReason.STOPPING)
            return inbound.AnsweredRequest()
        handler = exchange.Exchange(self._shared, request, sink)
        self._open_requests.add(handler)
        handler.start()
        self._on_request()
        return handler

    def refuse(
        self, sink: inbound.CallerSink, reason: calls.RefusalReason
    ) -> None:
        self._scheduler.refused[reason] += 1
        status = calls.STATUS_BY_REFUSAL[reason]
        headers = self._shared.header_codec.refusal_headers(
            "", calls.RETRY_AFTER_UNREAD_S.get(reason)
        )
        sink.head(status, [*headers, (b"content-length", b"0")])
        sink.end()
        decision_log.note("request", id="", result=reason.value, status=status)

    def connection_opened(self, caller: inbound.Caller) -> None:
        self.connections.add(caller)

    def connection_closed(self, caller: inbound.Caller) -> None:
        self.connections.discard(caller)
        reason = caller.end_reason
        if reason is None:
            return
        self._shared.metrics.count_caller_end(reason)
        if reason in caller_ends.FAILED_CALLERS:
            decision_log.note(
                "caller",
                end=reason.value,
                unread_bytes=caller.unread_bytes,
            )

    def request_done(self, handler: inbound.RequestHandler) -> None:
        """Forget a request that has ended."""
        self._open_requests.discard(handler)

    # Stop

    def close_idle(self) -> None:
        """Close the connections of callers who wait for nothing."""
        for caller in list(self.connections):
            background.guard(caller.close_idle, loop="stop")()

    def abort_requests(self) -> None:
        """Break off the requests that are still open."""
        for handler in list(self._open_requests):
            background.guard(handler.abort, loop="stop")()

    def hand_over(self) -> None:
        """Leave what waits for callers to the kernel."""
        for caller in list(self.connections):
            background.guard(caller.hand_over, loop="stop")()
