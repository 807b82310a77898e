"""Which node a returning caller is sent to for its answer."""

import dataclasses

import pytest
from twisted.internet import task

from fireflypulley.core import topology
from fireflypulley.daemon import key_directory
from fireflypulley.nodes import messages

from tests.daemon import test_returning_callers as returning

KEY = "w/s1"


class Members:
    """Nodes that are all alive; one of them is the directory node."""

    def __init__(self, directory_node, connected):
        self.directory_node = directory_node
        self.connected = connected

    def owner(self, key, now_s):
        return self.directory_node

    def alive(self, now_s):
        return [self.directory_node]

    def is_down(self, node_id, now_s):
        return False


class System:
    """Directories of three nodes whose messages arrive at once."""

    def __init__(self, directory_node, holding=()):
        self.clock = task.Clock()
        self.lost = set()
        self.sent = 0
        self.directories = {}
        for name in ("n1", "n2", "n3"):
            others = [one for one in ("n1", "n2", "n3") if one != name]
            self.directories[name] = key_directory.KeyDirectory(
                self.clock,
                name,
                Members(directory_node, others),
                Streams(self, name),
                self.clock.seconds,
                lambda key, name=name: name in holding,
                lambda name=name: [KEY] if name in holding else [],
            )

    def move(self, directory_node):
        """Let the key have another directory node; tell all nodes."""
        for directory in self.directories.values():
            directory._members.directory_node = directory_node
            directory.report_moved()

    def find(self, node, reconnecting):
        found = []
        self.directories[node].find(KEY, reconnecting, found.append)
        self.clock.advance(key_directory.DIRECTORY_TIMEOUT_S)
        self.clock.advance(key_directory.DIRECTORY_TIMEOUT_S)
        (holder,) = found
        return holder


class Streams:
    """The streams of one node."""

    def __init__(self, system, node_id):
        self.system = system
        self.node_id = node_id

    def send(self, node_id, message):
        if node_id in self.system.lost:
            return
        directory = self.system.directories[node_id]
        self.system.sent += 1
        if isinstance(message, messages.KeyHeld):
            directory.record_holder(message.key, message.node_id)
        elif isinstance(message, messages.KeyQuestion):
            directory.receive_question(self.node_id, message)
        else:
            directory.receive_answer(message)


# Guards against a second run of a handed-over stream: the receiver recorded
# it at a node that was leaving, so the next directory node knew no holder.
@pytest.mark.parametrize("directory_node", ["n2", "n1"])
@pytest.mark.parametrize("lost", [set(), {"n1"}])
def test_a_returning_caller_finds_a_holder_that_was_not_recorded(
    directory_node, lost
):
    system = System(directory_node, holding={"n3"})
    system.lost = lost
    assert system.find("n2", reconnecting=True) == "n3"


# Guards against a second run of a request that its caller has sent again: the
# silence of the directory node counted as if no node had the first run.
@pytest.mark.parametrize("reconnecting", [False, True])
def test_a_silent_directory_node_does_not_hide_a_holder(reconnecting):
    system = System("n1", holding={"n3"})
    system.lost = {"n1"}
    assert system.find("n2", reconnecting) == "n3"


def test_a_request_begins_although_a_node_is_silent():
    system = System("n1")
    system.lost = {"n1"}
    assert system.find("n2", reconnecting=False) is None


def test_a_new_request_asks_no_other_node():
    system = System("n2", holding={"n3"})
    assert system.find("n2", reconnecting=False) is None


def test_a_returning_caller_whose_answer_nobody_has_starts_anew():
    for directory_node in ("n1", "n2"):
        system = System(directory_node)
        assert system.find("n2", reconnecting=True) is None


# Guards against a second run of a request that its caller has sent again: a
# node had joined or gone, and the key's next directory node knew no holder.
@pytest.mark.parametrize("directory_node", ["n2", "n3"])
def test_the_next_directory_node_learns_the_holder(directory_node):
    system = System("n1", holding={"n3"})
    system.move("n1")
    system.move(directory_node)
    assert system.find("n2", reconnecting=False) == "n3"


def test_a_holder_is_not_reported_again_to_the_same_node():
    system = System("n1", holding={"n3"})
    system.move("n1")
    sent = system.sent
    system.move("n1")
    assert system.sent == sent


def test_a_node_reports_its_keys_when_nodes_join(tmp_path):
    node = returning.Node(tmp_path)
    sent = []
    node.app._hub.send = lambda node_id, message: sent.append(message)
    for number in range(20):
        node.submit(
            dataclasses.replace(returning.CALL, idempotency_key=f"{number}")
        )
    node.app._run_periodic_work()
    assert not sent
    joined = topology.Node("n2", "127.0.0.1:4", "b", "")
    node.app._core.state.members.set_listed_nodes((joined,))
    node.app._run_periodic_work()
    assert sent
    assert all(one == messages.KeyHeld(one.key, "n1") for one in sent)
