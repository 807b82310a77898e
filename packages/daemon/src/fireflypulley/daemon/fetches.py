"""Answers that are relayed from the node that has them to a caller's node."""

import collections.abc
import dataclasses
import secrets

from fireflypulley.callers import gateway
from fireflypulley.core import ledger_rows
from fireflypulley.core import problems
from fireflypulley.daemon import logs
from fireflypulley.daemon import tasks
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

RETRY_AFTER_S = 1.0
FIRST_FETCH_ID_BITS = 62
"""Leaves room to count on in a signed integer of 64 bits."""


class RemoteSink(gateway.Sink):
    """Sends an answer to the node that fetches it for its caller."""

    def __init__(self, streams: hub.Hub, node_id: str, fetch_id: int) -> None:
        self._streams = streams
        self._node_id = node_id
        self._fetch_id = fetch_id
        self._sent_bytes = 0
        self._open = True

    @property
    def open(self) -> bool:
        return self._open

    def events(self, data: bytes) -> None:
        message = messages.FetchData(self._fetch_id, data, self._sent_bytes)
        self._sent_bytes += len(data)
        self._streams.send(self._node_id, message)

    def _end(
        self,
        refusal: problems.Refusal | None = None,
        answer: ledger_rows.StoredAnswer | None = None,
    ) -> None:
        self._open = False
        end = messages.FetchEnd(
            self._fetch_id, True, refusal, answer, self._sent_bytes
        )
        self._streams.send(self._node_id, end)

    def finish(self, transcript: bytes) -> None:
        self._end()

    def answer(self, answer: ledger_rows.StoredAnswer) -> None:
        self._end(answer=answer)

    def refuse(self, refusal: problems.Refusal) -> None:
        self._end(refusal=refusal)


@dataclasses.dataclass(slots=True)
class _Fetch:
    key: str
    node_id: str
    sink: gateway.Sink
    not_found: collections.abc.Callable[[], None]
    transcript: bytearray
    received_bytes: int = 0

    def continues_at(self, offset_bytes: int | None) -> bool:
        """Return whether all before an offset has been received.

        What went over another stream may be lost, or arrive later.
        """
        return offset_bytes in (None, self.received_bytes)


def _refuse(fetch: _Fetch, detail: str) -> None:
    """Refuse a caller whose request may go on at the other node."""
    refusal = problems.Refusal(
        problems.Reason.OUTCOME_UNKNOWN,
        problems.Run.UNKNOWN,
        detail,
        RETRY_AFTER_S,
    )
    fetch.sink.refuse(refusal)


class Fetches:
    """The answers being fetched from other nodes."""

    def __init__(self, streams: hub.Hub) -> None:
        self._streams = streams
        self._fetches: dict[int, _Fetch] = {}
        # Nodes may still send answers that an earlier start has asked for.
        self._last_fetch_id = secrets.randbits(FIRST_FETCH_ID_BITS)

    def __len__(self) -> int:
        return len(self._fetches)

    def begin(
        self,
        key: str,
        fingerprint: str,
        node_id: str,
        last_event_id: int,
        sink: gateway.Sink,
        not_found: collections.abc.Callable[[], None],
        transcript: bytes = b"",
    ) -> None:
        """Fetch an answer from the node that has it.

        ``transcript`` holds the events that the caller already has;
        ``not_found`` is called if the node does not know the key.
        """
        self._last_fetch_id += 1
        self._fetches[self._last_fetch_id] = _Fetch(
            key, node_id, sink, not_found, bytearray(transcript)
        )
        request = messages.FetchAsk(
            self._last_fetch_id, key, last_event_id, fingerprint
        )
        self._streams.send(node_id, request)

    def _find(self, from_node: str, fetch_id: int) -> _Fetch | None:
        """Return a fetch of this start from a node."""
        fetch = self._fetches.get(fetch_id)
        if fetch is None or fetch.node_id == from_node:
            return fetch
        detail = f"{from_node!r} was not asked, but {fetch.node_id!r}"
        logs.note("fetch", fetch.key, "foreign", detail)
        return None

    def receive_data(
        self, from_node: str, message: messages.FetchData
    ) -> None:
        """Pass fetched events to the caller."""
        fetch = self._find(from_node, message.fetch_id)
        if fetch is None:
            return
        if not fetch.continues_at(message.offset_bytes):
            self._refuse_gap(message.fetch_id, message.offset_bytes)
            return
        fetch.received_bytes += len(message.data)
        fetch.transcript += message.data
        fetch.sink.events(message.data)

    def receive_end(self, from_node: str, message: messages.FetchEnd) -> None:
        """Complete a fetch with its final answer or refusal."""
        fetch = self._find(from_node, message.fetch_id)
        if fetch is None:
            return
        has_transcript = message.found and not (
            message.refusal or message.answer
        )
        if has_transcript and not fetch.continues_at(message.sent_bytes):
            self._refuse_gap(message.fetch_id, message.sent_bytes)
            return
        del self._fetches[message.fetch_id]
        if not message.found:
            fetch.not_found()
        elif message.refusal is not None:
            fetch.sink.refuse(message.refusal)
        elif message.answer is not None:
            fetch.sink.answer(message.answer)
        else:
            fetch.sink.finish(bytes(fetch.transcript))

    def _refuse_gap(self, fetch_id: int, sent_bytes: int | None) -> None:
        """Refuse a caller whose answer lacks a part."""
        fetch = self._fetches.pop(fetch_id)
        detail = (
            f"node {fetch.node_id!r} sent {sent_bytes} bytes of the answer, "
            f"{fetch.received_bytes} arrived"
        )
        logs.note("fetch", fetch.key, "broken", detail)
        _refuse(fetch, detail)

    def node_lost(self, node_id: str) -> None:
        """Refuse the callers of fetches from a node that is lost."""
        for fetch_id, fetch in list(self._fetches.items()):
            if fetch.node_id != node_id:
                continue
            del self._fetches[fetch_id]
            detail = f"node {node_id!r}, which had the answer, is gone"
            _refuse(fetch, detail)

    def caller_left(self, sink: gateway.Sink) -> None:
        """Drop the fetches of a caller that has disconnected."""
        for fetch_id, fetch in list(self._fetches.items()):
            if fetch.sink is sink:
                del self._fetches[fetch_id]

    def serve(
        self,
        from_node: str,
        message: messages.FetchAsk,
        task: tasks.RequestTask | None,
    ) -> None:
        """Send the answer of a task of this node to another node."""
        if task is None:
            end = messages.FetchEnd(message.fetch_id, False)
            self._streams.send(from_node, end)
            return
        sink = RemoteSink(self._streams, from_node, message.fetch_id)
        if message.fingerprint not in ("", task.request.fingerprint):
            sink.refuse(tasks.key_reused())
            return
        task.attach(sink, message.last_event_id)
