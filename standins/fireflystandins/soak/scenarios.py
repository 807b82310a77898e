"""Plans of streams that meet one kind of disruption, or all at once."""

import collections.abc
import dataclasses
import random

from fireflystandins.soak import plan
from fireflystandins.soak import streams

NODES = 3
ENDPOINTS = 4
LASTS_S = 24.0
LAST_STRIKE_S = LASTS_S - 4.0
COUNT = 7
REGISTRY = "r1"
CHANGED_S = 9.5
STALL_S = 12.0
_PATHS = ("silent", "unanswered", "unheard", "slow", "reset", "refused")
_STORES = ("restored", "restored", "busy", "silent", "lost", "compacted")
_CHANGED = ("resumed", "stream", "fetch", "file")
STREAMS = plan.Load(
    callers=10,
    pause_s=0.1,
    styles=("whole",),
    routes=("resumed", "resumed", "stream"),
    events=40,
    event_ms=30,
    unframed_share=0.3,
)
_CUTS = (streams.Flaw.CLOSED, streams.Flaw.RESET, streams.Flaw.BEHIND_LAST)
_Strikes = collections.abc.Iterator[plan.Strike]


def _moments(chance: random.Random, count: int = COUNT) -> list[float]:
    drawn = [
        chance.uniform(plan.SETTLE_S, LAST_STRIKE_S) for _ in range(count)
    ]
    return [round(at_s, 2) for at_s in sorted(drawn)]


def _endpoint(chance: random.Random) -> str:
    return f"s{chance.randint(1, ENDPOINTS)}"


def _flaws(*flaws: streams.Flaw) -> _Strikes:
    """All endpoints have flaws from the first moment to the last."""
    for number in range(1, ENDPOINTS + 1):
        for flaw in flaws:
            yield plan.Strike(
                1.0, plan.Kind.FLAW, f"s{number}", LASTS_S, flaw.value
            )


def _cuts(chance: random.Random) -> _Strikes:
    yield from _flaws(*_CUTS)


def _drops(chance: random.Random) -> _Strikes:
    for at_s in _moments(chance):
        for_s = chance.choice((0.0, 0.3, plan.DROPPED_S))
        how = chance.choice(("order", "order", "reset"))
        target = _endpoint(chance)
        yield plan.Strike(at_s, plan.Kind.DROP, target, for_s, how)


def _silences(chance: random.Random) -> _Strikes:
    for at_s in _moments(chance):
        for_s = round(chance.uniform(0.8, 2.5), 2)
        yield plan.Strike(at_s, plan.Kind.SILENCE, _endpoint(chance), for_s)


def _copies(chance: random.Random) -> _Strikes:
    yield from _flaws(*streams.COPIES)


def _nodes(chance: random.Random) -> _Strikes:
    kinds = (plan.Kind.STOP, plan.Kind.KILL, plan.Kind.PAUSE)
    for at_s in _moments(chance):
        name = f"node{chance.randint(1, NODES)}"
        for_s = round(chance.uniform(0.5, 3.0), 2)
        yield plan.Strike(at_s, chance.choice(kinds), name, for_s)


def _callers(chance: random.Random) -> _Strikes:
    yield from _drops(chance)


def _resumes(chance: random.Random) -> _Strikes:
    yield from _flaws(*_CUTS, *streams.RESUME_FLAWS)


def _all(chance: random.Random) -> _Strikes:
    """All but wrong resumes."""
    yield from _flaws(*_CUTS, *streams.COPIES)
    for draw in (_drops, _silences, _nodes):
        yield from draw(chance)


def _configs(chance: random.Random) -> _Strikes:
    """A route and the key go and come back; a node is struck meanwhile.

    One change at a time, for longer than CONFIG lets nodes learn of it.
    """
    targets = [chance.choice(_CHANGED), ""]
    chance.shuffle(targets)
    for turn, target in enumerate(targets):
        at_s = plan.SETTLE_S + turn * (CHANGED_S + 0.5)
        yield plan.Strike(at_s, plan.Kind.CONFIG, target, CHANGED_S)
    yield next(_nodes(chance))


def _limits(chance: random.Random) -> _Strikes:
    """Endpoints name limits; nodes are struck meanwhile."""
    for target in ("s1", "s2", REGISTRY):
        at_s = round(plan.SETTLE_S + chance.random(), 2)
        rate = chance.choice((1, 2, 4))
        yield plan.Strike(
            at_s, plan.Kind.LIMIT, target, LAST_STRIKE_S - 6.0, times=rate
        )
    yield from list(_nodes(chance))[:3]


def _quotas(chance: random.Random) -> _Strikes:
    """The workspace has a limit; nodes are struck."""
    yield from _nodes(chance)


def _calls(chance: random.Random) -> _Strikes:
    """The links of callers to a node are struck, nodes are stopped."""
    for at_s in _moments(chance):
        name = f"node{chance.randint(1, NODES)}"
        for_s = round(chance.uniform(0.3, 3.0), 2)
        how = chance.choice(_PATHS)
        yield plan.Strike(at_s, plan.Kind.CALL, name, for_s, how)
    yield from list(_nodes(chance))[:2]


def _stalls(chance: random.Random) -> _Strikes:
    """All endpoints stand still for longer than any route's time."""
    at_s = round(plan.SETTLE_S + chance.random(), 2)
    for number in range(1, ENDPOINTS + 1):
        yield plan.Strike(at_s, plan.Kind.SILENCE, f"s{number}", STALL_S)
    for name in plan.REGISTRIES:
        yield plan.Strike(at_s, plan.Kind.SILENCE, name, STALL_S)


def _stores(chance: random.Random) -> _Strikes:
    """The store is away, forgets and goes back; nodes and endpoints end."""
    for at_s in _moments(chance):
        for_s = round(chance.uniform(0.5, 3.0), 2)
        how = chance.choice(_STORES)
        yield plan.Strike(at_s, plan.Kind.STORE, "store", for_s, how)
    for at_s in _moments(chance, 2):
        yield plan.Strike(
            at_s, plan.Kind.LEAVE, _endpoint(chance), 3.0, "order"
        )
    yield from list(_nodes(chance))[:4]


def _paths(chance: random.Random) -> _Strikes:
    """The links of all nodes to an endpoint are struck, nodes are stopped."""
    for at_s in _moments(chance, 2 * COUNT):
        for_s = round(chance.uniform(0.3, 3.0), 2)
        how = chance.choice(_PATHS)
        yield plan.Strike(at_s, plan.Kind.PATH, _endpoint(chance), for_s, how)
    for at_s in _moments(chance, 2):
        name = f"node{chance.randint(1, NODES)}"
        yield plan.Strike(at_s, plan.Kind.STOP, name)


_DRAWS: dict[str, collections.abc.Callable[[random.Random], _Strikes]] = {
    "cuts": _cuts,
    "drops": _drops,
    "silences": _silences,
    "copies": _copies,
    "nodes": _nodes,
    "callers": _callers,
    "resumes": _resumes,
    "configs": _configs,
    "limits": _limits,
    "quotas": _quotas,
    "paths": _paths,
    "stores": _stores,
    "stalls": _stalls,
    "calls": _calls,
    "all": _all,
}
NAMES = tuple(_DRAWS)
_READING = ("slow", "leaving", "whole", "early")
_UNFRAMED = {"copies": 0.0}
"""With answers without a length, no connection carries two of any kind."""
_ROUTES = {
    "configs": ("resumed", "stream", "fetch", "file"),
    "limits": ("resumed", "stream", "fetch", "fetch", "file"),
    "quotas": ("resumed", "fetch", "file"),
    "paths": ("resumed", "stream", "fetch", "file"),
    "stores": ("resumed", "stream", "fetch", "file"),
    "stalls": ("resumed", "stream", "fetch", "file"),
    "calls": ("resumed", "stream", "fetch", "file"),
}
_QUOTAS = {"quotas": 20.0}
_STYLES = {"callers": _READING, "all": ("whole", "whole", *_READING)}


def build(name: str, seed: int) -> plan.Plan:
    """Return the plan of a scenario and a seed."""
    strikes = _DRAWS[name](random.Random(f"{name} {seed}"))
    load = dataclasses.replace(
        STREAMS,
        styles=_STYLES.get(name, STREAMS.styles),
        unframed_share=_UNFRAMED.get(name, STREAMS.unframed_share),
        event_bytes=1000 if name == "callers" else STREAMS.event_bytes,
        routes=_ROUTES.get(name, STREAMS.routes),
        limit_per_s=_QUOTAS.get(name, 0.0),
        limit_burst=_QUOTAS.get(name, 0.0),
    )
    ordered = sorted(strikes, key=lambda strike: strike.at_s)
    return plan.Plan(seed, NODES, ENDPOINTS, LASTS_S, load, tuple(ordered))
