"""When a node that shuts down may stop, and periodic work that fails."""

import pytest
from twisted.internet import testing

from fireflypulley.callers import gateway
from fireflypulley.core import events
from fireflypulley.core import payload
from fireflypulley.core import problems
from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflypulley.daemon import app
from fireflypulley.daemon import handovers
from fireflypulley.daemon import settings
from fireflypulley.daemon import tasks
from fireflypulley.nodes import messages

GRACE_S = 6.0
BALANCER_DELAY_S = 1.0
KEY = "w/s1"
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

[limits]
shutdown_grace_s = {grace_s}
balancer_delay_s = {balancer_delay_s}
"""


class Reactor(testing.MemoryReactorClock):
    """A reactor that records whether it was stopped."""

    def callWhenRunning(self, call, *args, **kwargs):
        call(*args, **kwargs)


class Streams:
    """Keeps what the node sends; nothing arrives by itself."""

    def __init__(self):
        self.sent = []

    def send(self, node_id, message):
        self.sent.append((node_id, message))

    def peers_with(self, feature):
        """Return the nodes of this version."""
        return ["n2"]

    def of_kind(self, kind):
        return [(to, one) for to, one in self.sent if isinstance(one, kind)]


class Sink(gateway.Sink):
    """A caller that stays."""

    refusal = None

    @property
    def open(self):
        return True

    def events(self, data):
        pass

    def finish(self, transcript):
        pass

    def answer(self, answer):
        pass

    def refuse(self, refusal):
        self.refusal = refusal


class Node:
    """A node with one open stream, which the node n2 could take over."""

    def __init__(self, folder):
        for name in ("keys", "operator", "platform"):
            (folder / name).write_text("secret\n")
        text = SETTINGS.format(
            folder=folder, grace_s=GRACE_S, balancer_delay_s=BALANCER_DELAY_S
        )
        self.reactor = Reactor()
        self.app = app.App(self.reactor, settings.parse(text, "n1.ini"))
        self.streams = Streams()
        self.app._hub.send = self.streams.send
        self.app._hub.peers_with = self.streams.peers_with
        self.app._core.state.members.set_listed_nodes(
            (topology.Node("n2", "127.0.0.1:4", "b", "local"),)
        )
        self.app._tick_loop.clock = self.reactor
        self.app._tick_loop.start(app.TICK_S)
        self.begin_stream()

    def begin_stream(self):
        now_s = self.app._loop.now_s()
        request = requests.Request(
            "r1",
            "w",
            "chat",
            "engine",
            topology.ServiceKind.MODEL,
            now_s + 60.0,
            "fingerprint",
            idempotency_key="s1",
        )
        body = payload.Payload("POST", "/v1/chat/completions", "", b"{}")
        task = tasks.RequestTask(self.app._dependencies, request, body, KEY)
        task.preload(b"id: 0\ndata: {}\n\n", 1)
        self.app._registry.add(task)
        self.sink = Sink()
        task.attach(self.sink, 0)
        self.app._loop.feed(events.RequestArrived(request, 1, accepted=True))

    def advance(self, seconds):
        self.reactor.pump([0.01] * round(seconds / 0.01))

    @property
    def has_stopped(self):
        return not self.app._tick_loop.running


@pytest.fixture
def node(tmp_path):
    return Node(tmp_path)


# Guards against the loss of a stream under load: a node whose handover was
# not confirmed yet had nothing open, and stopped before it was.
def test_a_node_stays_until_its_handovers_are_confirmed(node):
    node.app.shut_down()
    node.advance(GRACE_S - 5.0 + 0.1)
    ((to_node, _),) = node.streams.of_kind(messages.Handover)
    assert to_node == "n2"
    node.advance(handovers.HANDOVER_TIMEOUT_S - 0.2)
    assert not node.has_stopped


def test_a_node_stays_for_the_caller_of_a_stream_handed_over(node):
    node.app.shut_down()
    node.advance(GRACE_S - 5.0 + 0.1)
    taken = messages.HandoverTaken("r1")
    node.app._peer_dispatcher.message_received("n2", taken)
    ((to_node, asked),) = node.streams.of_kind(messages.FetchAsk)
    assert (to_node, asked.key) == ("n2", KEY)
    node.advance(1.0)
    assert not node.has_stopped
    end = messages.FetchEnd(asked.fetch_id, True)
    node.app._peer_dispatcher.message_received("n2", end)
    node.advance(2 * app.STOP_CHECK_S + app.TICK_S)
    assert node.has_stopped


# Guards against a caller that waits for ever, and a node that stays: the node
# that took a stream over has dropped it before its rest was asked for.
def test_the_caller_of_a_stream_that_was_dropped_is_refused(node):
    node.app.shut_down()
    node.advance(GRACE_S - 5.0 + 0.1)
    taken = messages.HandoverTaken("r1")
    node.app._peer_dispatcher.message_received("n2", taken)
    ((_, asked),) = node.streams.of_kind(messages.FetchAsk)
    end = messages.FetchEnd(asked.fetch_id, False)
    node.app._peer_dispatcher.message_received("n2", end)
    assert node.sink.refusal.reason is problems.Reason.OUTCOME_UNKNOWN
    assert node.sink.refusal.run is problems.Run.UNKNOWN


# Guards against a daemon whose periodic work has ended by an error.
def test_the_periodic_work_goes_on_after_an_error(node):
    failures = [KeyError("odd"), KeyError("odd")]
    handle = node.app._core.handle
    handled = []

    def fail_at_first(event, now_s):
        if failures:
            raise failures.pop()
        handled.append(event)
        return handle(event, now_s)

    node.app._core.handle = fail_at_first
    node.advance(1.0)
    assert not node.has_stopped
    assert len(handled) >= 7
