"""The command ``fireflypulley``."""

import dataclasses

import cappa

from fireflypulley.cli import configuring
from fireflypulley.cli import gateways
from fireflypulley.cli import operating
from fireflypulley.cli import tracing


@cappa.command(name="fireflypulley")
@dataclasses.dataclass
class Main:
    """Operate fireflypulley."""

    command: cappa.Subcommands[
        configuring.Template
        | configuring.Workspace
        | operating.Rollout
        | operating.Domain
        | operating.Endpoint
        | operating.Node
        | operating.Request
        | operating.Status
        | configuring.Settings
        | tracing.Trace
        | gateways.Gateway
    ]


def main() -> None:
    """Run one command."""
    cappa.invoke(Main)
