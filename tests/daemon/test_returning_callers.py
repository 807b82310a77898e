"""Callers that come back for the rest of a stream's events."""

import dataclasses
import re

import pytest
from twisted.internet import testing

from fireflypulley.callers import events as sse
from fireflypulley.callers import gateway
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.core import topology
from fireflypulley.daemon import app
from fireflypulley.daemon import settings
from fireflypulley.daemon import tasks
from fireflypulley.nodes import messages

SETTINGS = """[node]
node_id = n1
failure_domain = a
callers = tcp:1
operators = tcp:2
streams = tcp:3
advertise = 127.0.0.1:3
key_file = {folder}/keys
operator_token_file = {folder}/operator

[platform]
url = http://127.0.0.1:9
token_file = {folder}/platform
"""
TOKEN = "t"
WORKSPACE = configuration.Workspace(
    "template",
    (),
    (TOKEN,),
    1.0,
    (
        configuration.Service("chat", topology.ServiceKind.MODEL, "v1"),
        configuration.Service("filing", topology.ServiceKind.PLAIN, "v1"),
    ),
    (
        configuration.Route("chat", "chat", "/v1/chat/completions"),
        configuration.Route(
            "once", "chat", "/v1/completions", at_most_once=True
        ),
        configuration.Route("filing", "filing", "/filings"),
    ),
)
CALL = gateway.Call(
    payload.Payload("POST", "/v1/chat/completions", "", b'{"model": "chat"}'),
    TOKEN,
    "k1",
    None,
    "chat",
)
ONCE = dataclasses.replace(
    CALL, payload=dataclasses.replace(CALL.payload, path="/v1/completions")
)


class Sink(gateway.Sink):
    """A caller; keeps what it gets."""

    open = True

    def __init__(self):
        self.received = b""
        self.refusal = None
        self.has_end = False

    def events(self, data):
        self.received += data

    def finish(self, transcript):
        self.has_end = True

    def answer(self, answer):
        raise AssertionError("not used here")

    def refuse(self, refusal):
        self.refusal = refusal

    @property
    def ids(self):
        """Return the ids of the events received."""
        return [int(n) for n in re.findall(rb"id: (\d+)\n", self.received)]


class Node:
    """A node whose runs send what the test says."""

    def __init__(self, folder):
        for name in ("keys", "operator", "platform"):
            (folder / name).write_text("secret\n")
        text = SETTINGS.format(folder=folder)
        reactor = testing.MemoryReactorClock()
        self.app = app.App(reactor, settings.parse(text, "n1.ini"))
        self.app._core.state.config.merge(
            configuration.Entry(
                configuration.EntryKind.WORKSPACE, "w", 1, "", WORKSPACE
            )
        )
        self.fed = []
        self.app._loop.feed = self.fed.append

    def submit(self, call=CALL, last_event_id=None):
        sink = Sink()
        call = dataclasses.replace(call, last_event_id=last_event_id)
        self.app.submit(call, sink)
        return sink

    def id_of(self, number):
        """Return the id of an event of the only run, by its place."""
        (task,) = self.app._registry._tasks_by_key.values()
        first_id = sse.first_id(bytes(task.transcript))
        return first_id + number

    def ids_of(self, *numbers):
        return [self.id_of(number) for number in numbers]

    @property
    def begun(self):
        """Return the requests that have been begun."""
        return [
            event.request
            for event in self.fed
            if isinstance(event, events.RequestArrived)
        ]

    def send(self, count):
        """Let each run send some events."""
        for task in self.app._registry:
            task.add_frames([b"data: {}"] * count)

    def finish(self):
        """Let each run end."""
        for task in self.app._registry:
            task.finish()


@pytest.fixture
def node(tmp_path):
    return Node(tmp_path)


def is_refused_as_unknown(sink):
    """Return whether a caller was refused, truthfully, before any event."""
    assert sink.refusal is not None
    reason, run = sink.refusal.reason, sink.refusal.run
    expected = (problems.Reason.OUTCOME_UNKNOWN, problems.Run.UNKNOWN)
    return (reason, run) == expected and not sink.received


# Guards against numbers that go back: a caller that had events of a run which
# nobody holds any more got a new run from its first event.
@pytest.mark.parametrize(
    ("call", "key"), [(CALL, "k1"), (CALL, ""), (ONCE, "k1")]
)
def test_a_caller_whose_run_is_gone_gets_no_other_run(node, call, key):
    call = dataclasses.replace(call, idempotency_key=key)
    sink = node.submit(call, last_event_id=9)
    node.send(3)
    assert sink.ids == []
    assert is_refused_as_unknown(sink)
    assert not node.begun
    counted = node.app._core.state.counters.refused
    assert counted[problems.Reason.OUTCOME_UNKNOWN] == 1


def test_a_caller_begins_anew_without_a_last_event(node):
    node.submit(last_event_id=9)
    sink = node.submit()
    node.send(3)
    assert sink.ids == node.ids_of(0, 1, 2)
    assert len(node.begun) == 1


def test_a_caller_of_a_running_stream_gets_just_the_rest(node):
    node.submit()
    node.send(5)
    sink = node.submit(last_event_id=node.id_of(2))
    node.send(2)
    assert sink.ids == node.ids_of(3, 4, 5, 6)
    assert len(node.begun) == 1


# Guards against numbers that go back, or a gap: a caller that had more events
# than the run here got its later events, whatever their numbers.
@pytest.mark.parametrize("number", [5, 9])
def test_a_caller_with_more_events_than_the_run_gets_none(node, number):
    first = node.submit()
    node.send(5)
    sink = node.submit(last_event_id=node.id_of(number))
    node.send(3)
    node.finish()
    assert sink.ids == []
    assert not sink.has_end
    assert is_refused_as_unknown(sink)
    assert first.ids == node.ids_of(*range(8))
    counted = node.app._core.state.counters.refused
    assert counted[problems.Reason.OUTCOME_UNKNOWN] == 1


# Guards against the end of a run for a caller that has more events than it.
def test_a_caller_with_more_events_than_an_ended_run_gets_no_end(node):
    node.submit()
    node.send(5)
    node.finish()
    sink = node.submit(last_event_id=node.id_of(5))
    assert not sink.has_end
    assert is_refused_as_unknown(sink)


# Guards against the same where the run is at another node: its events reach
# the caller through that node's stream.
def test_a_node_that_fetches_more_than_the_run_has_is_refused(node):
    node.submit()
    node.send(5)
    sent = []
    node.app._hub.send = lambda node_id, message: sent.append(message)
    asked = messages.FetchAsk(1, "w/k1", node.id_of(9))
    node.app._peer_dispatcher.message_received("n2", asked)
    node.send(3)
    (end,) = sent
    assert end.refusal.reason is problems.Reason.OUTCOME_UNKNOWN
    assert end.refusal.run is problems.Run.UNKNOWN


def test_a_caller_that_has_all_events_gets_the_end(node):
    node.submit()
    node.send(5)
    sink = node.submit(last_event_id=node.id_of(4))
    node.finish()
    later = node.submit(last_event_id=node.id_of(4))
    for caller in (sink, later):
        assert (caller.ids, caller.has_end) == ([], True)
    assert len(node.begun) == 1


def _begin_anew(node):
    """Let the node lose its run, and begin another one of the key."""
    (task,) = node.app._registry
    node.app._registry.drop(task)
    sink = node.submit()
    node.send(5)
    return sink


# Guards against the events of two runs: two of one key exist, and a caller
# with events of one came back where the other one is.
@pytest.mark.parametrize("number", [0, 2, 4])
def test_a_caller_gets_no_event_of_another_run(node, number):
    first = node.submit()
    node.send(5)
    second = _begin_anew(node)
    sink = node.submit(last_event_id=first.ids[number])
    node.send(3)
    node.finish()
    assert not set(first.ids) & set(second.ids)
    assert not sink.has_end
    assert is_refused_as_unknown(sink)


# Guards against the same over a fetch.
def test_a_node_fetches_no_event_of_another_run(node):
    first = node.submit()
    node.send(5)
    _begin_anew(node)
    sent = []
    node.app._hub.send = lambda node_id, message: sent.append(message)
    asked = messages.FetchAsk(1, "w/k1", first.ids[2])
    node.app._peer_dispatcher.message_received("n2", asked)
    node.send(3)
    (end,) = sent
    assert end.refusal.reason is problems.Reason.OUTCOME_UNKNOWN


# Such an id does not tell its run.
@pytest.mark.parametrize("last_event_id", [0, 2, 4])
def test_an_id_of_an_older_node_is_refused(node, last_event_id):
    node.submit()
    node.send(5)
    assert is_refused_as_unknown(node.submit(last_event_id=last_event_id))


# A caller may send back each id, and older nodes take 12 digits.
@pytest.mark.parametrize("draw", [min, max])
def test_the_ids_of_a_run_are_taken_back(node, monkeypatch, draw):
    monkeypatch.setattr(tasks.random, "randint", lambda *ends: draw(ends))
    node.submit()
    node.send(2)
    ids = node.ids_of(0, 1)
    assert ids[0] >= tasks.EVENTS_PER_RUN
    assert all(len(str(one)) <= 12 for one in ids)
    assert node.submit(last_event_id=ids[0]).ids == ids[1:]


def test_a_plain_service_has_no_events_to_go_on_from(node):
    call = dataclasses.replace(
        CALL,
        model="",
        service="filing",
        payload=payload.Payload("POST", "/filings", "", b"{}"),
    )
    sink = node.submit(call, last_event_id=9)
    assert sink.refusal is None
    assert len(node.begun) == 1
