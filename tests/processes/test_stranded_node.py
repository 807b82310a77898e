"""A node without ways to replicas, and real nodes that carry for it."""

import signal
import time

import pytest

from fireflystandins import gateways

from . import callers
from . import paths

pytestmark = pytest.mark.processes

NOTICE_S = 1.5
"""Well within the 3 s after which callers are to be served as elsewhere."""
STOPPING_S = 2.5
"""Callers go on to a node for 3 s after its SIGTERM, so it runs as long."""


def _call_for(node, seconds):
    """Return the statuses that callers of a node get for some time."""
    asking = callers.Callers([node], 2, 0.05)
    with asking.calling():
        time.sleep(seconds)
    return asking.statuses


def _failed(statuses):
    return [status for status in statuses if status != 200]


# Guards against callers of a node without ways who are refused while all the
# nodes that carry for it stop (RECOVER, issue 46).
def test_callers_are_served_while_all_carriers_stop(tmp_path):
    with gateways.running(tmp_path) as system:
        system.start_store()
        replicas = [
            system.start_replica(f"e{number}", "registry")
            for number in (1, 2, 3)
        ]
        peers = [system.start_node(f"node-{zone}", zone) for zone in "ab"]
        with paths.node_with_own_ways(system, "near", replicas) as ways:
            system.wait_ready()
            assert not _failed(_call_for(ways.node, 0.5))
            ways.cut()
            _call_for(ways.node, NOTICE_S)
            carried = _call_for(ways.node, 1.0)
            for peer in peers:
                peer.signal(signal.SIGTERM)
            stopping = _call_for(ways.node, STOPPING_S)
            for peer in peers:
                peer.popen.wait(gateways.STOP_TIMEOUT_S)
                system.restart_node(peer)
            for peer in peers:
                gateways.local.wait_for(
                    peer.name, lambda peer=peer: system.is_ready(peer)
                )
            _call_for(ways.node, NOTICE_S)
            restarted = _call_for(ways.node, 1.0)
    assert len(carried) > 10 and not _failed(carried)
    assert len(stopping) > 10 and not _failed(stopping)
    assert len(restarted) > 10 and not _failed(restarted)
