"""Answers that come before their endpoint has read the request."""

import collections
import contextlib
import time

import pytest

from fireflystandins import gateways

from . import callers
from . import paths

pytestmark = pytest.mark.processes

CALLS = 8
BODIES = [b"x" * 300_000, b"x" * 3_500_000]
"""What fits what the system holds for a connection, and what doesn't."""
UNREAD = b"x" * 100_000
"""What the endpoint's system takes at once, but no endpoint in one read."""
CUT_MODES = [
    f"early-{framing}-{end}"
    for framing in ("unframed", "length", "chunks")
    for end in ("close", "finish", "reset")
]
WHOLE_MODES = ["early-length-whole", "early-chunks-whole"]
NOTICE_S = 1.5


@contextlib.contextmanager
def _running_directly(folder):
    """Yield a system and a node that reaches its replica."""
    with gateways.running(folder) as system:
        system.start_store()
        system.start_replica("e1", "registry")
        node = system.start_node("node-1")
        system.wait_ready()
        yield system, node


@contextlib.contextmanager
def _running_through_peer(folder):
    """Yield a system and a node that reaches its replicas through a peer."""
    with gateways.running(folder) as system:
        system.start_store()
        replicas = [
            system.start_replica(f"e{number}", "registry") for number in (1, 2)
        ]
        system.start_node("node-a")
        with paths.node_with_own_ways(system, "near", replicas) as ways:
            system.wait_ready()
            callers.call_once(ways.node, "before", "/fetch/x")
            ways.cut()
            asking = callers.Callers([ways.node], 2, 0.05)
            with asking.calling():
                time.sleep(NOTICE_S)
            yield system, ways.node


RUNNING = {"direct": _running_directly, "peer": _running_through_peer}


def _answers(system, node, path, mode, bodies=BODIES):
    """Return the answers to uploads that are answered early, by id."""
    answers = {}
    for number in range(CALLS):
        for replica in system.replicas.values():
            system.set_faults(replica.address, mode=mode, times=1)
        request_id = f"{mode}-{number}"
        body = bodies[number % len(bodies)]
        answers[request_id] = callers.call_once(node, request_id, path, body)
    return answers


def _is_whole(request_id, answer):
    return answer == (200, b"answer to " + request_id.encode())


def _is_allowed(request_id, answer):
    """A part of an answer may be cut, or repeated, or told as unknown."""
    return answer[0] in (0, 502) or _is_whole(request_id, answer)


def _count_wrong(answers):
    """Return how many answers are not allowed, by fault mode."""
    return collections.Counter(
        request_id.rpartition("-")[0]
        for request_id, answer in answers.items()
        if not _is_allowed(request_id, answer)
    )


# Guards against callers who get half of an answer as a whole one, since its
# endpoint gave up and closed in order while the upload was being written.
@pytest.mark.parametrize("way", RUNNING)
@pytest.mark.parametrize("path", ["/fetch/x", "/file/x"])
def test_no_answer_is_whole_whose_endpoint_gave_up(tmp_path, path, way):
    with RUNNING[way](tmp_path) as (system, node):
        answers = {}
        for mode in CUT_MODES:
            answers |= _answers(system, node, path, mode)
        runs = [run["id"] for run in system.all_runs()]
        assert callers.call_once(node, "after", path)[0] == 200
    assert dict(_count_wrong(answers)) == {}
    if path == "/file/x":
        whole = [one for one in answers.items() if _is_whole(*one)]
        assert not whole
        assert len(runs) == len(set(runs))


# Guards against callers who get half of an answer as a whole one, since its
# endpoint gave up and closed in order, though its system had taken all of the
# upload: it resets the connection after the close.
@pytest.mark.parametrize("way", RUNNING)
@pytest.mark.parametrize("path", ["/fetch/x", "/file/x"])
def test_no_answer_is_whole_whose_upload_was_not_read(tmp_path, path, way):
    mode = "early-unframed-unread"
    with RUNNING[way](tmp_path) as (system, node):
        answers = _answers(system, node, path, mode, [UNREAD])
        assert callers.call_once(node, "after", path)[0] == 200
    assert dict(_count_wrong(answers)) == {}


# Guards against whole answers that are lost, since they come before their
# endpoint has read the rest of the upload.
@pytest.mark.parametrize("way", RUNNING)
@pytest.mark.parametrize("mode", WHOLE_MODES)
def test_an_early_answer_that_is_whole_is_a_success(tmp_path, mode, way):
    with RUNNING[way](tmp_path) as (system, node):
        answers = _answers(system, node, "/file/x", mode)
    assert all(_is_whole(*one) for one in answers.items())
