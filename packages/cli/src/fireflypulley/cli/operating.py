"""Commands for rollouts, failure domains and the state of nodes."""

import dataclasses
import typing

import cappa

from fireflypulley.cli import client
from fireflypulley.cli import common
from fireflypulley.cli import output

_Timeout = typing.Annotated[
    float, cappa.Arg(long="--timeout-s", help="Give up after this time.")
]


@dataclasses.dataclass
class _RolloutCommand(common.Command):
    workspace: str
    service: str

    def _get(self) -> client.Answer:
        path = ("rollouts", self.workspace, self.service)
        return self.connect().get(*path)


@cappa.command(name="start")
@dataclasses.dataclass
class RolloutStart(_RolloutCommand):
    """Move a workspace's service to another version.

    Example: fireflypulley rollout start court shorthand --to v2
    """

    to: typing.Annotated[str, cappa.Arg(long="--to")]
    within_s: typing.Annotated[float | None, cappa.Arg(long="--within-s")] = (
        None
    )

    def run(self) -> output.ExitCode:
        body = {"version": self.to, "within_s": self.within_s}
        path = ("rollouts", self.workspace, self.service)
        return self.printer.end(self.connect().post(body, *path))


@cappa.command(name="status")
@dataclasses.dataclass
class RolloutStatus(_RolloutCommand):
    """Print a rollout."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self._get())


@cappa.command(name="watch")
@dataclasses.dataclass
class RolloutWatch(_RolloutCommand):
    """Follow a rollout; exits with 0 when done and 3 when undone."""

    timeout_s: _Timeout = 86_400.0

    def run(self) -> output.ExitCode:
        return common.watch(
            self._get,
            self.printer,
            _rollout_text,
            _rollout_verdict,
            self.timeout_s,
        )


def _rollout_text(entry: client.Json) -> str:
    body = entry["body"]
    text = f"{body['from_version']} -> {body['to_version']}"
    text += f": {body['state']}, step {body['step']}"
    return text + (f" ({body['reason']})" if body["reason"] else "")


def _rollout_verdict(entry: client.Json) -> output.ExitCode | None:
    verdicts = {
        "done": output.ExitCode.OK,
        "undone": output.ExitCode.UNDONE,
    }
    return verdicts.get(entry["body"]["state"])


@cappa.command(name="abort")
@dataclasses.dataclass
class RolloutAbort(_RolloutCommand):
    """Abort a rollout and revert to the old version."""

    def run(self) -> output.ExitCode:
        path = ("rollouts", self.workspace, self.service)
        return self.printer.end(self.connect().delete(*path))


@cappa.command(name="list")
@dataclasses.dataclass
class RolloutList(common.Command):
    """List the last rollout of each workspace and service."""

    def run(self) -> output.ExitCode:
        answer = self.connect().get("rollouts")
        return self.printer.end(answer.map(_bodies))


def _bodies(entries: client.Json) -> client.Json:
    return [entry["body"] for entry in entries]


@cappa.command(name="rollout")
@dataclasses.dataclass
class Rollout:
    """Roll out new versions of services."""

    command: cappa.Subcommands[
        RolloutStart
        | RolloutStatus
        | RolloutWatch
        | RolloutAbort
        | RolloutList
    ]


@dataclasses.dataclass
class _DomainCommand(common.Command):
    name: str

    def _set(self, drained: bool) -> output.ExitCode:
        body = {"drained": drained}
        answer = self.connect().post(body, "domains", self.name)
        return self.printer.end(answer)


@cappa.command(name="drain")
@dataclasses.dataclass
class DomainDrain(_DomainCommand):
    """Stop sending new work to a failure domain.

    Example: fireflypulley domain drain dakar-a
    """

    def run(self) -> output.ExitCode:
        return self._set(True)


@cappa.command(name="restore")
@dataclasses.dataclass
class DomainRestore(_DomainCommand):
    """Send new work to a drained failure domain again."""

    def run(self) -> output.ExitCode:
        return self._set(False)


@cappa.command(name="status")
@dataclasses.dataclass
class DomainStatus(_DomainCommand):
    """Print a failure domain."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("domains", self.name))


@cappa.command(name="list")
@dataclasses.dataclass
class DomainList(common.Command):
    """List the failure domains."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("domains"))


@cappa.command(name="watch")
@dataclasses.dataclass
class DomainWatch(_DomainCommand):
    """Follow a drain until the queried node has no requests there."""

    timeout_s: _Timeout = 3600.0

    def run(self) -> output.ExitCode:
        return common.watch(
            lambda: self.connect().get("domains", self.name),
            self.printer,
            _domain_text,
            _domain_verdict,
            self.timeout_s,
        )


def _domain_text(body: client.Json) -> str:
    state = "drained" if body["drained"] else "in use"
    return f"{body['name']}: {state}, {body['own_requests']} requests"


def _domain_verdict(body: client.Json) -> output.ExitCode | None:
    if body["drained"] and body["own_requests"]:
        return None
    return output.ExitCode.OK


@cappa.command(name="domain")
@dataclasses.dataclass
class Domain:
    """Drain and restore failure domains."""

    command: cappa.Subcommands[
        DomainDrain | DomainRestore | DomainStatus | DomainList | DomainWatch
    ]


@cappa.command(name="list")
@dataclasses.dataclass
class EndpointList(common.Command):
    """List the endpoints that a node knows."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("endpoints"))


@cappa.command(name="endpoint")
@dataclasses.dataclass
class Endpoint:
    """Show endpoints."""

    command: cappa.Subcommands[EndpointList]


@cappa.command(name="list")
@dataclasses.dataclass
class NodeList(common.Command):
    """List the nodes that a node knows."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("nodes"))


@cappa.command(name="node")
@dataclasses.dataclass
class Node:
    """Show nodes."""

    command: cappa.Subcommands[NodeList]


@cappa.command(name="show")
@dataclasses.dataclass
class RequestShow(common.Command):
    """Print an open request of the queried node."""

    request_id: str

    def run(self) -> output.ExitCode:
        client_ = self.connect()
        return self.printer.end(client_.get("requests", self.request_id))


@cappa.command(name="request")
@dataclasses.dataclass
class Request:
    """Show requests."""

    command: cappa.Subcommands[RequestShow]


@cappa.command(name="status")
@dataclasses.dataclass
class Status(common.Command):
    """Print the state of the queried node."""

    def run(self) -> output.ExitCode:
        return self.printer.end(self.connect().get("status"))
