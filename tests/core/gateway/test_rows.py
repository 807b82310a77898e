"""Rows from the store and from peers; an older one never replaces a newer."""

from fireflypulley.core.gateway import rows


def _row(key, version, value=b"x"):
    return rows.FollowedRow("t", key, version, value)


def test_a_lower_version_changes_nothing():
    cache = rows.RowCache()
    assert cache.update(_row("k", 5))
    assert not cache.update(_row("k", 5))
    assert not cache.update(_row("k", 4, b"old"))
    assert cache.get("t", "k").value == b"x"


def test_a_removal_is_not_undone_by_an_older_entry():
    cache = rows.RowCache()
    cache.update(_row("k", 5))
    cache.update(_row("k", 7, None))
    assert not cache.update(_row("k", 6))
    assert cache.get("t", "k").value is None


def test_a_full_read_gives_removals_of_missing_rows():
    cache = rows.RowCache()
    cache.update(_row("k1", 1))
    cache.update(_row("k2", 2))
    cache.update(_row("k3", 9))
    missing = cache.removals("t", {"k1"}, 5)
    assert missing == [_row("k2", 5, None)]


# Guards against a row that stays in force at one node, as the node that
# tells it what changed never knew the row.
def test_changes_are_known_only_since_the_last_full_read():
    cache = rows.RowCache()
    assert not cache.knows_since("t", 3)
    cache.note_baseline("t", 4)
    assert not cache.knows_since("t", 3)
    assert cache.knows_since("t", 4)
    cache.note_baseline("t", 9)
    assert not cache.knows_since("t", 4)
    assert cache.knows_since("t", 9)


def test_rows_since_a_version_include_removals():
    cache = rows.RowCache()
    cache.update(_row("k1", 1))
    cache.update(_row("k2", 6, None))
    assert cache.since("t", 1) == [_row("k2", 6, None)]
    assert cache.present("t") == [_row("k1", 1)]
