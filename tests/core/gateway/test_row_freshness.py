"""When a node last heard that its rows are the newest."""

from fireflypulley.core.gateway import row_freshness


def test_nothing_is_confirmed_at_first():
    fresh = row_freshness.RowFreshness()
    assert fresh.age_s("t", 5.0) is None
    assert fresh.oldest_age_s(5.0) is None
    assert fresh.source("t") == ""


def test_the_last_confirmation_counts():
    fresh = row_freshness.RowFreshness()
    fresh.note("t", row_freshness.STORE, 1.0)
    fresh.note("t", "node-2", 4.0)
    assert fresh.age_s("t", 5.0) == 1.0
    assert fresh.source("t") == "node-2"


def test_the_oldest_table_is_the_age_of_all():
    fresh = row_freshness.RowFreshness()
    fresh.note("t", row_freshness.STORE, 4.0)
    fresh.note("u", row_freshness.STORE, 1.0)
    assert fresh.oldest_age_s(5.0) == 4.0
    assert fresh.tables == ("t", "u")
