"""Usage of all nodes by window; each request counts once."""

from fireflypulley.core.gateway import usage


def test_windows_begin_at_multiples_of_their_length():
    counts = usage.UsageCounts(5.0)
    assert counts.window_at(9.99) == 1
    assert counts.end_of(1) == 10.0


def test_a_report_adds_up_all_nodes():
    counts = usage.UsageCounts(5.0)
    counts.count("w", 7.0)
    counts.update_peer("n2", 1, {1: {"w": 3, "v": 1}})
    counts.update_peer("n2", 1, {1: {"w": 4, "v": 1}})
    counts.update_peer("n3", 1, {1: {"w": 1}})
    assert counts.report(1).counts == {"w": 6, "v": 1}


def test_a_restarted_node_adds_to_its_earlier_reports():
    counts = usage.UsageCounts(5.0)
    counts.update_peer("n2", 1, {1: {"w": 3}})
    counts.update_peer("n2", 2, {1: {"w": 2}})
    assert counts.report(1).counts == {"w": 5}


def test_old_windows_are_forgotten():
    counts = usage.UsageCounts(5.0)
    for window in range(40):
        counts.count("w", window * 5.0)
        counts.update_peer("n2", 1, {window: {"w": 1}})
    assert min(counts.own) == 39 - usage.KEPT_WINDOWS
    assert counts.report(5).counts == {}
    assert counts.report(38).counts == {"w": 2}


def _window_of(counts, reported):
    counts.inherit(usage.Draft({3: reported}, 5_000))
    return counts.report(3).counts


def test_if_all_nodes_restarted_counts_are_added_to_the_draft():
    """Requests counted after a restart cannot be in the earlier draft."""
    counts = usage.UsageCounts(1.0, 6_000)
    counts.count("w", 3.5)
    counts.update_peer("n2", 7_000, {3: {"w": 2, "v": 1}})
    assert _window_of(counts, {"w": 10}) == {"w": 13, "v": 1}


def test_if_a_node_kept_running_the_greater_count_is_used():
    counts = usage.UsageCounts(1.0, 6_000)
    counts.count("w", 3.5)
    counts.update_peer("n2", 4_000, {3: {"w": 11, "v": 1}})
    found = _window_of(counts, {"w": 10, "u": 2})
    assert found == {"w": 12, "v": 1, "u": 2}


def test_a_draft_holds_the_open_windows_of_all_nodes():
    counts = usage.UsageCounts(1.0)
    counts.count("w", 3.5)
    counts.update_peer("n2", 1, {4: {"v": 2}})
    draft = counts.draft(range(3, 6), 9)
    assert draft == usage.Draft({3: {"w": 1}, 4: {"v": 2}}, 9)
