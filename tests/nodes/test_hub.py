"""Which of several streams between two nodes carries what is sent."""

import types

import pytest
from twisted.internet import task
from twisted.internet import testing

from fireflypulley.core import topology
from fireflypulley.nodes import hub
from fireflypulley.nodes import keys
from fireflypulley.nodes import messages


class _Stream:
    """A stream to the node ``n2`` that has completed its handshake."""

    node_id = "n2"
    dialed = False
    features = ("some",)

    def __init__(self, incarnation=1, purpose=messages.Purpose.PEER):
        self.incarnation = incarnation
        self.purpose = purpose
        self.sent = []

    def send_bytes(self, data):
        self.sent.append(data)


@pytest.fixture
def listener():
    """Return a listener that keeps what it is told."""
    told = []
    return types.SimpleNamespace(
        told=told,
        peer_up=lambda node_id, number: told.append(("up", number)),
        peer_down=lambda node_id: told.append(("down",)),
    )


@pytest.fixture
def streams(listener):
    """Return the streams of a node."""
    return hub.Hub(
        task.Clock(),
        topology.Node("n1", "h:1", "a"),
        1,
        keys.SharedKey(b"key"),
        "tcp:{host}:{port}",
        listener,
        lambda node_id: None,
    )


# Guards against messages that go to a dead stream while a new one is open,
# as after a restart of the peer or a partition.
def test_the_newest_stream_carries_what_is_sent(streams, listener):
    dead, new = _Stream(), _Stream(incarnation=2)
    streams.stream_up(dead)
    streams.stream_up(new)
    streams.send("n2", messages.Heartbeat())
    streams.send_to(["n2"], messages.Heartbeat())
    streams.broadcast(messages.Heartbeat(), None)
    assert (len(dead.sent), len(new.sent)) == (0, 3)
    assert listener.told == [("up", 1), ("up", 2)]


# Guards against updates that are lost with a stream and never sent again.
def test_the_listener_sends_anew_when_the_stream_in_use_is_lost(
    streams, listener
):
    older, newest = _Stream(incarnation=3), _Stream(incarnation=4)
    streams.stream_up(older)
    streams.stream_up(newest)
    listener.told.clear()
    streams.stream_down(newest)
    assert listener.told == [("up", 3)]
    streams.send("n2", messages.Heartbeat())
    assert len(older.sent) == 1


def test_a_stream_that_was_not_in_use_is_lost_silently(streams, listener):
    older, newest = _Stream(), _Stream()
    streams.stream_up(older)
    streams.stream_up(newest)
    listener.told.clear()
    streams.stream_down(older)
    assert not listener.told
    streams.stream_down(newest)
    assert listener.told == [("down",)]
    assert streams.peers == []


def test_a_stream_for_calls_is_no_peer(streams, listener):
    call = _Stream(purpose=messages.Purpose.CALL)
    streams.stream_up(call)
    streams.stream_down(call)
    assert not listener.told


# Guards against a node that dials and greets nobody any more because one
# address in its list can't be read.
def test_a_bad_address_leaves_the_other_nodes():
    clock = testing.MemoryReactorClock()
    addresses = {"n2": "no address", "n3": "127.0.0.1:3"}
    streams = hub.Hub(
        clock,
        topology.Node("n1", "h:1", "a"),
        1,
        keys.SharedKey(b"key"),
        "tcp:{host}:{port}",
        types.SimpleNamespace(),
        lambda node_id: topology.Node(node_id, addresses[node_id], "a"),
    )
    streams.set_wanted_peers(("n2", "n3"))
    assert [client[:2] for client in clock.tcpClients] == [("127.0.0.1", 3)]
    streams.start()
    clock.pump([hub.HEARTBEAT_S] * 3)
    assert streams._heartbeat_loop.running
    addresses["n2"] = "127.0.0.1:2"
    clock.advance(hub.HEARTBEAT_S)
    assert ("127.0.0.1", 2) in [client[:2] for client in clock.tcpClients]
