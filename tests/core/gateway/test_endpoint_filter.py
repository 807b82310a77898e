"""Versions that requests may use while a service is rolled out."""

import pytest

from fireflypulley.core.gateway import versions

from . import builders

NOW_S = 1.0


def _undone(*entries):
    """Return a node that has undone v2 and knows of no verdict."""
    node = builders.a_scheduler(None, *entries)
    node.rollouts.order(versions.Rollout("s/v2/1", "s", "v2", 0.0, 12.0))
    undone = versions.PhaseReached("s/v2/1", versions.Phase.UNDONE, 99.0)
    node.shared.merge(undone, NOW_S)
    return node


def _selected(node):
    request = builders.admitted(node)
    usable = node.endpoint_filter
    usable.durations.expected_s = lambda route: 0.1
    found = usable.in_use(request, NOW_S) + usable.last_resort(request, NOW_S)
    return [member.endpoint_id for member in found]


# Guards against requests for a bad version while the old one is there, but
# not among the endpoints that were asked about.
def test_a_leaving_endpoint_of_a_bad_version_is_no_last_resort():
    old = builders.entry("e1")
    new = builders.entry("e2", version="v2", leaving=True)
    assert _selected(_undone(old, new)) == ["e1"]


def test_a_bad_version_does_not_stand_in_for_an_evacuated_domain():
    old = builders.entry("e1", domain="a")
    new = builders.entry("e2", domain="b", version="v2")
    node = _undone(old, new)
    node.endpoint_filter.drained_domains.add("a")
    assert _selected(node) == []


@pytest.mark.parametrize("old", [[], [builders.entry("e1", leaving=True)]])
def test_a_version_that_is_left_is_used(old):
    node = _undone(*old, builders.entry("e2", version="v2"))
    assert "e2" in _selected(node)
