"""Result tables, their CSV files and their plots."""

import sys

import pytest

from fireflystandins.load import plots
from fireflystandins.load import results


def _rows():
    found = results.KindResult(target_ms=100.0)
    for number in range(1, 101):
        found.add(200, number / 500)
    found.add(503, 0.001)
    found.add(None, 4.0)
    return [found.row("fetch")]


def test_only_good_answers_count_in_the_times():
    (row,) = _rows()
    assert row["asked"] == 102
    assert row["in_time"] == 50
    assert row["answers"] == "200:100 503:1 unanswered:1"
    assert row["p50_ms"] == pytest.approx(100, rel=0.01)
    assert row["p100_ms"] == pytest.approx(200, rel=0.01)


def test_a_table_survives_its_file(tmp_path):
    path = tmp_path / "results.csv"
    rows = _rows()
    results.write_csv(path, rows)
    text = [{k: str(v) for k, v in row.items()} for row in rows]
    assert results.read_csv(path) == text


def test_two_runs_stand_side_by_side():
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


def test_the_plots_leave_no_import_hook_of_the_old_kind():
    assert all(hasattr(one, "find_spec") for one in sys.meta_path)
