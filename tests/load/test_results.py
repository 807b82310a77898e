"""Result tables, their CSV files and their plots."""

import sys

import pytest

from fireflystandins.load import plots
from fireflystandins.load import results


def _rows():
    result = results.KindResult(target_ms=100.0)
    for number in range(1, 101):
        result.add(200, number / 500)
    result.add(503, 0.001)
    result.add(None, 4.0)
    return [result.row("fetch")]


def test_latencies_count_only_successful_responses():
    (row,) = _rows()
    assert row["asked"] == 102
    assert row["in_time"] == 50
    assert row["answers"] == "200:100 503:1 unanswered:1"
    assert row["p50_ms"] == pytest.approx(100, rel=0.01)
    assert row["p100_ms"] == pytest.approx(200, rel=0.01)


def test_a_table_is_read_back_as_written(tmp_path):
    path = tmp_path / "results.csv"
    rows = _rows()
    results.write_csv(path, rows)
    text = [{k: str(v) for k, v in row.items()} for row in rows]
    assert results.read_csv(path) == text


def test_tables_of_two_runs_are_grouped_by_kind():
    rows = results.side_by_side({"old": _rows(), "new": _rows()})
    assert [(row["kind"], row["run"]) for row in rows] == [
        ("fetch", "old"),
        ("fetch", "new"),
    ]


def test_a_plot_is_an_image_of_all_runs(tmp_path):
    path = tmp_path / "plot.svg"
    plots.write_plot(path, {"old": _rows(), "new": _rows()})
    text = path.read_text()
    assert "<svg" in text
    assert "old fetch" in text
    assert "new fetch" in text


def test_importing_plots_leaves_only_hooks_with_find_spec():
    assert all(hasattr(hook, "find_spec") for hook in sys.meta_path)
