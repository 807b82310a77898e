"""Commands that show and follow the state of gateway nodes."""

import collections.abc
import concurrent.futures
import dataclasses
import enum
import http.client
import json
import time
import typing
import urllib.request

import cappa

from fireflypulley.cli import common
from fireflypulley.cli import output

TIMEOUT_S = 2.0
MAX_CONCURRENT_FETCHES = 16
Json = typing.Any


class Subject(enum.StrEnum):
    """A part of the status page that can be shown."""

    NODES = "nodes"
    CONFIGURATION = "configuration"
    ENDPOINTS = "endpoints"
    EVACUATIONS = "evacuations"
    ROLLOUTS = "rollouts"
    LIMITS = "limits"
    ENDPOINT_LIMITS = "endpoint-limits"
    REFUSED_PARTS = "refused-parts"
    REFUSALS = "refusals"


@dataclasses.dataclass(frozen=True)
class StatusPage:
    """A node's status page, or why it could not be read."""

    address: str
    body: Json = None
    problem: str = ""

    @property
    def node(self) -> str:
        """Return the node's name, or its address if the name is unknown."""
        if self.body is None:
            return self.address
        name: str = self.body["node"]["node"]
        return name


def fetch_page(address: str) -> StatusPage:
    """Return the status page of the node at a ``host:port``."""
    url = f"http://{address}/status"
    try:
        with urllib.request.urlopen(url, timeout=TIMEOUT_S) as reply:
            return StatusPage(address, json.load(reply))
    except (OSError, ValueError, http.client.HTTPException) as error:
        return StatusPage(address, None, str(error))


def fetch_pages(addresses: collections.abc.Sequence[str]) -> list[StatusPage]:
    """Return the status pages of several nodes, in the given order."""
    workers = min(MAX_CONCURRENT_FETCHES, len(addresses))
    with concurrent.futures.ThreadPoolExecutor(workers) as pool:
        return list(pool.map(fetch_page, addresses))


def rows(subject: Subject, page: StatusPage) -> list[Json]:
    """Return the rows of a node in the table of a subject."""
    if page.body is None:
        return [{"node": page.node, "problem": page.problem}]
    subject_rows = _ROWS[subject](page.body)
    return [{"node": page.node} | row for row in subject_rows]


def _node_rows(body: Json) -> list[Json]:
    node = dict(body["node"])
    node.pop("node")
    node["nodes_alive"] = len(node["nodes_alive"])
    node["nodes_known"] = len(node["nodes_known"])
    return [node]


def _evacuation_rows(body: Json) -> list[Json]:
    return [{"failure_domain": name} for name in body["evacuations"]]


def _refusal_rows(body: Json) -> list[Json]:
    counts = body["refused"]
    return [{"reason": name, "count": counts[name]} for name in sorted(counts)]


def _endpoint_limit_rows(body: Json) -> list[Json]:
    # Nodes of older versions do not keep these limits.
    return list(body.get("endpoint_limits", ()))


def _refused_part_rows(body: Json) -> list[Json]:
    # Nodes of older versions do not count crashes by prompt part.
    return list(body.get("refused_parts", ()))


_ROWS: dict[Subject, collections.abc.Callable[[Json], list[Json]]] = {
    Subject.NODES: _node_rows,
    Subject.CONFIGURATION: lambda body: [body["configuration"]],
    Subject.ENDPOINTS: lambda body: list(body["endpoints"]),
    Subject.EVACUATIONS: _evacuation_rows,
    Subject.ROLLOUTS: lambda body: list(body["rollouts"]),
    Subject.LIMITS: lambda body: list(body["limits"]),
    Subject.ENDPOINT_LIMITS: _endpoint_limit_rows,
    Subject.REFUSED_PARTS: _refused_part_rows,
    Subject.REFUSALS: _refusal_rows,
}


@dataclasses.dataclass(kw_only=True)
class _NodesCommand:
    """Base of the commands that read gateway nodes' status pages."""

    node: typing.Annotated[
        list[str],
        cappa.Arg(
            long="--node",
            help="HOST:PORT of a node's metrics; may be given repeatedly.",
        ),
    ]
    json: typing.Annotated[
        bool, cappa.Arg(long="--json", help="Print JSON.")
    ] = False

    def __call__(self) -> None:
        """Run the command and exit with its code."""
        raise cappa.Exit(code=int(self.run(output.Printer(self.json))))

    def run(self, printer: output.Printer) -> output.ExitCode:
        """Execute the command; return its exit code."""
        raise NotImplementedError


@cappa.command(name="show")
@dataclasses.dataclass(kw_only=True)
class Show(_NodesCommand):
    """Show a part of each node's status."""

    subject: Subject

    def run(self, printer: output.Printer) -> output.ExitCode:
        """Print the table."""
        pages = fetch_pages(self.node)
        printer.show(
            [row for page in pages for row in rows(self.subject, page)]
        )
        if all(page.body is None for page in pages):
            return output.ExitCode.UNREACHABLE
        return output.ExitCode.OK


@dataclasses.dataclass(kw_only=True)
class _WaitCommand(_NodesCommand):
    """Base of the commands that wait for a verdict."""

    timeout_s: typing.Annotated[
        float, cappa.Arg(long="--timeout-s", help="How long to wait.")
    ] = 60.0

    def run(self, printer: output.Printer) -> output.ExitCode:
        """Poll and print progress until there is a verdict."""
        deadline_s = time.monotonic() + self.timeout_s
        last = ""
        while True:
            text, verdict = self.check(fetch_pages(self.node))
            if text != last:
                printer.line(text)
                last = text
            if verdict is not None:
                return verdict
            if time.monotonic() >= deadline_s:
                printer.line(f"no verdict within {self.timeout_s} s")
                return output.ExitCode.FAILED
            time.sleep(common.WATCH_PERIOD_S)

    def check(
        self, pages: list[StatusPage]
    ) -> tuple[str, output.ExitCode | None]:
        """Return the progress, and the verdict or None."""
        raise NotImplementedError


@cappa.command(name="follow-rollout")
@dataclasses.dataclass(kw_only=True)
class FollowRollout(_WaitCommand):
    """Follow a service's rollout until it is done or undone.

    Exits with 0 when done, 3 when undone.
    """

    service: str

    def check(
        self, pages: list[StatusPage]
    ) -> tuple[str, output.ExitCode | None]:
        """Return the most advanced phase that any node reports."""
        rollouts = [
            rollout
            for page in pages
            if page.body is not None
            for rollout in page.body["rollouts"]
            if rollout["service"] == self.service
        ]
        if not rollouts:
            return f"{self.service}: no rollout", None
        last = max(
            rollouts, key=lambda rollout: _PHASES.index(rollout["phase"])
        )
        text = (
            f"{self.service} to {last['target']}: {last['phase']},"
            f" {last['answers']} answers,"
            f" {'bad' if last['is_bad'] else 'not bad'}"
        )
        return text, _VERDICTS.get(last["phase"])


_PHASES = ("trial", "moving", "done", "undone")
_VERDICTS = {
    "done": output.ExitCode.OK,
    "undone": output.ExitCode.UNDONE,
}


@cappa.command(name="follow-configuration")
@dataclasses.dataclass(kw_only=True)
class FollowConfiguration(_WaitCommand):
    """Wait until all nodes use a configuration version or a later one.

    A node that does not answer counts as behind.
    """

    version: int

    def check(
        self, pages: list[StatusPage]
    ) -> tuple[str, output.ExitCode | None]:
        """Return which nodes are behind."""
        behind = [
            page.node
            for page in pages
            if page.body is None
            or page.body["configuration"]["version"] < self.version
        ]
        if not behind:
            text = f"version {self.version} in force on {len(pages)} nodes"
            return text, output.ExitCode.OK
        return f"waiting for {', '.join(behind)}", None


@cappa.command(name="gateway")
@dataclasses.dataclass
class Gateway:
    """Show and follow the state of running gateway nodes."""

    command: cappa.Subcommands[Show | FollowRollout | FollowConfiguration]
