"""A plan: the system, its callers and the strikes, as data from a seed."""

import enum
import pathlib
import random

import pydantic
import pydantic.dataclasses

DOMAINS = "aabbcd"
REGISTRIES = ("r1", "r2", "r3")
SETTLE_S = 4.0
"""No strike comes earlier after the start of the callers."""
SILENCE_S = 1.4
GAPS_S = (0.5, 2.0, 6.0)
"""Between strikes; shorter than most of them last, so that they overlap."""
DROPPED_S = 2.0
MAX_DROPS = 3
ALL_SHARE = 0.25
"""Share of stops and silences that strike all nodes or endpoints at once."""


class Kind(enum.StrEnum):
    """What a strike does to its target."""

    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"
    STORE = "store"
    SILENCE = "silence"
    LEAVE = "leave"
    FAIL = "fail"
    LINK = "link"
    DROP = "drop"
    FLAW = "flaw"
    CONFIG = "config"
    LIMIT = "limit"
    PATH = "path"
    CALL = "call"


_APART = frozenset(
    {Kind.DROP, Kind.FLAW, Kind.CONFIG, Kind.LIMIT, Kind.PATH, Kind.CALL}
)
_DRAWN = tuple(kind for kind in Kind if kind not in _APART)
"""Kinds in series; drops are drawn apart, others are in scenarios only."""


@pydantic.dataclasses.dataclass(frozen=True)
class Strike:
    """One strike; its moment counts from the start of the callers.

    ``for_s`` is how long a pause, a silence or a fault of the store or of a
    node's link to it lasts, how old the copy is that a ``restored`` store
    goes back to, how long an endpoint that leaves serves on, or
    how long one that dropped its connections refuses new ones.
    ``how`` is the fault of the store, of a link (a node's to the store, a
    path of all nodes to an endpoint, or a call's way to a node) or of an
    endpoint, the flaw
    of its streams, or how it exits or drops its connections.  A change of
    the configuration takes the route ``target`` or, without one, the key
    away, and a limit of ``times`` requests a second is named, for ``for_s``.
    """

    at_s: float
    kind: Kind
    target: str = ""
    for_s: float = 0.0
    how: str = ""
    times: int = 1


@pydantic.dataclasses.dataclass(frozen=True)
class Load:
    """The callers of one node: how many, how fast, and the streams asked.

    ``styles`` are drawn from for each caller.
    """

    callers: int = 8
    pause_s: float = 0.3
    styles: tuple[str, ...] = ("whole", "whole", "slow", "early", "leaving")
    events: int = 42
    event_ms: int = 55
    event_bytes: int = 65
    routes: tuple[str, ...] = ("resumed", "stream", "fetch", "file")
    unframed_share: float = 0.2
    slow_pause_s: float = 0.05
    """A slow caller rests this long after each part of 4 KiB."""
    returns: int = 2
    """How often a caller comes back for the rest of a stream."""
    limit_per_s: float = 0.0
    """Of the callers' workspace, with a burst; 0 for none."""
    limit_burst: float = 0.0


@pydantic.dataclasses.dataclass(frozen=True)
class Plan:
    """All that a run does."""

    seed: int
    nodes: int
    endpoints: int
    lasts_s: float
    load: Load
    strikes: tuple[Strike, ...]
    grace_s: int = 8

    def targets(self, kind: Kind) -> frozenset[str]:
        """Return what strikes of a kind strike."""
        struck = [one for one in self.strikes if one.kind is kind]
        return frozenset(one.target for one in struck)

    def save(self, path: pathlib.Path) -> None:
        """Write the plan to a file."""
        path.write_bytes(_ADAPTER.dump_json(self, indent=1))


_ADAPTER = pydantic.TypeAdapter(Plan)


def load(path: pathlib.Path) -> Plan:
    """Return the plan in a file; raise ``pydantic.ValidationError``."""
    return _ADAPTER.validate_json(path.read_bytes())


def node_names(plan: Plan) -> list[str]:
    """Return the names of the nodes."""
    return [f"node{number}" for number in range(1, plan.nodes + 1)]


def endpoint_names(plan: Plan) -> list[str]:
    """Return the names of the endpoints that stream."""
    return [f"s{number}" for number in range(1, plan.endpoints + 1)]


def domain(number: int) -> str:
    """Return the failure domain of the node or endpoint of a number."""
    return DOMAINS[(number - 1) % len(DOMAINS)]


def build(
    seed: int, nodes: int = 6, lasts_s: float = 45.0, endpoints: int = 6
) -> Plan:
    """Return the plan of a seed: strikes in series, some overlapping."""
    chance = random.Random(seed)
    names = [f"node{number}" for number in range(1, nodes + 1)]
    sources = [f"s{number}" for number in range(1, endpoints + 1)]
    strikes: list[Strike] = []
    at_s = SETTLE_S
    while at_s < lasts_s - 12:
        strikes.extend(_draw(chance, at_s, names, sources))
        at_s += chance.choice(GAPS_S)
    strikes.extend(_draw_drops(seed, lasts_s, [*sources, *REGISTRIES]))
    return Plan(
        seed,
        nodes,
        endpoints,
        lasts_s,
        Load(
            callers=chance.choice((4, 8, 12)),
            pause_s=chance.choice((0.1, 0.3)),
            event_bytes=chance.choice((65, 65, 2000)),
        ),
        tuple(sorted(strikes, key=lambda strike: strike.at_s)),
    )


def _draw(
    chance: random.Random, at_s: float, names: list[str], sources: list[str]
) -> list[Strike]:
    at_s = round(at_s + chance.random(), 2)
    node, source = chance.choice(names), chance.choice(sources)
    for_s = round(chance.uniform(0.5, 4.0), 2)
    kind = chance.choice((Kind.STOP, Kind.STOP, *_DRAWN))
    if kind is Kind.STORE:
        how = chance.choice(("busy", "silent", "lost", "compacted"))
        return [Strike(at_s, kind, "store", for_s, how)]
    strikes_all = chance.random() < ALL_SHARE
    if kind is Kind.LINK:
        how = chance.choice(("silent", "unanswered", "reset"))
        return [Strike(at_s, kind, node, for_s, how)]
    if kind is Kind.SILENCE:
        struck = sources if strikes_all else [source]
        return [Strike(at_s, kind, name, SILENCE_S) for name in struck]
    if kind is Kind.LEAVE:
        how = chance.choice(("order", "reset"))
        return [Strike(at_s, kind, source, 2.0 + for_s, how)]
    if kind is Kind.FAIL:
        how = chance.choice(("shed", "errors", "reset", "crossed"))
        source = chance.choice((*sources, *REGISTRIES))
        return [Strike(at_s, kind, source, how=how, times=20)]
    struck = names if strikes_all and kind is Kind.STOP else [node]
    return [Strike(at_s, kind, name, for_s) for name in struck]


def _draw_drops(seed: int, lasts_s: float, sources: list[str]) -> list[Strike]:
    """Draw from a generator of their own, so that old seeds stay theirs."""
    chance = random.Random(f"drops {seed}")
    count = chance.randint(0, MAX_DROPS)
    moments_s = [chance.uniform(SETTLE_S, lasts_s - 12) for _ in range(count)]
    return [
        Strike(round(at_s, 2), Kind.DROP, chance.choice(sources), DROPPED_S)
        for at_s in moments_s
    ]


def stops_in_turn(
    seed: int,
    load: Load,
    between_s: float = 10.0,
    silent: bool = False,
    leaving: bool = True,
    how: str = "order",
) -> Plan:
    """Return case 2 of the incident: endpoints leave, each node is stopped.

    Before each SIGTERM three endpoints leave within a second and serve on
    for longer than the time in which nodes must stop asking them.
    """
    chance = random.Random(seed)
    strikes: list[Strike] = []
    for turn, number in enumerate((5, 6, 4, 1, 3, 2)):
        at_s = SETTLE_S + turn * between_s
        names = chance.sample(range(1, 12), 3)
        for step, source in enumerate(names):
            moment_s = round(at_s - 2 + step * 0.4, 2)
            if leaving:
                strikes.append(
                    Strike(moment_s, Kind.LEAVE, f"s{source}", 4.0, how)
                )
        if silent:
            other = chance.randrange(1, 12)
            strikes.append(
                Strike(at_s - 1, Kind.SILENCE, f"s{other}", SILENCE_S)
            )
        strikes.append(Strike(at_s, Kind.STOP, f"node{number}"))
    return Plan(seed, 6, 11, SETTLE_S + 6 * between_s, load, tuple(strikes))
