"""The trace command finds the cause of a failed request in the logs."""

import subprocess
import sys

import pytest

from fireflystandins import gateways

from . import test_gateway

pytestmark = pytest.mark.processes
system = test_gateway.system


def _trace(system, request_id, *options):
    return subprocess.run(
        [
            sys.executable,
            "-c",
            "from fireflypulley.cli import main; main.main()",
            "trace",
            *options,
            request_id,
            *[str(node.log) for node in system.nodes],
        ],
        capture_output=True,
        text=True,
    )


def _cause(system, request_id):
    done = _trace(system, request_id)
    assert done.returncode == 0, done.stderr
    return done.stdout.splitlines()[-1]


def test_three_failed_requests_are_explained(system):
    node = system.nodes[0]
    refused = test_gateway._call(node, "/file/x", key="wrong")
    assert refused.status == 401
    assert "holds no such key" in _cause(system, refused.request_id)

    for name in ("speech-1", "speech-2"):
        system.set_faults(system.replicas[name].address, mode="cut", times=1)
    cut = test_gateway._call(node, "/stream/x", b"8")
    assert cut.status == 0
    cause = _cause(system, cut.request_id)
    assert "speech-" in cause
    assert "cut" in cause

    for name in ("registry-1", "registry-2"):
        system.set_faults(
            system.replicas[name].address, mode="crossed", times=9
        )
    wrong = test_gateway._call(node, "/file/x", b"x")
    assert wrong.status == 502
    cause = _cause(system, wrong.request_id)
    assert "garbage" in cause
    assert "answer to another request 'other'" in cause


def test_a_request_refused_in_an_evacuation_shows_it(system):
    node = system.nodes[0]
    system.put("op", "evacuate/a", {})
    test_gateway.local.wait_for(
        "evacuation", lambda: test_gateway._lines(node, "evacuation")
    )
    refused = test_gateway._call(node, "/file/x")
    assert refused.status == 503
    done = _trace(system, refused.request_id)
    assert "failure_domain=a" in done.stdout
    assert "no endpoint of the service was in use" in done.stdout


def test_unknown_request_sets_the_exit_code(system):
    done = _trace(system, "nowhere", "--json")
    assert done.returncode == 1
    assert '"cause": "not found"' in done.stdout
    assert gateways.HOST not in done.stdout
