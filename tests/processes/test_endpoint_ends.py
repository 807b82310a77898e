"""Answers that end with their connection, while their endpoints end."""

import concurrent.futures
import threading
import time

import pytest

from fireflystandins import gateways

from . import callers

pytestmark = pytest.mark.processes

CALLERS = 12
ROUNDS = 3


def _is_wrong(request_id, answer):
    status, body = answer
    return status == 200 and body != b"answer to " + request_id.encode()


def _call_until(node, caller, path, stopped):
    """Send one request after the other; return the answers by id."""
    answers = {}
    while not stopped.is_set():
        request_id = f"caller-{caller}-{len(answers)}"
        answers[request_id] = callers.call_once(node, request_id, path)
    return answers


def _play(system, node, path):
    """Let callers call while endpoints are killed; return the answers."""
    stopped = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as executor:
        calling = [
            executor.submit(_call_until, node, caller, path, stopped)
            for caller in range(CALLERS)
        ]
        try:
            for number in range(ROUNDS):
                time.sleep(0.7)
                system.replicas[f"e{number}"].popen.kill()
            time.sleep(0.5)
        finally:
            stopped.set()
        return {
            request_id: answer
            for one in calling
            for request_id, answer in one.result().items()
        }


# Guards against callers who get a part of an answer as a whole one, since
# the system closes the connections of an endpoint's process that is killed.
@pytest.mark.parametrize("path", ["/fetch/x", "/file/x"])
def test_no_answer_is_whole_because_its_endpoint_was_killed(tmp_path, path):
    with gateways.running(tmp_path) as system:
        system.start_store()
        for number in range(ROUNDS + 1):
            replica = system.start_replica(f"e{number}", "registry")
            faults = {"mode": "unframed-parts", "times": 10_000}
            system.set_faults(replica.address, **faults)
        node = system.start_node("node-1")
        system.wait_ready()
        answers = _play(system, node, path)
    wrong = [one for one in answers.items() if _is_wrong(*one)]
    assert not wrong
    served = [one for one in answers.values() if one[0] == 200]
    assert len(served) > len(answers) / 2


# Guards against callers who get the beginning of another request's answer,
# which is cut off before the line that would name that request.
@pytest.mark.parametrize("mode", ["interrupted-in-head", "ended-in-head"])
@pytest.mark.parametrize("path", ["/fetch/x", "/file/x"])
def test_no_caller_gets_a_copy_that_is_cut_off_in_its_head(
    tmp_path, path, mode
):
    with gateways.running(tmp_path) as system:
        system.start_store()
        replica = system.start_replica("e1", "registry")
        node = system.start_node("node-1")
        system.wait_ready()
        wrong = []
        for number in range(6):
            assert callers.call_once(node, f"first-{number}", path)[0] == 200
            system.set_faults(replica.address, mode=mode, times=1)
            request_id = f"next-{number}"
            answer = callers.call_once(node, request_id, path)
            if _is_wrong(request_id, answer):
                wrong.append(answer)
        runs = [run["id"] for run in system.all_runs()]
    assert not wrong
    if path == "/file/x":
        assert len(runs) == len(set(runs))
