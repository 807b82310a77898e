"""Command line: ``python -m fireflystandins soak``."""

import asyncio
import dataclasses
import itertools
import pathlib
import sys
import tempfile
import typing

import cappa
import pydantic

from fireflystandins.soak import checks
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence
from fireflystandins.soak import plan
from fireflystandins.soak import report
from fireflystandins.soak import scenarios
from fireflystandins.soak import session
from fireflystandins.soak import shrink
from fireflystandins.soak import system

EXIT_BROKEN = 1
EXIT_INPUT = 2
REST_S = 16.0
_Judged = list[tuple[base.Checker, base.Verdict]]


def play(
    folder: pathlib.Path, played: plan.Plan
) -> tuple[evidence.Evidence, _Judged]:
    """Play a plan in a folder and judge what was seen."""
    with system.running(folder, played) as running:
        seen = asyncio.run(session.play(running))
        running.collect_runs()
        running.collect_duties()
    return seen, [(one, one.judge(seen)) for one in checks.create()]


def shorten(
    folder: pathlib.Path, played: plan.Plan, rule: str
) -> pathlib.Path:
    """Save the shortest plan found that breaks a rule; return its path."""
    folders = (folder / f"shorter-{n}" for n in itertools.count(1))

    def is_broken(shorter: plan.Plan) -> bool:
        into = next(folders)
        _, judged = play(into, shorter)
        shorter.save(into / "plan.json")
        broken = {checker.rule for checker, found in judged if found.breaks}
        told = ", ".join(sorted(broken)) or "nothing"
        print(f"{into.name}: {len(shorter.strikes)} strikes broke {told}")
        return rule in broken

    path = folder / "shorter.json"
    shrink.Shrinker(is_broken).shorten(played).save(path)
    return path


@cappa.command(name="soak")
@dataclasses.dataclass
class Soak:
    """Play seeded disruptions to real processes and check the rules."""

    seed: typing.Annotated[int, cappa.Arg(long="--seed")] = 1
    seeds: typing.Annotated[
        int, cappa.Arg(long="--seeds", help="How many, from --seed on.")
    ] = 1
    nodes: typing.Annotated[int, cappa.Arg(long="--nodes")] = 4
    lasts_s: typing.Annotated[float, cappa.Arg(long="--lasts-s")] = 45.0
    rest_s: typing.Annotated[
        float,
        cappa.Arg(
            long="--rest-s",
            help="How much longer callers go on than --lasts-s or a"
            " scenario says, so that RECOVER has something to judge.",
        ),
    ] = REST_S
    in_turn: typing.Annotated[
        bool,
        cappa.Arg(long="--in-turn", help="Stop six nodes one by one."),
    ] = False
    scenario: typing.Annotated[
        str,
        cappa.Arg(
            long="--scenario",
            help="Streams that meet one of: " + ", ".join(scenarios.NAMES),
        ),
    ] = ""
    plan_file: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--plan", help="A saved plan to play instead."),
    ] = None
    shrink: typing.Annotated[
        bool,
        cappa.Arg(
            long="--shrink",
            help="Find shorter plans that break the first broken rule.",
        ),
    ] = False
    out: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--out", help="Folder for plans and logs."),
    ] = None

    def __call__(self) -> None:
        """Play each plan; exit with 1 if a rule was broken."""
        out = self.out or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        broken = [
            played.seed
            for played in self._plans()
            if self._has_break(out / f"seed-{played.seed}", played)
        ]
        print(f"{self.seeds} played, broken: {broken or 'none'}")
        if broken:
            raise cappa.Exit(code=EXIT_BROKEN)

    def _plans(self) -> list[plan.Plan]:
        if self.scenario and self.scenario not in scenarios.NAMES:
            print(f"no scenario {self.scenario!r}", file=sys.stderr)
            raise cappa.Exit(code=EXIT_INPUT)
        if self.plan_file is None:
            numbers = range(self.seed, self.seed + self.seeds)
            return [self._build(number) for number in numbers]
        try:
            return [plan.load(self.plan_file)]
        except (OSError, pydantic.ValidationError) as problem:
            print(problem, file=sys.stderr)
            raise cappa.Exit(code=EXIT_INPUT)

    def _build(self, seed: int) -> plan.Plan:
        played = self._draw(seed)
        lasts_s = played.lasts_s + self.rest_s
        return dataclasses.replace(played, lasts_s=lasts_s)

    def _draw(self, seed: int) -> plan.Plan:
        if self.scenario:
            return scenarios.build(self.scenario, seed)
        if self.in_turn:
            return plan.stops_in_turn(seed, plan.Load(), silent=True)
        return plan.build(seed, self.nodes, self.lasts_s)

    def _has_break(self, folder: pathlib.Path, played: plan.Plan) -> bool:
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / "plan.json"
        played.save(path)
        seen, judged = play(folder, played)
        print(f"seed {played.seed}, {len(played.strikes)} strikes")
        print(report.table(judged))
        print(report.summary(seen))
        breaks = [one for _, verdict in judged for one in verdict.breaks]
        for one in breaks[: report.MAX_BREAKS_SHOWN]:
            print(report.describe(seen, one, folder))
        for one in breaks[report.MAX_BREAKS_SHOWN :]:
            print(f"{one.rule} {one.request_id} at {one.node}: {one.text}")
        if not breaks:
            return False
        print(f"again: python -m fireflystandins soak --plan {path}")
        if self.shrink:
            first = min(breaks, key=lambda one: one.at_s)
            shorter = shorten(folder, played, first.rule)
            print(f"shorter, for {first.rule}: {shorter}")
        return True
