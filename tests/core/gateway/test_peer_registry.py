"""Which nodes are alive, and which still count."""

from fireflypulley.core.gateway import peer_registry


def _node(name, started_ms=1):
    return peer_registry.NodeEntry(name, f"{name}:1", "a", started_ms)


def _registry():
    registry = peer_registry.PeerRegistry(_node("n2"))
    registry.put(_node("n1"), 0.0)
    registry.put(_node("n3"), 0.0)
    return registry


def test_a_node_is_alive_while_it_is_seen():
    registry = _registry()
    assert registry.alive(0.0) == ["n2"]
    registry.note_seen("n1", 1.0)
    assert registry.alive(1.5) == ["n1", "n2"]
    assert registry.alive(1.0 + peer_registry.ALIVE_WITHIN_S) == ["n2"]


def test_a_silent_node_counts_in_shared_limits_for_a_while():
    registry = _registry()
    registry.note_seen("n1", 5.0)
    assert registry.node_count(5.0) == 3
    gone_s = 5.0 + peer_registry.COUNTED_WITHIN_S
    registry.note_seen("n3", gone_s - 1.0)
    assert registry.node_count(gone_s - 1.0) == 3
    assert registry.node_count(gone_s - 0.5) == 3
    registry.note_seen("n3", gone_s)
    assert registry.node_count(gone_s) == 2


def test_a_node_that_is_cut_off_counts_all_known_nodes():
    """A node alone must not use the whole of a shared limit."""
    registry = _registry()
    registry.note_seen("n1", 5.0)
    registry.note_seen("n3", 5.0)
    assert registry.node_count(5.0 + 2 * peer_registry.COUNTED_WITHIN_S) == 3


def test_a_node_not_seen_for_long_is_dropped():
    registry = _registry()
    registry.note_seen("n1", 5.0)
    assert registry.forget_gone(peer_registry.FORGET_AFTER_S) == ["n3"]
    assert registry.node_ids == ("n1",)


def test_nodes_seen_recently_are_recent():
    registry = _registry()
    late_s = 3 * peer_registry.COUNTED_WITHIN_S
    assert registry.recent(late_s) == [_node("n1"), _node("n3")]
    registry.note_seen("n1", late_s)
    assert registry.recent(late_s) == [_node("n1")]


def test_an_older_start_is_ignored():
    registry = _registry()
    assert not registry.put(_node("n1"), 1.0)
    assert registry.put(_node("n1", 2), 1.0)
    assert not registry.put(_node("n1", 1), 1.0)
    assert not registry.put(_node("n2", 9), 1.0)


# Guards against two sides of a partition that each take the parts of the
# other: an unreachable node may use its part.
def test_an_unreachable_node_keeps_its_part_of_a_bound():
    registry = _registry()
    registry.note_seen("n1", 5.0)
    late_s = 5.0 + 2 * peer_registry.COUNTED_WITHIN_S
    registry.note_seen("n3", late_s)
    assert registry.node_count(late_s) == 2
    assert registry.sharing_count(late_s) == 3
    gone_s = 5.0 + peer_registry.SHARING_WITHIN_S
    registry.forget_gone(gone_s)
    assert registry.sharing_count(gone_s) == 2


def test_the_row_of_a_gone_node_counts_once():
    registry = _registry()
    gone_s = peer_registry.FORGET_AFTER_S
    assert registry.forget_gone(gone_s) == ["n1", "n3"]
    assert registry.put(_node("n1"), gone_s)
    assert registry.sharing_count(gone_s) == 1
    assert registry.put(_node("n1", 2), gone_s)
    assert registry.sharing_count(gone_s) == 2
    registry.put(_node("n3"), gone_s)
    registry.note_seen("n3", gone_s)
    assert registry.sharing_count(gone_s) == 3
