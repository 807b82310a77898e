"""Second copies of answers that come late, with a real node."""

import pytest

from fireflystandins import gateways

from . import callers

pytestmark = pytest.mark.processes


# Guards against callers who get a piece of another request's answer, since
# nothing but its close delimits the answer that the copy fell into.
@pytest.mark.parametrize("path", ["/fetch/x", "/file/x"])
def test_no_caller_gets_a_late_copy_inside_an_answer(tmp_path, path):
    with gateways.running(tmp_path) as system:
        system.start_store()
        replica = system.start_replica("e1", "registry")
        node = system.start_node("node-1")
        system.wait_ready()
        wrong = []
        for number in range(10):
            assert callers.call_once(node, f"first-{number}", path)[0] == 200
            system.set_faults(replica.address, mode="interrupted", times=1)
            request_id = f"next-{number}"
            status, body = callers.call_once(node, request_id, path)
            if status == 200 and body != b"answer to " + request_id.encode():
                wrong.append(body)
            if path == "/file/x":
                assert status in (200, 502)
        runs = [run["id"] for run in system.all_runs()]
    assert not wrong
    if path == "/file/x":
        assert len(runs) == len(set(runs))
