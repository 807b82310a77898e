"""Answers whose status is none, at real nodes."""

import pytest

from fireflystandins import gateways

from . import callers

pytestmark = pytest.mark.processes

MODES = [
    "line: HTTP/1.1 600 X",
    "line: HTTP/1.1 999 X",
    "line: HTTP/1.1 000 X",
    "line: HTTP/1.1 099 X",
    "line: HTTP/1.1 abc X",
    "line: HTTP/1.1 2000 X",
    "line: HTTP/1.1200 X",
    "line: HTTP/1.1 -20 X",
    "lone: HTTP/1.1 100 Continue",
]
CALLS = 4
SOUND_CALLS = 20
"""Enough for the node's budget of retries to allow one."""


def _answers(system, node, path):
    """Return the fault mode, status and wholeness of answers."""
    (replica,) = system.replicas.values()
    answers = []
    for mode in MODES:
        for number in range(CALLS):
            system.set_faults(replica.address, mode=mode, times=2)
            request_id = f"m{MODES.index(mode)}-{number}"
            status, body = callers.call_once(node, request_id, path)
            is_whole = body == b"answer to " + request_id.encode()
            answers.append((mode, status, is_whole))
    return answers


@pytest.fixture
def system(tmp_path):
    """Yield a node before one endpoint."""
    with gateways.running(tmp_path) as running:
        running.start_store()
        running.start_replica("e1", "registry")
        running.start_node("node-1")
        running.wait_ready()
        yield running


# Guards against callers who get an answer whose status is none: outside of
# 100 to 599, of other than three digits, or an interim answer alone.  The
# request has run, so they must not be told that it hasn't.
@pytest.mark.parametrize("path", ["/fetch/x", "/file/x"])
def test_no_caller_gets_an_answer_without_a_status(system, path):
    (node,) = system.nodes
    answers = _answers(system, node, path)
    assert [one for one in answers if one[1] != 502] == []
    runs = [run["id"] for run in system.all_runs()]
    if path == "/file/x":
        assert len(runs) == len(set(runs)) == len(answers)


# Guards against requests that may be repeated and fail all the same.
def test_an_answer_without_a_status_is_asked_for_again(system):
    (node,) = system.nodes
    (replica,) = system.replicas.values()
    for number, mode in enumerate(MODES):
        for sound in range(SOUND_CALLS):
            callers.call_once(node, f"sound-{number}-{sound}", "/fetch/x")
        system.set_faults(replica.address, mode=mode, times=1)
        answer = callers.call_once(node, f"n{number}", "/fetch/x")
        assert answer == (200, b"answer to n%d" % number), mode
