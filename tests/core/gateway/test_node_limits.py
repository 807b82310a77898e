"""How the memory and the descriptors of a node are divided."""

from fireflypulley.core.gateway import node_limits


def test_what_a_node_holds_leaves_room_for_the_process_itself():
    for megabytes in (110, 128, 300, 4096):
        limits = node_limits.NodeLimits(megabytes * node_limits.MIB, 4100)
        rest = limits.memory_bytes - node_limits.RESTING_BYTES
        assert 0 < limits.held_bytes <= rest / 2


def test_a_node_with_hardly_any_memory_still_serves():
    limits = node_limits.NodeLimits(60 * node_limits.MIB, 1)
    assert limits.held_bytes == node_limits.MIN_HELD_BYTES
    assert limits.caller_connections == 1


def test_callers_leave_descriptors_to_all_other_connections():
    for descriptors in (400, 4100, 65536):
        limits = node_limits.NodeLimits(descriptors=descriptors)
        callers = limits.caller_connections
        carried = limits.carried_connections
        assert callers > 0 and carried > 0
        assert 2 * callers + 2 * carried <= descriptors * 0.92
