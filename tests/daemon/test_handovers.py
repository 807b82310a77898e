"""Streams that a leaving node hands over, and their events."""

import pytest

from fireflypulley.callers import events as sse
from fireflypulley.core import actions
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.daemon import tasks
from fireflypulley.nodes import messages

from tests.daemon import test_returning_callers as returning

KEY = "w/k1"
FIRST_ID = 7 * tasks.EVENTS_PER_RUN


class Receiver(returning.Node):
    """The node n1, to which n2 hands a stream over."""

    def __init__(self, folder):
        super().__init__(folder)
        self.sent = []
        self.app._hub.send = lambda node_id, message: self.sent.append(message)

    def request(self, request_id):
        return requests.Request(
            request_id,
            "w",
            "chat",
            "chat",
            topology.ServiceKind.MODEL,
            self.app._loop.now_s() + 60.0,
            "fingerprint",
            idempotency_key="k1",
        )

    def hold(self, request_id, texts):
        """Hold a run of the key that has sent some events."""
        task = tasks.RequestTask(
            self.app._dependencies,
            self.request(request_id),
            returning.CALL.payload,
            KEY,
        )
        self.app._registry.add(task)
        task.add_frames(frames(texts))
        return task

    def offer(self, request_id, texts, first_id=FIRST_ID):
        """Receive a handover; return whether it was confirmed."""
        self.sent.clear()
        message = messages.Handover(
            self.request(request_id),
            returning.CALL.payload,
            KEY,
            len(texts),
            sse.add_ids(frames(texts), first_id),
        )
        self.app._peer_dispatcher.message_received("n2", message)
        return messages.HandoverTaken(request_id) in self.sent


def frames(texts):
    return [b"data: " + text.encode() for text in texts]


@pytest.fixture
def receiver(tmp_path):
    return Receiver(tmp_path)


def test_a_stream_goes_on_after_the_events_handed_over(receiver):
    assert receiver.offer("r1", "abc")
    task = receiver.app._registry.by_key(KEY)
    assert (task.tokens, len(receiver.begun)) == (3, 1)


def test_the_ids_go_on_after_the_events_handed_over(receiver):
    receiver.offer("r1", "abc")
    receiver.send(2)
    (task,) = receiver.app._registry
    first_id = sse.first_id(bytes(task.transcript))
    assert first_id == FIRST_ID
    assert task.last_event_id == FIRST_ID + 4
    assert b"\nid: %d\n" % (FIRST_ID + 4) in task.transcript


# A node of an older version counts from 0.
def test_the_ids_of_an_older_node_go_on_too(receiver):
    receiver.offer("r1", "abc", 0)
    receiver.send(1)
    (task,) = receiver.app._registry
    assert task.last_event_id == 3
    assert task.has_sent(2)


def test_a_stream_that_was_taken_over_is_confirmed_again(receiver):
    assert receiver.offer("r1", "abc")
    receiver.send(2)
    assert receiver.offer("r1", "abc")
    assert len(receiver.begun) == 1


# Guards against a caller of a leaving node that gets the first events of one
# run and the rest of another, begun elsewhere under the same key.
@pytest.mark.parametrize(
    ("request_id", "held"),
    [("r1", "ab"), ("r1", "xyzuv"), ("r2", "ab"), ("r2", "abcde")],
)
def test_a_stream_is_not_confirmed_by_another_run(receiver, request_id, held):
    task = receiver.hold(request_id, held)
    assert not receiver.offer("r1", "abc")
    assert receiver.app._registry.by_key(KEY) is task
    assert not receiver.begun


def _offered(receiver, texts, features):
    """Return what a leaving node sends to a node with some features."""
    receiver.hold("r1", texts)
    receiver.app._hub.peers_with = lambda feature: (
        ["n2"] if feature in features else []
    )
    receiver.app._handovers._offer(actions.HandOver("r1", "n2"))
    return [type(message) for message in receiver.sent[-1:]]


# Guards against events that are lost without a word: a node of an older
# version goes on with ids from 0, and does not find what the caller lacks.
def test_a_stream_with_events_is_not_handed_to_an_older_node(receiver):
    assert _offered(receiver, "abc", ()) == []
    assert len(receiver.app._handovers) == 0


def test_a_stream_with_events_is_handed_to_a_node_that_reads_its_ids(receiver):
    features = receiver.app._hub.features
    assert _offered(receiver, "abc", features) == [messages.Handover]


def test_a_stream_without_events_is_handed_to_an_older_node(receiver):
    assert _offered(receiver, "", ()) == [messages.Handover]
