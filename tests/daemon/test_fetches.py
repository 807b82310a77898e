"""Answers that one node fetches from another, over streams that change."""

import types

import pytest

from fireflypulley.callers import gateway
from fireflypulley.core import problems
from fireflypulley.daemon import fetches
from fireflypulley.nodes import messages

EVENTS = (b"id: 0\ndata: a\n\n", b"id: 1\ndata: b\n\n", b"id: 2\ndata: c\n\n")


class Sink(gateway.Sink):
    """A caller; keeps what it gets."""

    open = True

    def __init__(self):
        self.received = b""
        self.transcript = None
        self.refusal = None

    def events(self, data):
        self.received += data

    def finish(self, transcript):
        self.transcript = transcript

    def answer(self, answer):
        raise AssertionError("not used here")

    def refuse(self, refusal):
        self.refusal = refusal


class Task:
    """A task that sends its events to whoever attaches."""

    def __init__(self, fingerprint="f1"):
        self.request = types.SimpleNamespace(fingerprint=fingerprint)

    def attach(self, sink, last_event_id):
        for event in EVENTS[last_event_id + 1 :]:
            sink.events(event)
        sink.finish(b"".join(EVENTS))


class Streams:
    """Keeps what a node sends."""

    def __init__(self):
        self.sent = []

    def send(self, node_id, message):
        self.sent.append((node_id, message))

    def take(self):
        """Return the messages that have been sent since the last call."""
        sent, self.sent = self.sent, []
        return [message for _, message in sent]


class Pair:
    """The node n1, which fetches an answer from the node n2."""

    def __init__(self, last_event_id=-1, transcript=b""):
        self.streams = Streams()
        self.here = fetches.Fetches(self.streams)
        self.there = fetches.Fetches(self.streams)
        self.sink = Sink()
        self.here.begin(
            "k",
            "f1",
            "n2",
            last_event_id,
            self.sink,
            self._not_found,
            transcript,
        )

    def _not_found(self):
        raise AssertionError("not used here")

    def serve(self, fingerprint="f1"):
        """Return what the other node sends of a task."""
        (asked,) = self.streams.take()
        self.there.serve("n1", asked, Task(fingerprint))
        return self.streams.take()

    def receive(self, received, from_node="n2"):
        """Receive messages, in the given order."""
        for message in received:
            if isinstance(message, messages.FetchData):
                self.here.receive_data(from_node, message)
            else:
                self.here.receive_end(from_node, message)


def test_a_fetched_answer_is_whole():
    pair = Pair()
    pair.receive(pair.serve())
    assert pair.sink.transcript == pair.sink.received == b"".join(EVENTS)


def test_a_fetch_goes_on_after_what_the_caller_has():
    pair = Pair(0, EVENTS[0])
    pair.receive(pair.serve())
    assert pair.sink.received == b"".join(EVENTS[1:])
    assert pair.sink.transcript == b"".join(EVENTS)


# Guards against an answer with a hole that passes for the whole: the stream
# between the nodes was replaced, and the messages on the old one were lost,
# or came after those on the new one.
@pytest.mark.parametrize(
    "order",
    [(1, 2, 3), (0, 2, 3), (0, 1, 3), (3,), (0, 1, 3, 2), (0, 2, 1, 3)],
)
def test_an_answer_of_which_a_part_is_missing_is_refused(order):
    pair = Pair()
    sent = pair.serve()
    pair.receive([sent[index] for index in order])
    assert pair.sink.transcript is None
    assert pair.sink.refusal is not None
    assert b"".join(EVENTS).startswith(pair.sink.received)
    assert not len(pair.here)


# Guards against the answer to another request: the key was used again, and its
# first request is at another node.
def test_another_request_with_the_key_gets_no_answer_from_another_node():
    pair = Pair()
    pair.receive(pair.serve("f2"))
    assert (pair.sink.received, pair.sink.transcript) == (b"", None)
    assert pair.sink.refusal.reason is problems.Reason.KEY_REUSED
    assert pair.sink.refusal.run is problems.Run.NOT_RUN


# A node of an older version does not say what its caller has asked for.
def test_an_older_node_gets_the_answer_of_the_key():
    streams = Streams()
    asked = messages.FetchAsk(1, "k", -1)
    fetches.Fetches(streams).serve("n1", asked, Task("f2"))
    *sent, end = streams.take()
    assert b"".join(one.data for one in sent) == b"".join(EVENTS)
    assert end.refusal is None


# Guards against "it has failed" of a request that goes on at a node which
# can't be reached any more, or whose answer got here with a hole.
@pytest.mark.parametrize("received", [(), (0,), (1,)])
def test_a_fetch_that_breaks_leaves_the_outcome_unknown(received):
    pair = Pair()
    sent = pair.serve()
    pair.receive([sent[index] for index in received])
    pair.here.node_lost("n2")
    refusal = pair.sink.refusal
    expected = (problems.Reason.OUTCOME_UNKNOWN, problems.Run.UNKNOWN)
    assert (refusal.reason, refusal.run) == expected
    assert refusal.retry_after_s == fetches.RETRY_AFTER_S


# A node of an older version does not say how much it has sent.
def test_an_older_node_is_taken_at_its_word():
    pair = Pair()
    sent = [
        messages.FetchData(one.fetch_id, one.data)
        if isinstance(one, messages.FetchData)
        else messages.FetchEnd(one.fetch_id, True)
        for one in pair.serve()
    ]
    pair.receive(sent)
    assert pair.sink.transcript == b"".join(EVENTS)


# Guards against the answer to another request: a node that has restarted got
# what had been asked for by its earlier start under the same number.
def test_the_answer_to_an_earlier_start_is_dropped():
    sent = Pair().serve()
    restarted = Pair()
    restarted.receive(sent)
    assert restarted.sink.received == b""
    assert restarted.sink.transcript is None
    restarted.receive(restarted.serve())
    assert restarted.sink.transcript == b"".join(EVENTS)


# Guards against the answer of another node that uses the same number.
def test_the_answer_of_a_node_that_was_not_asked_is_dropped():
    pair = Pair()
    sent = pair.serve()
    pair.receive(sent, "n3")
    assert (pair.sink.received, pair.sink.transcript) == (b"", None)
    pair.receive(sent)
    assert pair.sink.transcript == b"".join(EVENTS)


# Guards against a caller that sends a call again elsewhere as failed, while
# the run with its key goes on: only its answer was given up.
def test_an_answer_given_up_for_memory_is_not_told_as_failed():
    streams = Streams()
    sink = fetches.RemoteSink(streams, "n1", 1)
    sink.give_up()
    (end,) = streams.take()
    assert end.refusal.run is problems.Run.UNKNOWN
    assert not sink.open
