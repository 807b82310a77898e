"""The operators' configuration, at the highest versions seen.

Each entry is one row of the platform's table.  An entry is never
replaced by a lower version, so a late message cannot revert a change.
"""

import dataclasses
import enum

from fireflypulley.core import facts
from fireflypulley.core import topology


class EntryKind(enum.StrEnum):
    """The kinds of rows."""

    TEMPLATE = "template"
    WORKSPACE = "workspace"
    DOMAIN = "domain"
    ROLLOUT = "rollout"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that a workspace may call.

    ``move_within_s`` limits the duration of a rollout to ``version``: it
    is then complete or rolled back.  ``slow_after_s`` is the time to the
    first token, or to the response of a plain service, above which a
    response counts as slow.
    """

    name: str
    kind: topology.ServiceKind
    version: str
    move_within_s: float = 3600.0
    slow_after_s: float = 0.33


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A path of one service and how requests to it are treated."""

    name: str
    service: str
    path: str = "/"
    methods: tuple[str, ...] = ()
    at_most_once: bool = False
    deadline_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Template:
    """The text of a template."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A template rendered for one workspace.

    ``weight`` is the workspace's fair share relative to the weights of
    the other workspaces.
    """

    template: str
    parameters: tuple[tuple[str, str], ...]
    token_sha256: tuple[str, ...]
    weight: float
    services: tuple[Service, ...]
    routes: tuple[Route, ...]

    def service(self, name: str) -> Service | None:
        """Return the service of that name, or None."""
        return next((s for s in self.services if s.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """A failure domain that operators drained or restored."""

    drained: bool
    changed_s: float


class RolloutState(enum.StrEnum):
    """The state of a rollout; the last two are final."""

    RUNNING = "running"
    DONE = "done"
    UNDONE = "undone"


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """The move of one workspace's service from one version to another.

    ``step`` indexes the schedule of shares; times are Unix times.
    """

    rollout_id: str
    workspace: str
    service: str
    from_version: str
    to_version: str
    started_s: float
    deadline_s: float
    step: int
    step_since_s: float
    state: RolloutState
    reason: str = ""

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self.state is not RolloutState.RUNNING


Body = Template | Workspace | Domain | Rollout


@dataclasses.dataclass(frozen=True, slots=True)
class Entry(facts.Fact):
    """One row with its version, shared between nodes as a fact."""

    kind: EntryKind
    name: str
    version: int
    operation_id: str
    body: Template | Workspace | Domain | Rollout

    @property
    def key(self) -> tuple[str, ...]:
        return ("entry", self.kind.value, self.name)

    @property
    def rank(self) -> tuple[float, ...]:
        return (self.version,)


def rollout_name(workspace: str, service: str) -> str:
    """Return the row name of a workspace's rollout of a service."""
    return f"{workspace}.{service}"


class Configuration:
    """The entries in effect on this node."""

    def __init__(self) -> None:
        self._entries: dict[tuple[EntryKind, str], Entry] = {}
        self._tokens: dict[str, str] = {}
        self._drained: frozenset[str] = frozenset()

    def merge(self, entry: Entry) -> bool:
        """Apply an entry; return False if its version is not newer."""
        key = (entry.kind, entry.name)
        known = self._entries.get(key)
        if known is not None and known.version >= entry.version:
            return False
        self._entries[key] = entry
        self._index(entry, known)
        return True

    def _index(self, entry: Entry, known: Entry | None) -> None:
        if isinstance(entry.body, Workspace):
            if known is not None and isinstance(known.body, Workspace):
                for token in known.body.token_sha256:
                    self._tokens.pop(token, None)
            for token in entry.body.token_sha256:
                self._tokens[token] = entry.name
        elif isinstance(entry.body, Domain):
            others = self._drained - {entry.name}
            changed = {entry.name} if entry.body.drained else set()
            self._drained = others | changed

    def get(self, kind: EntryKind, name: str) -> Entry | None:
        """Return the entry in effect, or None."""
        return self._entries.get((kind, name))

    def of_kind(self, kind: EntryKind) -> list[Entry]:
        """Return the entries of a kind, sorted by name."""
        entries = [e for (k, _), e in self._entries.items() if k is kind]
        return sorted(entries, key=lambda entry: entry.name)

    @property
    def drained_domains(self) -> frozenset[str]:
        """Return the failure domains that receive no new requests."""
        return self._drained

    @property
    def total_version(self) -> int:
        """Return a number that grows with every change applied."""
        return sum(entry.version for entry in self._entries.values())

    def workspace_of_token(self, token_sha256: str) -> str | None:
        """Return the workspace of a caller's token, or None."""
        return self._tokens.get(token_sha256)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace in effect, or None."""
        entry = self.get(EntryKind.WORKSPACE, name)
        if entry is None or not isinstance(entry.body, Workspace):
            return None
        return entry.body

    def rollout(self, workspace: str, service: str) -> Rollout | None:
        """Return the latest rollout of a workspace's service, or None."""
        name = rollout_name(workspace, service)
        entry = self.get(EntryKind.ROLLOUT, name)
        if entry is None or not isinstance(entry.body, Rollout):
            return None
        return entry.body

    def rollouts(self) -> list[Rollout]:
        """Return all rollouts, running and ended."""
        bodies = [e.body for e in self.of_kind(EntryKind.ROLLOUT)]
        return [body for body in bodies if isinstance(body, Rollout)]
