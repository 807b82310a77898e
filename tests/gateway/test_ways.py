"""Requests at a node that has no way to any endpoint."""

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import carriers
from fireflypulley.core.gateway import endpoint_paths
from fireflypulley.core.gateway import peer_registry
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import ways

from . import exchanges

KEYS = [("e1", 1), ("e2", 1)]
PEER = peer_registry.NodeEntry("n1", "n1:1", "a", 1)


def _world_without_ways():
    world = exchanges.World()
    now_s = world.clock.seconds()
    peer_carriers = carriers.Carriers("a")
    for key in KEYS:
        world.paths.direct.note_direct(key, False, now_s)
        peer_carriers.note_refused((PEER.node_id, 1), key, now_s)
        world.unreachable.add(key[0])
    assert world.paths.direct.begin_probe(now_s)
    world.scheduler.ways = ways.Ways(
        world.paths.direct, peer_carriers, lambda: [PEER]
    )
    return world


# Guards against callers that are told to come back before a way can open
# (issue 46).
def test_a_caller_is_refused_at_once_with_the_time_of_the_next_way():
    world = _world_without_ways()
    assert world.begin() is None
    assert world.finished()
    assert world.sink.status == 503
    assert world.scheduler.refused[calls.RefusalReason.ENDPOINTS_FULL] == 1
    after_s = float(dict(world.sink.headers)[b"retry-after"])
    next_s = endpoint_paths.PROBE_INTERVAL_S
    assert next_s <= after_s <= next_s + request_admission.RETRY_SOON_S
