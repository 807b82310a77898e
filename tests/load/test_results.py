"""Result tables, their CSV files and their plots."""

import sys

import pytest

from fireflystandins.load import plots
from fireflystandins.load import reading
from fireflystandins.load import results

WHOLE = reading.Reply(200, reading.End.WHOLE)


def _rows():
    result = results.KindResult(target_ms=100.0)
    for number in range(1, 101):
        result.add(WHOLE, number / 500)
    result.add(reading.Reply(503, reading.End.WHOLE), 0.001)
    result.add(reading.Reply(None, reading.End.LATE), 4.0)
    return [result.row("fetch")]


def test_latencies_count_only_successful_responses():
    (row,) = _rows()
    assert row["asked"] == 102
    assert row["in_time"] == 50
    assert row["answers"] == "200:100 503:1 unanswered:1"
    assert row["ends"] == "late:1 whole:101"
    assert row["p50_ms"] == pytest.approx(100, rel=0.01)
    assert row["p100_ms"] == pytest.approx(200, rel=0.01)


# Guards against answers that count as got although their callers lost them.
@pytest.mark.parametrize(
    "end", [one for one in reading.End if one is not reading.End.WHOLE]
)
def test_an_answer_that_is_not_whole_is_none(end):
    result = results.KindResult(target_ms=100.0)
    result.add(reading.Reply(200, end), 0.01)
    row = result.row("fetch", "phone")
    assert row["answers"] == "unanswered:1"
    assert row["ends"] == f"{end}:1"
    assert (row["in_time"], row["p100_ms"]) == (0, 0)


def test_tables_name_the_profile():
    table = [*_rows(), _rows()[0] | {"reader": "phone"}]
    older = [{k: v for k, v in _rows()[0].items() if k != "reader"}]
    rows = results.side_by_side({"new": table, "old": older})
    assert [(row["run"], row["reader"]) for row in rows] == [
        ("new", "phone"),
        ("new", "plain"),
        ("old", "plain"),
    ]


def test_a_plot_names_the_profile(tmp_path):
    path = tmp_path / "plot.svg"
    plots.write_plot(path, {"": [_rows()[0] | {"reader": "phone"}]})
    assert "fetch phone" in path.read_text()


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
