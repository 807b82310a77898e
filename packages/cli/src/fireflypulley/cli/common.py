"""The base of the commands, with their common options."""

import dataclasses
import pathlib
import sys
import time
import typing

import cappa

from fireflypulley.cli import client
from fireflypulley.cli import output
from fireflypulley.core import findings

WATCH_PERIOD_S = 0.5


@dataclasses.dataclass(kw_only=True)
class Command:
    """Base of all commands that send requests to a node."""

    config: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(
            long="--config",
            help="INI file with [client]; else $FIREFLYPULLEY_CONFIG.",
        ),
    ] = None
    json: typing.Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON.")
    ] = False

    @property
    def printer(self) -> output.Printer:
        """Return the printer of the output."""
        return output.Printer(self.json)

    def connect(self) -> client.Client:
        """Return the client; exit if its settings are invalid."""
        try:
            return client.connect(self.config)
        except (findings.InvalidInput, OSError) as error:
            print(f"error: {error}", file=sys.stderr)
            raise cappa.Exit(code=output.ExitCode.INVALID)

    def __call__(self) -> None:
        """Run the command and exit with its code."""
        raise cappa.Exit(code=int(self.run()))

    def run(self) -> output.ExitCode:
        """Execute the command; return its exit code."""
        raise NotImplementedError


def watch(
    request: typing.Callable[[], client.Answer],
    printer: output.Printer,
    describe: typing.Callable[[client.Json], str],
    verdict: typing.Callable[[client.Json], output.ExitCode | None],
    timeout_s: float,
) -> output.ExitCode:
    """Poll and print progress until there is a verdict; return it.

    Polling continues while the node does not answer.
    """
    deadline_s = time.monotonic() + timeout_s
    last = ""
    while True:
        answer = request()
        if answer.is_ok():
            body = answer.unwrap()
            text = describe(body)
            if text != last:
                printer.line(text)
                last = text
            code = verdict(body)
            if code is not None:
                if printer.as_json:
                    printer.show(body)
                return code
        elif answer.unwrap_err().status == 404:
            return printer.fail(answer.unwrap_err())
        if time.monotonic() >= deadline_s:
            printer.line(f"no verdict within {timeout_s} s")
            return output.ExitCode.FAILED
        time.sleep(WATCH_PERIOD_S)
