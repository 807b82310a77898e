"""Prints answers as tables or JSON, and errors with their details."""

import datetime
import enum
import json
import typing

import rich.console
import rich.table

from fireflypulley.cli import client

PIPE_WIDTH_COLUMNS = 240
Json = typing.Any


class ExitCode(enum.IntEnum):
    """The exit codes of the command."""

    OK = 0
    FAILED = 1
    INVALID = 2
    UNDONE = 3
    CONCURRENT_CHANGE = 4
    UNREACHABLE = 5


_BY_STATUS = {
    0: ExitCode.UNREACHABLE,
    409: ExitCode.CONCURRENT_CHANGE,
    422: ExitCode.INVALID,
    503: ExitCode.UNREACHABLE,
}


class Printer:
    """Prints text for people, or JSON for programs."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._out = rich.console.Console(soft_wrap=True, highlight=False)
        if not self._out.is_terminal:
            # A file or a pipe has no terminal width to fit a table to.
            self._out = rich.console.Console(
                soft_wrap=True, highlight=False, width=PIPE_WIDTH_COLUMNS
            )
        self._err = rich.console.Console(
            stderr=True, soft_wrap=True, highlight=False
        )

    def show(self, body: Json) -> None:
        """Print an answer."""
        if self.as_json:
            self._out.out(json.dumps(body, indent=2, sort_keys=True))
        elif isinstance(body, list):
            self._table(body)
        else:
            self._fields(body)

    def line(self, text: str) -> None:
        """Print a line of text; do nothing if the output is JSON."""
        if not self.as_json:
            self._out.print(text, markup=False)

    def _fields(self, body: Json) -> None:
        for name, value in body.items():
            self._out.print(f"{name}: {_text(name, value)}", markup=False)

    def _table(self, rows: list[Json]) -> None:
        if not rows:
            self._out.print("nothing")
            return
        names = [n for n in rows[0] if n not in ("body", "operation_id")]
        table = rich.table.Table(*names, box=None)
        for row in rows:
            table.add_row(*[_text(name, row.get(name)) for name in names])
        self._out.print(table)

    def fail(self, failure: client.Failure) -> ExitCode:
        """Print a failure; return the exit code."""
        if self.as_json:
            self._out.out(failure.model_dump_json())
        else:
            self._err.print(f"error: {failure.error}", markup=False)
            details = failure.findings
            lines = [details] if isinstance(details, str) else details
            for detail in lines:
                self._err.print(f"  {detail}", markup=False)
            for row in failure.theirs:
                text = json.dumps(row, sort_keys=True)
                self._err.print(f"  theirs: {text}", markup=False)
        return _BY_STATUS.get(failure.status, ExitCode.FAILED)

    def end(self, answer: client.Answer) -> ExitCode:
        """Print an answer or a failure; return the exit code."""
        if answer.is_ok():
            self.show(answer.unwrap())
            return ExitCode.OK
        return self.fail(answer.unwrap_err())


def _text(name: str, value: Json) -> str:
    if name.endswith("_s") and isinstance(value, float) and value > 1e9:
        utc_time = datetime.datetime.fromtimestamp(value, datetime.UTC)
        return utc_time.isoformat(timespec="seconds")
    if isinstance(value, (dict, list)):
        return json.dumps(value)
    return str(value)
