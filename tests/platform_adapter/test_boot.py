"""Tests of reading the platform's settings file."""

import json

from adapter import boot
import pytest

from fireflypulley.core import findings
from fireflypulley.core.gateway import node_limits

BOOT = {
    "node-name": "edge-a-1",
    "ip": "10.1.0.14",
    "zone": "a",
    "listen": {
        "frontend": "10.1.0.14:8221",
        "readiness": "10.1.0.14:8224",
        "control-plane": "10.1.0.14:8229",
    },
    "port-range": [7600, 7615],
    "bounds": {
        "grace-s": 8,
        "drain-ms": 2000,
        "retry-budget-ratio": 0.2,
        "retry-window-s": 10,
        "budget-slack": 58,
        "quota-overshoot": 0.1,
        "quota-tolerance": 140000,
        "report-window-s": 5,
        "usage-delay-s": 10,
        "revoke-strict": False,
    },
    "platform": {"address": "10.200.1.7:8225", "form": "table"},
    "cloud-api": {
        "address": "10.200.0.35:8225",
        "duties": ["metering", "autoscale"],
    },
    "new-field": {"x": 1},
}


def _load(tmp_path, content):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(content))
    return boot.load(path)


def test_the_file_becomes_the_nodes_settings(tmp_path):
    boot_file = _load(tmp_path, BOOT)
    node = boot_file.node
    assert node.node.node_id == "edge-a-1"
    assert node.node.address == "10.1.0.14:7600"
    assert node.callers.port == 8221
    assert node.metrics.port == 7601
    assert node.shared_bounds.retry_slack == 58
    assert node.shared_bounds.drain_s == 2.0
    assert node.usage_window_s == 5
    assert node.scales_replicas
    assert boot_file.store_address == "10.200.1.7:8225"


def test_without_duties_there_are_none(tmp_path):
    node = _load(tmp_path, BOOT | {"cloud-api": None}).node
    assert not node.scales_replicas
    assert node.usage_delay_s is None


def test_all_findings_are_reported_together(tmp_path):
    bad = BOOT | {"port-range": [1], "listen": {"frontend": "x"}}
    del bad["zone"]
    with pytest.raises(findings.InvalidInput) as caught:
        _load(tmp_path, bad)
    text = str(caught.value)
    assert len(caught.value.findings) == 3
    for place in ("zone", "port-range", "listen.readiness"):
        assert place in text


def test_a_missing_file_is_reported(tmp_path):
    with pytest.raises(findings.InvalidInput, match=r"gone\.json"):
        boot.load(tmp_path / "gone.json")


def test_the_limits_of_the_machine_become_those_of_the_node(tmp_path):
    limits = {"limits": {"memory-mb": 300, "max-fds": 4100, "cpu-quota": 0.5}}
    node = _load(tmp_path, BOOT | limits).node
    assert node.limits.memory_bytes == 300 << 20
    assert node.limits.descriptors == 4100


def test_a_machine_that_names_no_limits_gets_the_defaults(tmp_path):
    node = _load(tmp_path, BOOT | {"limits": {"disk-mb": 0}}).node
    assert node.limits == node_limits.NodeLimits()


def test_a_memory_of_nothing_is_reported(tmp_path):
    with pytest.raises(findings.InvalidInput):
        _load(tmp_path, BOOT | {"limits": {"memory-mb": 0}})
