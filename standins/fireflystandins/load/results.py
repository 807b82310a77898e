"""The results of the requests, by kind and reading profile."""

import collections
import collections.abc
import csv
import pathlib
import typing

import hdrh.histogram

from fireflystandins.load import readers
from fireflystandins.load import reading

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 100.0)
UNANSWERED = "unanswered"
COLUMNS = ("kind", "reader", "asked", "in_time", "answers", "ends") + tuple(
    f"p{percentile:g}_ms" for percentile in PERCENTILES
)
Row = dict[str, typing.Any]


class KindResult:
    """The responses to one kind of request, to callers of one profile."""

    def __init__(self, target_ms: float) -> None:
        self._target_ms = target_ms
        self._histogram = hdrh.histogram.HdrHistogram(
            LOWEST_US, HIGHEST_US, DIGITS
        )
        self.asked = 0
        self.in_time = 0
        self.answers: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[reading.End] = collections.Counter()

    def add(self, reply: reading.Reply, took_s: float) -> None:
        """Count a request; only a whole response is an answer."""
        self.asked += 1
        self.ends[reply.end] += 1
        is_whole = reply.end is reading.End.WHOLE
        self.answers[str(reply.status) if is_whole else UNANSWERED] += 1
        if not is_whole or reply.status != 200:
            return
        self._histogram.record_value(max(LOWEST_US, round(took_s * 1e6)))
        if took_s * 1000 <= self._target_ms:
            self.in_time += 1

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latencies of successful responses."""
        value_us: float = self._histogram.get_value_at_percentile(percentile)
        return round(value_us / 1000, 2)

    def row(self, kind: str, reader: str = readers.PLAIN) -> Row:
        """Return the row of the results table."""
        times = [self.percentile_ms(percentile) for percentile in PERCENTILES]
        values = (
            kind,
            reader,
            self.asked,
            self.in_time,
            _counts(self.answers),
            _counts(self.ends),
            *times,
        )
        return dict(zip(COLUMNS, values, strict=True))


def _counts(counter: collections.abc.Mapping[str, int]) -> str:
    return " ".join(f"{name}:{n}" for name, n in sorted(counter.items()))


def write_csv(path: pathlib.Path, rows: list[Row]) -> None:
    """Write the table as CSV."""
    with path.open("w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        writer.writerows(rows)


def read_csv(path: pathlib.Path) -> list[Row]:
    """Return the table of a CSV file."""
    with path.open(newline="") as file:
        return list(csv.DictReader(file))


def side_by_side(tables: dict[str, list[Row]]) -> list[Row]:
    """Return the rows of several tables, grouped by kind and profile."""
    rows = [
        {"kind": row["kind"], "reader": _reader(row), "run": label} | row
        for label, table in tables.items()
        for row in table
    ]
    return sorted(rows, key=lambda row: (str(row["kind"]), row["reader"]))


def _reader(row: Row) -> str:
    """Return a row's profile; tables of older versions name none."""
    return str(row.get("reader", readers.PLAIN))
