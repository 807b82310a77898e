"""Plots of the results of runs."""

import pathlib
import sys

import pygal

from fireflystandins.load import readers
from fireflystandins.load import results

# pygal installs an import hook without find_spec, which breaks all later
# imports under pytest.
sys.meta_path[:] = [
    finder for finder in sys.meta_path if hasattr(finder, "find_spec")
]


def write_plot(
    path: pathlib.Path, tables: dict[str, list[results.Row]]
) -> None:
    """Write the percentiles of one or more tables as an SVG image."""
    chart = pygal.Line(
        logarithmic=True,
        x_title="percentile",
        y_title="ms",
        title="Time to the complete response",
    )
    names = [f"p{percentile:g}_ms" for percentile in results.PERCENTILES]
    chart.x_labels = [name.removesuffix("_ms") for name in names]
    for label, rows in tables.items():
        for row in rows:
            reader = row.get("reader", readers.PLAIN)
            words = [label, str(row["kind"])]
            if reader != readers.PLAIN:
                words.append(str(reader))
            title = " ".join(filter(None, words))
            chart.add(title, [float(row[name]) or None for name in names])
    chart.render_to_file(str(path))
