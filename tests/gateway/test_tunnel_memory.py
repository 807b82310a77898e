"""What tunnels take of the memory of both nodes."""

import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.gateway import tunnel_transport
from fireflypulley.transport import memory

from . import test_tunnels

BYTES = 1 << 20


@pytest.fixture
def system():
    running = test_tunnels._System()
    for node in running.nodes:
        node.memory.bound_bytes = BYTES
    running.run(2.0)
    return running


@pytest.fixture
def stranded(system):
    node = system.nodes[0]
    system.cut_off(node)
    for key in (test_tunnels.KEY, test_tunnels.OTHER_KEY):
        system.acquire(node, key)
    return node


def _used(system):
    return sorted(
        node.memory.used_bytes[memory.Use.TUNNEL] for node in system.nodes
    )


class Other(memory.Holder):
    """What else a node holds; it never gives up."""

    def give_up(self):
        """Hold on."""


# Guards against nodes that run out of memory by the tunnels that they use,
# or carry for others.
def test_a_tunnel_counts_at_both_nodes_while_it_is_open(system, stranded):
    before = _used(system)
    connection = system.acquire(stranded)
    one = tunnel_transport.HELD_BYTES
    assert sum(_used(system)) == sum(before) + 2 * one
    connection.abort()
    system.run(0.5)
    assert _used(system) == before


# Guards against a node that ends by memory because no tunnel gives way.
def test_tunnels_that_stand_still_are_closed_when_memory_is_needed(
    system, stranded
):
    still = system.acquire(stranded)
    moving = system.acquire(stranded)
    of_still = test_tunnels._send(system, still)
    of_moving = test_tunnels._Listener()
    system.run(0.5)
    moving.send(b"POST", b"/x", [(b"host", b"h")], b"b", of_moving)
    used = stranded.memory.used_bytes[memory.Use.TUNNEL]
    others = used // tunnel_transport.HELD_BYTES - 1
    while stranded.memory.given_up < others:
        stranded.memory.hold(Other(), memory.Use.UPLOAD, 1000)
    system.run(0.5)
    assert (of_still.end, of_moving.end) == (calls.Outcome.CUT.value, "")
