"""The command that traces a request in the logs of gateway nodes."""

import dataclasses
import pathlib
import sys
import typing

import cappa

from fireflypulley.cli import request_traces


@cappa.command(name="trace")
@dataclasses.dataclass
class Trace:
    """Show the log lines of a request and the cause of its outcome.

    Exits with 1 when the files hold no line of the request.
    """

    request_id: typing.Annotated[str, cappa.Arg(help="The request's id.")]
    files: typing.Annotated[
        list[pathlib.Path], cappa.Arg(help="The nodes' log files.")
    ]
    json: typing.Annotated[bool, cappa.Arg(long=True, help="Print JSON.")] = (
        False
    )

    def __call__(self) -> None:
        """Print the trace."""
        missing = [path for path in self.files if not path.is_file()]
        for path in missing:
            print(f"{path}: no such file", file=sys.stderr)
        if missing:
            raise cappa.Exit(code=2)
        trace = request_traces.build(
            self.request_id, request_traces.read_lines(self.files)
        )
        print(trace.as_json() if self.json else trace.as_text())
        raise cappa.Exit(code=0 if trace.lines else 1)
