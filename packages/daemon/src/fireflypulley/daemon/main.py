"""The command ``fireflypulleyd``."""

import dataclasses
import pathlib
import signal
import sys
import typing

import cappa
from twisted.internet import defer
from twisted.internet import reactor

from fireflypulley.core import findings
from fireflypulley.daemon import app
from fireflypulley.daemon import logs
from fireflypulley.daemon import settings
from fireflypulley.transport import steady_time


@cappa.command(name="fireflypulleyd")
@dataclasses.dataclass
class Daemon:
    """Serve callers as one node of fireflypulley."""

    settings: typing.Annotated[
        pathlib.Path, cappa.Arg(help="The INI file of settings.")
    ]


def _run(config: settings.Settings) -> int:
    steady_time.install(reactor)
    logs.open_log(config.node.log_file, config.node.node_id)
    daemon = app.App(reactor, config)
    failed: list[str] = []

    def give_up(reason: typing.Any) -> None:
        failed.append(reason.getErrorMessage())
        reactor.stop()

    def begin() -> None:
        starting = defer.ensureDeferred(daemon.start())
        starting.addErrback(give_up)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(
                signal_number,
                lambda *_: reactor.callFromThread(daemon.shut_down),
            )

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    for problem in failed:
        print(f"fireflypulleyd: {problem}", file=sys.stderr)
    return 1 if failed else 0


def main() -> None:
    """Run the daemon; exit with 2 if the settings are invalid."""
    options = cappa.parse(Daemon)
    try:
        config = settings.load(options.settings)
    except findings.InvalidInput as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    sys.exit(_run(config))
