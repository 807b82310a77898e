"""What operators have asked for, as the highest versions seen.

Each entry is one row of the platform's table.  An entry never gives way
to one of a lower version, so a late message cannot take a change back.
"""

import dataclasses
import enum

from fireflypulley.core import facts
from fireflypulley.core import topology


class EntryKind(enum.StrEnum):
    """The kinds of row."""

    TEMPLATE = "template"
    WORKSPACE = "workspace"
    DOMAIN = "domain"
    ROLLOUT = "rollout"


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service that a workspace reaches.

    ``move_by_s`` is the Unix time by which a move to ``version`` is done
    or undone; ``slow_after_s`` is the time to the first token, or to the
    answer of a plain service, beyond which an answer counts as slow.
    """

    name: str
    kind: topology.ServiceKind
    version: str
    move_within_s: float = 3600.0
    slow_after_s: float = 0.33


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Requests of one shape to one service."""

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
    """A template filled in for one workspace.

    ``weight`` is the workspace's fair share against the others' weights.
    """

    template: str
    parameters: tuple[tuple[str, str], ...]
    token_sha256: tuple[str, ...]
    weight: float
    services: tuple[Service, ...]
    routes: tuple[Route, ...]

    def service(self, name: str) -> Service | None:
        """Return the service of that name."""
        return next((s for s in self.services if s.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True)
class Domain:
    """A failure domain that operators took out or brought back."""

    drained: bool
    changed_s: float


class RolloutState(enum.StrEnum):
    """Where a rollout stands; the last two are final."""

    RUNNING = "running"
    DONE = "done"
    UNDONE = "undone"


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """A move of one workspace's service from one version to another.

    ``step`` indexes the share schedule; times are Unix times.
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
        """Return whether the verdict has been given."""
        return self.state is not RolloutState.RUNNING


Body = Template | Workspace | Domain | Rollout


@dataclasses.dataclass(frozen=True, slots=True)
class Entry(facts.Fact):
    """One row with its version, passed on between nodes as a fact."""

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
    """The entries in force on this node."""

    def __init__(self) -> None:
        self._entries: dict[tuple[EntryKind, str], Entry] = {}
        self._tokens: dict[str, str] = {}
        self._drained: frozenset[str] = frozenset()

    def merge(self, entry: Entry) -> bool:
        """Put an entry in force; return False for an old version."""
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
        """Return the entry in force."""
        return self._entries.get((kind, name))

    def of_kind(self, kind: EntryKind) -> list[Entry]:
        """Return the entries of a kind, by name."""
        entries = [e for (k, _), e in self._entries.items() if k is kind]
        return sorted(entries, key=lambda entry: entry.name)

    @property
    def drained_domains(self) -> frozenset[str]:
        """Return the failure domains that get no new work."""
        return self._drained

    @property
    def total_version(self) -> int:
        """Return a number that grows with every change in force."""
        return sum(entry.version for entry in self._entries.values())

    def workspace_of_token(self, token_sha256: str) -> str | None:
        """Return the workspace that a caller's token belongs to."""
        return self._tokens.get(token_sha256)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace in force."""
        entry = self.get(EntryKind.WORKSPACE, name)
        if entry is None or not isinstance(entry.body, Workspace):
            return None
        return entry.body

    def rollout(self, workspace: str, service: str) -> Rollout | None:
        """Return the last rollout of a workspace's service."""
        name = rollout_name(workspace, service)
        entry = self.get(EntryKind.ROLLOUT, name)
        if entry is None or not isinstance(entry.body, Rollout):
            return None
        return entry.body

    def rollouts(self) -> list[Rollout]:
        """Return all rollouts, running and ended."""
        bodies = [e.body for e in self.of_kind(EntryKind.ROLLOUT)]
        return [body for body in bodies if isinstance(body, Rollout)]
