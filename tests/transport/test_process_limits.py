"""The limits of the process beside those of the settings."""

import resource

import pytest

from fireflypulley.core.gateway import node_limits
from fireflypulley.transport import process_limits


@pytest.mark.parametrize(
    ("allowed", "descriptors"),
    [
        (1024, 1024),
        (4100, 4100),
        (20_000, 4100),
        (resource.RLIM_INFINITY, 4100),
    ],
)
def test_a_node_reckons_with_the_fewer_descriptors(
    monkeypatch, allowed, descriptors
):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (allowed, allowed))
    limits = process_limits.apply(node_limits.NodeLimits(1, 4100))
    assert limits == node_limits.NodeLimits(1, descriptors)
