"""What callers, endpoints and the operator saw in a run.

All moments are seconds of the monotonic clock that the processes share.
"""

import collections.abc
import dataclasses
import functools
import json
import math
import pathlib
import typing

from fireflystandins.soak import callers
from fireflystandins.soak import plan

_Kinds = collections.abc.Set[plan.Kind]


@dataclasses.dataclass
class Happening:
    """A strike as it was performed."""

    strike: plan.Strike
    began_s: float
    ended_s: float = math.inf
    exit_code: int | None = None


@dataclasses.dataclass
class Run:
    """A run of a request at an endpoint; ``how`` it ended.

    That is whole, failed, lost (by its connection), dropped (by a strike),
    cut (by itself) or empty: it began behind the last event and so ended
    without one.  ``last`` is the event after which it was to go on.
    """

    request_id: str
    endpoint: str
    began_s: float
    how: str = ""
    ended_s: float = math.inf
    events: int = 0
    name: str = ""
    last: int = 0
    flaw: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class DutyCall:
    """A call of a duty, as the cloud saw it; ``window`` is a report's."""

    duty: str
    subject: str
    holder: str
    token: int
    at_s: float
    content: str = ""
    window: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """A version of the configuration, and when the operator wrote it."""

    number: int
    began_s: float
    written_s: float
    routes: frozenset[str]
    has_key: bool = True


@dataclasses.dataclass
class Evidence:
    """All that was seen."""

    plan: plan.Plan
    answers: list[callers.Answer] = dataclasses.field(default_factory=list)
    happenings: list[Happening] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    duty_calls: list[DutyCall] = dataclasses.field(default_factory=list)
    versions: list[Version] = dataclasses.field(default_factory=list)
    copies: int = 0
    """Late copies of answers that endpoints wrote."""
    leaves: dict[str, float] = dataclasses.field(default_factory=dict)
    """When the entry of an endpoint was removed."""
    exits: dict[str, float] = dataclasses.field(default_factory=dict)
    own_ends: list[tuple[str, float, int]] = dataclasses.field(
        default_factory=list
    )
    """Nodes that ended by themselves: name, moment, exit code."""
    samples: dict[str, list[tuple[float, int, int]]] = dataclasses.field(
        default_factory=dict
    )
    """By process: the moment, resident bytes, open descriptors."""

    @functools.cached_property
    def _runs_by_id(self) -> dict[str, list[Run]]:
        by_id: dict[str, list[Run]] = {}
        for run in self.runs:
            by_id.setdefault(run.request_id, []).append(run)
        return by_id

    def runs_of(self, request_id: str) -> list[Run]:
        """Return the runs of a request."""
        return self._runs_by_id.get(request_id, [])

    @functools.cached_property
    def _answers_by_id(self) -> dict[str, callers.Answer]:
        return {answer.request_id: answer for answer in self.answers}

    def chain_of(self, answer: callers.Answer) -> list[callers.Answer]:
        """Return the answers that one goes on with, the first one first."""
        chain: list[callers.Answer] = []
        while answer.follows:
            answer = self._answers_by_id[answer.follows]
            chain.insert(0, answer)
        return chain

    def has_empty_run(self, answer: callers.Answer) -> bool:
        """Return whether an endpoint ended its run of a request too early.

        It said that the end was whole, and sent no event.
        """
        return any(
            run.how == "empty" for run in self.runs_of(answer.request_id)
        )

    def performed(self, kind: plan.Kind) -> list[Happening]:
        """Return the strikes of a kind."""
        return [one for one in self.happenings if one.strike.kind is kind]

    def was_disturbed(
        self, from_s: float, to_s: float, kinds: _Kinds, target: str = ""
    ) -> bool:
        """Return whether a strike overlaps a span, on a target if named."""
        return any(
            one.strike.kind in kinds
            and one.strike.target in (target or one.strike.target,)
            and one.began_s <= to_s
            and one.ended_s >= from_s
            for one in self.happenings
        )

    def was_path_struck(
        self, endpoint: str, from_s: float, to_s: float, how: str = ""
    ) -> bool:
        """Return whether the links of all nodes to an endpoint were struck.

        An endpoint that took another's place is named after that.
        """
        return any(
            one.strike.target == endpoint.partition("n")[0]
            and one.strike.how in (how or one.strike.how,)
            and one.began_s <= to_s
            and one.ended_s >= from_s
            for one in self.performed(plan.Kind.PATH)
        )

    def broke_off(self, run: Run, ended_s: float) -> bool:
        """Return whether an endpoint may have ended a run by itself."""
        exited_s = self.exits.get(run.endpoint, math.inf)
        failed = frozenset({plan.Kind.FAIL, plan.Kind.FLAW})
        has_exited = run.began_s <= exited_s <= ended_s and run.how != "whole"
        was_cut = self.was_path_struck(
            run.endpoint, run.began_s, ended_s, "reset"
        )
        has_ended = has_exited or was_cut or run.how in ("dropped", "cut")
        return has_ended or self.was_disturbed(run.began_s, ended_s, failed)

    def read_duty(
        self, duty: str, calls: list[dict[str, typing.Any]], offset_s: float
    ) -> None:
        """Add a duty's calls; ``offset_s`` is their clock less this one."""
        for call in calls:
            self.duty_calls.append(
                DutyCall(
                    duty,
                    f"{call.get('service', '')} {call.get('zone', '')}",
                    call["holder"],
                    call["fencing"],
                    call["at_s"] - offset_s,
                    json.dumps(call.get("counts"), sort_keys=True),
                    str(call.get("window-id", "")),
                )
            )

    def read_endpoint(self, name: str, log: pathlib.Path) -> None:
        """Add what an endpoint wrote of its runs and its end."""
        open_runs: dict[str, list[Run]] = {}
        by_name: dict[str, Run] = {}
        for line in log.read_text().splitlines():
            if not line.startswith("{"):
                continue
            fields = json.loads(line)
            at_s = fields["at_s"]
            if "left" in fields:
                self.leaves[name] = at_s
            elif "exited" in fields:
                self.exits[name] = at_s
            elif "run" in fields:
                run = Run(fields["run"], name, at_s)
                run.name, run.last = fields["name"], fields["last"]
                by_name[run.name] = run
                self.runs.append(run)
                open_runs.setdefault(run.request_id, []).append(run)
            elif "flaw" in fields:
                by_name[fields["name"]].flaw = fields["flaw"]
            elif "copied" in fields:
                self.copies += 1
            elif open_runs.get(fields["end"]):
                run = open_runs[fields["end"]].pop(0)
                run.how, run.ended_s = fields["how"], at_s
                run.events = fields["events"]
