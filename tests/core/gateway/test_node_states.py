"""Replicated states, received in any order and more than once."""

from fireflypulley.core.gateway import node_states

EMPTY = node_states.NodeState("n1", 1, 1, {}, {}, {}, {}, {})


def _state(sequence, **changes):
    return EMPTY._replace(sequence=sequence, **changes)


def _registry(this="n9"):
    return node_states.StateRegistry(this, 8)


def test_an_older_state_is_ignored():
    registry = _registry()
    assert registry.update(_state(2), False)
    assert not registry.update(_state(2), False)
    assert not registry.update(_state(1), False)
    assert registry.update(_state(3), False)


def test_a_new_incarnation_starts_from_zero():
    registry = _registry()
    registry.update(_state(9, spent={"w": 5.0}), False)
    assert registry.update(_state(1, incarnation=2, spent={"v": 1.0}), False)
    assert registry.get("n1").spent == {"v": 1.0}
    assert not registry.update(_state(10), False)


def test_its_own_state_from_a_peer_is_ignored():
    registry = _registry("n1")
    assert not registry.update(_state(5), False)


def test_only_changes_are_published():
    registry = _registry("n1")
    first = _state(1, loads={"e": (1, 2, 0)}, spent={"w": 1.0, "v": 2.0})
    assert registry.update_own(first) == first
    second = first._replace(sequence=2, spent={"w": 3.0, "v": 2.0})
    changes = registry.update_own(second)
    assert changes.loads is None
    assert changes.spent == {"w": 3.0}
    assert registry.get("n1").spent == {"w": 3.0, "v": 2.0}
    assert registry.get("n1").loads == {"e": (1, 2, 0)}


def test_changes_between_two_heartbeats_are_merged():
    registry = _registry()
    registry.update(
        _state(1, loads={"e": (1, 0, 0)}, usage={3: {"w": 1}}), False
    )
    registry.update(_state(2, loads=None, usage={4: {"w": 2}}), False)
    (pending,) = registry.pending(for_relay=False)
    assert pending.sequence == 2
    assert pending.loads == {"e": (1, 0, 0)}
    assert pending.usage == {3: {"w": 1}, 4: {"w": 2}}
    registry.mark_sent()
    assert registry.pending(for_relay=False) == ()


def test_states_from_relays_are_not_sent_to_relays():
    registry = _registry()
    registry.update(_state(1), True)
    registry.update(_state(1, node_id="n2"), False)
    assert [one.node_id for one in registry.pending(for_relay=True)] == ["n2"]
    assert len(registry.pending(for_relay=False)) == 2
    assert [one.node_id for one in registry.all_states(for_relay=True)] == [
        "n2"
    ]


def test_usage_of_old_windows_is_dropped():
    registry = node_states.StateRegistry("n9", 2)
    for number in range(4):
        registry.update(_state(number + 1, usage={number: {"w": 1}}), False)
    assert set(registry.get("n1").usage) == {2, 3}


def test_a_forgotten_node_is_accepted_again():
    registry = _registry()
    registry.update(_state(5), False)
    registry.forget(["n1"])
    assert registry.get("n1") is None
    assert registry.update(_state(1), False)
