"""Tests of decoding the platform's rows, valid and malformed."""

import json

from adapter import tables
import pytest

from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import row_codec

CODEC = tables.PlatformRowCodec()
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "Ficu.example",
            "prefix": "/a/",
            "type": "streaming",
            "timeout-ms": 12000,
            "target-latency-ms": 1200,
            "priority": 1,
            "traffic-split": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "max-attempts": 1,
            "anonymous": False,
            "session-affinity": True,
            "stream-resume": True,
            "target-gap-ms": 500,
            "something-new": 1,
        },
        {
            "name": "r2",
            "host": "h",
            "prefix": "/b/",
            "type": "non_idempotent",
            "timeout-ms": 800,
            "service": "t",
            "max-attempts": 1,
        },
    ],
    "services": [
        {
            "name": "s",
            "health-path": "/healthz",
            "max-connections": 370,
            "cold-start-s": 3.0,
            "cold-per-s": 9.1,
            "engine": {"slots": 64, "kv-capacity": 512051},
            "scaling": {
                "min": 1,
                "max": 3,
                "boot-time-s": 4.0,
                "spot-price": 0.18,
                "zone-prices": {"a": 1.0},
            },
        },
        {"name": "t", "max-connections": 110},
    ],
    "limits": {
        "max-header-bytes": 16384,
        "max-body-bytes": 100,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
    "tenants": [
        {
            "name": "w",
            "api-keys": ["k1", "k2"],
            "priority": 1,
            "unit": "token_count",
            "uncached-tokens": 200,
            "rate-per-s": 64334,
            "burst": 85920,
        }
    ],
}
ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold-remaining-ms": 1500,
    "stage": "unified",
    "sequence": 4,
    "born": 1772393587528,
}


def _row(key, value, table="op"):
    if isinstance(value, dict):
        value = json.dumps(value).encode()
    return rows.FollowedRow(table, key, 3, value)


def test_a_configuration_is_read():
    entry = CODEC.decode_operator_row(_row("config", CONFIGURATION))
    config = entry.document
    assert config.version == 7
    stream = config.route("ficu.example", "/a/x")
    assert stream.kind is document.RouteKind.STREAM
    assert stream.resumable
    assert (stream.timeout_s, stream.max_gap_s) == (12.0, 0.5)
    assert [target.service for target in stream.targets] == ["s", "t"]
    once = config.route("h", "/b/")
    assert once.kind is document.RouteKind.AT_MOST_ONCE
    assert once.targets == (document.Target("t", 1.0),)
    service = config.service("s")
    assert service.engine == document.Engine(64, 512051)
    assert service.scaling.domain_prices == {"a": 1.0}
    assert config.limits.max_body_bytes == 100
    workspace = config.workspace_of_key("k2")
    assert workspace.counts_tokens
    assert workspace.rate_per_s == 64334


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b"{}",
        json.dumps(CONFIGURATION | {"routes": [{"name": "r"}]}).encode(),
        json.dumps(CONFIGURATION | {"version": "x"}).encode(),
    ],
)
def test_an_unreadable_configuration_names_its_place(value):
    with pytest.raises(row_codec.InvalidRow, match="op/config"):
        CODEC.decode_operator_row(_row("config", value))


def test_evacuations_and_rollouts_start_and_end():
    decode = CODEC.decode_operator_row
    assert decode(_row("evacuate/a", {})) == row_codec.EvacuationEntry(
        "a", True
    )
    assert decode(_row("evacuate/a", None)) == row_codec.EvacuationEntry(
        "a", False
    )
    order = {"service": "s", "target": "v2", "duration-s": 12}
    assert decode(_row("rollout/s", order)) == row_codec.RolloutEntry(
        "s", "v2", 12.0
    )
    assert decode(_row("rollout/s", None)) == row_codec.RolloutEntry("s", None)
    assert decode(_row("something/else", {})) is None


def test_an_endpoint_is_read():
    registration = CODEC.decode_registration(_row("i-1", ENTRY, "servers"))
    assert registration.key == ("i-1", 1772393587528)
    assert registration.failure_domain == "a"
    assert registration.cold_s == 1.5
    assert not registration.leaving
    leaving = ENTRY | {
        "state": "draining",
        "preemptible": True,
        "leaves_ms": 2000,
    }
    registration = CODEC.decode_registration(_row("i-1", leaving, "servers"))
    assert registration.leaving and registration.reclaimable
    assert registration.leaves_in_s == 2.0


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"service": 5},
        {"address": "nowhere"},
        {"address": None},
        {"slots": "many"},
        {"born": "yesterday"},
        {"zone": None},
    ],
)
def test_a_malformed_entry_is_rejected(change):
    with pytest.raises(row_codec.InvalidRow, match="servers/i-1"):
        CODEC.decode_registration(_row("i-1", ENTRY | change, "servers"))


# Guards against one odd entry that ends nodes, or stops them following.
@pytest.mark.parametrize(
    "text",
    [
        '"address": "10.0.0.1:99999"',
        '"address": "10.0.0.1:0"',
        '"address": "10.0.0.1:%s"' % ("9" * 5000),
        '"address": "10.0.0.1:\\uff18\\uff10"',
        '"address": "999.1.1.1:80"',
        '"address": "10.0.0.1"',
        '"slots": -5',
        '"slots": 1%s' % ("0" * 30),
        '"slots": 1%s' % ("0" * 6000),
        '"born": 1%s' % ("0" * 30),
        '"born": -1',
        '"cold-remaining-ms": 1e999',
        '"cold-remaining-ms": NaN',
        '"cold-remaining-ms": 1e300',
        '"leaves_ms": -1e308',
        '"leaves_ms": NaN',
        '"zone": %s1%s' % ("[" * 200000, "]" * 200000),
        '"zone": {"a": "b"}',
    ],
    ids=lambda text: text[:28],
)
def test_an_odd_entry_is_rejected(text):
    fields = [
        f"{json.dumps(name)}: {json.dumps(value)}"
        for name, value in ENTRY.items()
        if not text.startswith(json.dumps(name))
    ]
    value = "{%s}" % ", ".join([*fields, text])
    row = rows.FollowedRow("servers", "i-1", 5, value.encode())
    with pytest.raises(row_codec.InvalidRow):
        CODEC.decode_registration(row)


def test_an_entry_whose_id_fits_no_header_is_rejected():
    for key in ("i-1\r\nx: y", "i-\u20ac", "\x00"):
        with pytest.raises(row_codec.InvalidRow):
            CODEC.decode_registration(_row(key, ENTRY, "servers"))


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b"7"])
def test_an_entry_that_is_no_object_is_rejected(value):
    row = rows.FollowedRow("servers", "i-1", 5, value)
    with pytest.raises(row_codec.InvalidRow):
        CODEC.decode_registration(row)


@pytest.mark.parametrize("duration", ["1e999", "NaN", "-1", "1e300"])
def test_a_rollout_of_an_odd_duration_is_rejected(duration):
    value = '{"service": "s", "target": "v", "duration-s": %s}' % duration
    row = rows.FollowedRow("op", "rollout/s", 5, value.encode())
    with pytest.raises(row_codec.InvalidRow):
        CODEC.decode_operator_row(row)


@pytest.mark.parametrize("name", ["service", "address", "zone", "state"])
def test_an_entry_with_a_field_missing_is_rejected(name):
    entry = {key: value for key, value in ENTRY.items() if key != name}
    with pytest.raises(row_codec.InvalidRow):
        CODEC.decode_registration(_row("i-1", entry, "servers"))


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (versions.Phase.TRIAL, "in_progress"),
        (versions.Phase.MOVING, "in_progress"),
        (versions.Phase.DONE, "completed"),
        (versions.Phase.UNDONE, "reverted"),
    ],
)
def test_rollout_phases_are_written_as_states(phase, state):
    write = CODEC.encode_rollout_status("s", "v2", phase)
    assert (write.table, write.key) == ("status", "rollout/s")
    assert json.loads(write.value) == {"state": state, "target": "v2"}


def test_a_written_rollout_status_is_read_back():
    decode = CODEC.decode_rollout_status
    status = decode(_row("rollout/s", {"state": "reverted", "target": "v2"}))
    assert status == row_codec.RolloutStatus("s", "v2", versions.Phase.UNDONE)
    assert decode(_row("else/s", {})) is None
    assert decode(_row("rollout/s", None)) is None
    with pytest.raises(row_codec.InvalidRow):
        decode(_row("rollout/s", {"state": "maybe", "target": "v2"}))
