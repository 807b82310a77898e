"""The store's stand-in goes back, also once it forgot its history."""

import pytest

from fireflystandins import rowstore

KEYS = [{"table": "op", "part": "", "key": name} for name in ("a", "b", "c")]


@pytest.fixture
def clock(monkeypatch):
    """Return the seconds that the store reads, as a list of one."""
    now_s = [100.0]
    monkeypatch.setattr(rowstore.time, "monotonic", lambda: now_s[0])
    return now_s


def _write(rows, key, value):
    rows.transact({"write": [key | {"value": value}]})


def _values(rows):
    return {row.key: row.value for row in rows.table("op", "")}


def _wrote_two(clock):
    rows = rowstore.VersionedRows()
    _write(rows, KEYS[0], "1")
    clock[0] += 10
    _write(rows, KEYS[1], "2")
    return rows


def test_a_store_goes_back(clock):
    rows = _wrote_two(clock)
    clock[0] += 1
    rows.restore(5.0)
    assert _values(rows) == {"a": "1"}
    assert (rows.version, rows.era) == (1, 2)


# Guards against a store that loses all rows older than its history.
def test_a_store_that_forgot_its_history_keeps_older_rows(clock):
    rows = _wrote_two(clock)
    rows.compact()
    clock[0] += 10
    _write(rows, KEYS[2], "3")
    clock[0] += 1
    rows.restore(5.0)
    assert _values(rows) == {"a": "1", "b": "2"}
    assert rows.version == 2


def test_a_store_goes_back_to_before_it_forgot_its_history(clock):
    rows = _wrote_two(clock)
    rows.compact()
    clock[0] += 1
    rows.restore(5.0)
    assert _values(rows) == {"a": "1"}
    assert rows.changes("op", 1) == []


def test_a_store_with_a_full_history_keeps_older_rows(clock, monkeypatch):
    monkeypatch.setattr(rowstore, "HISTORY_ROWS", 1)
    rows = _wrote_two(clock)
    clock[0] += 1
    rows.restore(0.5)
    assert _values(rows) == {"a": "1", "b": "2"}


def test_a_store_that_forgot_its_history_says_so(clock):
    rows = _wrote_two(clock)
    rows.compact()
    assert rows.changes("op", 1) is None
    assert rows.changes("op", 2) == []
    _write(rows, KEYS[2], "3")
    assert [row.key for row in rows.changes("op", 2)] == ["c"]
