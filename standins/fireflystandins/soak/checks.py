"""The checkers of the rules that need no prices.

Each judges what callers, endpoints and the operator saw, and nothing that a
node says of itself.
"""

import abc
import collections
import collections.abc
import dataclasses
import itertools
import re

from fireflystandins.soak import answers
from fireflystandins.soak import callers
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

CONTACT_S = 3.0
UNPLANNED = frozenset({plan.Kind.KILL, plan.Kind.PAUSE, plan.Kind.LINK})
STREAM_ROUTES = frozenset({"stream", "resumed"})
REPEATABLE_ROUTES = frozenset({"resumed", "fetch"})
_UNJUDGED = frozenset({"left", "crossed", ""})
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+) x*\n\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Break:
    """A broken rule: when it was seen, at which node, in what request."""

    rule: str
    at_s: float
    text: str
    node: str = ""
    request_id: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """How often a rule was checked, and its breaks."""

    checked: int
    breaks: list[Break]


class Checker(abc.ABC):
    """Judges one rule; ``sentence`` says it in the project's words."""

    rule = ""
    sentence = ""

    @abc.abstractmethod
    def judge(self, seen: evidence.Evidence) -> Verdict:
        """Return the verdict on the evidence of a run."""


class Lost(Checker):
    """Answers that end early around a SIGTERM of their node.

    A request that reached no endpoint counts if its connection ended later
    than ``slack_s`` after it was sent: a node in touch has read it by then.
    """

    rule = "LOST"
    sentence = "a stop of a node ends no answer early"
    after_grace_s = 1.0
    accepts_s = 3.0
    slack_s = 0.2

    def judge(self, seen: evidence.Evidence) -> Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            stop = self._find_stop(seen, answer)
            if stop is None or answer.how in _UNJUDGED:
                continue
            if not self._was_read(seen, answer):
                continue
            checked += 1
            if answer.how == "whole" or self._is_excused(seen, answer, stop):
                continue
            after_s = answer.ended_s - stop.began_s
            text = (
                f"{answer.route} by a {answer.style} caller: {answer.how},"
                f" status {answer.status}, {len(answer.body)} bytes,"
                f" {after_s:.2f} s after SIGTERM,"
                f" {answer.ended_s - answer.sent_s:.2f} s after it was sent"
            )
            breaks.append(_of(self, answer, text))
        return Verdict(checked, breaks)

    def _was_read(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> bool:
        if answer.status or seen.runs_of(answer.request_id):
            return True
        waited_s = answer.ended_s - answer.sent_s
        return answer.sent_s > 0 and waited_s > self.slack_s

    def _find_stop(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> evidence.Happening | None:
        until_s = seen.plan.grace_s + self.after_grace_s
        for happening in seen.performed(plan.Kind.STOP):
            since_s = answer.ended_s - happening.began_s
            is_its_node = happening.strike.target == answer.node
            if is_its_node and 0 <= since_s <= until_s:
                return happening
        return None

    def _is_excused(
        self,
        seen: evidence.Evidence,
        answer: callers.Answer,
        stop: evidence.Happening,
    ) -> bool:
        runs = seen.runs_of(answer.request_id)
        took_s = answer.ended_s - answer.sent_s
        if took_s >= callers.DEADLINE_MS / 1000:
            return True
        if seen.was_disturbed(
            answer.sent_s - CONTACT_S, answer.ended_s, UNPLANNED
        ):
            return True
        late_s = stop.began_s + seen.plan.grace_s * 5 / 6
        is_early = answer.sent_s <= stop.began_s + self.accepts_s
        if is_early and any(run.ended_s >= late_s for run in runs):
            return True
        return any(seen.broke_off(run, answer.ended_s) for run in runs)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An event that a caller got: its id, its run and its number there."""

    event_id: int
    run: str
    number: int


def find_events(answer: callers.Answer) -> list[Event]:
    """Return the whole events of an answer."""
    return [
        Event(int(found[1]), found[3].decode(), int(found[4]))
        for found in _EVENT.finditer(answer.body)
    ]


class Order(Checker):
    """Events that are missing, come twice, in another order or mixed.

    An answer may go on with another run where the route lets a stream be
    resumed, but not with one that it has left.  An answer that goes on for a
    caller that came back begins after the last event that the caller has.
    """

    rule = "ORDER"
    sentence = "a stream's events come once, in order, to the last"

    def judge(self, seen: evidence.Evidence) -> Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            if answer.route not in STREAM_ROUTES or answer.status != 200:
                continue
            checked += 1
            problem = self._find_problem(seen, answer)
            if problem:
                breaks.append(_of(self, answer, problem))
        return Verdict(checked, breaks)

    def _find_problem(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> str:
        events = find_events(answer)
        last, total = self._find_last(seen, answer), seen.plan.load.events
        ids = [event.event_id for event in events]
        expected = list(range(last + 1, last + 1 + len(ids)))
        told = _describe_events(events)
        if ids != expected:
            return f"events {told} after {last}"
        if any(event.event_id != event.number for event in events):
            return f"events {told} with other numbers"
        runs = [run for run, _ in itertools.groupby(e.run for e in events)]
        if len(set(runs)) < len(runs):
            return f"events {told}: back to a run"
        if len(runs) > 1 and answer.route not in REPEATABLE_ROUTES:
            return f"events {told}: two runs"
        is_short = answer.how == "whole" and last + len(ids) != total
        if is_short and not seen.has_empty_run(answer):
            return f"complete after {last + len(ids)} of {total} events"
        return ""

    def _find_last(
        self, seen: evidence.Evidence, answer: callers.Answer
    ) -> int:
        """Return the last event that the caller had before an answer."""
        chain = seen.chain_of(answer)
        ids = [event.event_id for one in chain for event in find_events(one)]
        return ids[-1] if ids else 0


def _describe_events(events: collections.abc.Iterable[Event]) -> str:
    """Return the event numbers of each run, in their order."""
    parts = []
    for run, found in itertools.groupby(events, lambda event: event.run):
        ids = [event.event_id for event in found]
        parts.append(f"{ids[0]}-{ids[-1]} ({len(ids)}) of {run}")
    return ", ".join(parts) or "none"


class Mixed(Checker):
    """Answers of another request or of no endpoint, or not whole.

    An answer that looks complete and isn't has no excuse but that its
    endpoint gave it so: a run without an event that said it was whole.
    """

    rule = "MIXED"
    sentence = "a caller gets its own answer, as its endpoint gave it"

    def judge(self, seen: evidence.Evidence) -> Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            if not answer.status and answer.how != "invalid":
                continue
            checked += 1
            events = seen.plan.load.events - answer.last
            problem = self._find_problem(answer, events)
            if problem and seen.has_empty_run(answer):
                events = len(find_events(answer))
                problem = self._find_problem(answer, events)
            if problem:
                breaks.append(_of(self, answer, problem))
        return Verdict(checked, breaks)

    def _find_problem(self, answer: callers.Answer, events: int) -> str:
        if answer.how == "invalid":
            return "bytes that are no answer"
        if answer.names not in ("", answer.request_id):
            return f"an answer to {answer.names}"
        if not 200 <= answer.status < 300:
            return ""
        if not answer.seal:
            return "a success without a seal"
        if answer.route in STREAM_ROUTES:
            return self._find_event_problem(answer, events)
        expected = answers.expected_body(answer.request_id)
        if answer.how == "whole" and answer.body != expected:
            return f"the body {answer.body[:60]!r}"
        return ""

    def _find_event_problem(self, answer: callers.Answer, events: int) -> str:
        found = list(_EVENT.finditer(answer.body))
        others = {one[2] for one in found} - {answer.request_id.encode()}
        if others:
            return f"events of {others}"
        size = sum(len(one[0]) for one in found)
        if answer.how != "whole":
            return ""
        if len(found) != events or size != len(answer.body):
            return f"success with {len(found)} of {events} events"
        return ""


class Twice(Checker):
    """Requests with an effect that run more than once."""

    rule = "TWICE"
    sentence = "a request with an effect runs once at most"

    def judge(self, seen: evidence.Evidence) -> Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            if answer.route in REPEATABLE_ROUTES:
                continue
            checked += 1
            runs = seen.runs_of(answer.request_id)
            if len(runs) > 1:
                places = ", ".join(run.endpoint for run in runs)
                breaks.append(_of(self, answer, f"ran at {places}"))
        return Verdict(checked, breaks)


class Repeats(Checker):
    """Arrivals beyond the first of each request."""

    rule = "BUDGET"
    sentence = "repeats stay within the share of requests, and the slack"
    ratio = 0.2
    window_s = 10.0
    slack = 19

    def judge(self, seen: evidence.Evidence) -> Verdict:
        checked, breaks = 0, []
        for service in ("s", "r"):
            runs = [
                run for run in seen.runs if run.endpoint.startswith(service)
            ]
            routes = STREAM_ROUTES
            if service == "r":
                routes = frozenset({"fetch", "file"})
            sent_s = [
                answer.sent_s
                for answer in seen.answers
                if answer.route in routes and answer.sent_s
            ]
            for at_s in _find_repeats(runs):
                checked += 1
                problem = self._find_excess(at_s, runs, sent_s)
                if problem:
                    breaks.append(Break(self.rule, at_s, problem))
                    break
        return Verdict(checked, breaks)

    def _find_excess(
        self,
        at_s: float,
        runs: collections.abc.Sequence[evidence.Run],
        sent_s: list[float],
    ) -> str:
        """Judge the window that begins at a repeat."""
        repeats = sum(
            at_s <= moment_s < at_s + self.window_s
            for moment_s in _find_repeats(runs)
        )
        most = max(
            sum(start <= moment < start + self.window_s for moment in sent_s)
            for start in (
                at_s,
                at_s - self.window_s / 2,
                at_s - self.window_s,
            )
        )
        allowed = self.ratio * most + self.slack
        if repeats <= allowed:
            return ""
        return f"{repeats} repeats in 10 s, {allowed:.1f} allowed"


def _find_repeats(
    runs: collections.abc.Iterable[evidence.Run],
) -> list[float]:
    known: set[str] = set()
    moments_s = []
    for run in sorted(runs, key=lambda run: run.began_s):
        if run.request_id in known:
            moments_s.append(run.began_s)
        known.add(run.request_id)
    return moments_s


class Drain(Checker):
    """Requests that reach an endpoint after its entry was removed."""

    rule = "DRAIN"
    sentence = "an endpoint that leaves is asked no more after drain-ms"
    drain_s = 2.0
    write_s = 0.1
    """The store has the removal by then."""

    def judge(self, seen: evidence.Evidence) -> Verdict:
        breaks = []
        nodes = {answer.request_id: answer.node for answer in seen.answers}
        for run in seen.runs:
            left_s = seen.leaves.get(run.endpoint)
            if left_s is None or run.began_s < left_s:
                continue
            late_s = run.began_s - left_s - self.write_s
            node = nodes.get(run.request_id, "")
            if late_s <= self.drain_s or self._is_excused(
                seen, left_s, run.began_s, node
            ):
                continue
            text = f"{run.endpoint} asked {late_s:.2f} s after it left"
            breaks.append(
                Break(self.rule, run.began_s, text, node, run.request_id)
            )
        return Verdict(len(seen.leaves), breaks)

    def _is_excused(
        self,
        seen: evidence.Evidence,
        left_s: float,
        began_s: float,
        node: str,
    ) -> bool:
        kinds = UNPLANNED | {plan.Kind.STOP}
        since_s = left_s - CONTACT_S
        return seen.was_disturbed(
            since_s, began_s, frozenset({plan.Kind.STORE})
        ) or seen.was_disturbed(since_s, began_s, kinds, node)


class OwnEnds(Checker):
    """Processes that end by themselves."""

    rule = "OWN-END"
    sentence = "a node ends only when it is told to, and then in order"

    def judge(self, seen: evidence.Evidence) -> Verdict:
        breaks = [
            Break(self.rule, at_s, f"{name} ended, exit code {code}", name)
            for name, at_s, code in seen.own_ends
        ]
        stops = seen.performed(plan.Kind.STOP)
        for happening in stops:
            code = happening.exit_code
            if code and not self._is_excused(seen, happening):
                name = happening.strike.target
                text = f"exit code {code} after SIGTERM"
                breaks.append(Break(self.rule, happening.began_s, text, name))
        return Verdict(len(stops) + len(seen.samples), breaks)

    def _is_excused(
        self, seen: evidence.Evidence, stop: evidence.Happening
    ) -> bool:
        """Return whether the node was paused while it stopped."""
        paused = frozenset({plan.Kind.PAUSE})
        name = stop.strike.target
        until_s = stop.began_s + seen.plan.grace_s
        return seen.was_disturbed(stop.began_s, until_s, paused, name)


class Growth(Checker):
    """Memory and descriptors beyond the limits of a process."""

    rule = "GROWTH"
    sentence = "a node stays within its memory and descriptors"
    memory_bytes = 300 << 20
    descriptors = 4100

    def judge(self, seen: evidence.Evidence) -> Verdict:
        checked, breaks = 0, []
        for key, rows in seen.samples.items():
            checked += len(rows)
            at_s, memory, descriptors = max(rows, key=lambda row: row[1:])
            if memory > self.memory_bytes or descriptors > self.descriptors:
                text = f"{key}: {memory >> 20} MiB, {descriptors} descriptors"
                node = key.partition("/")[0]
                breaks.append(Break(self.rule, at_s, text, node))
        return Verdict(checked, breaks)


def _of(checker: Checker, answer: callers.Answer, text: str) -> Break:
    return Break(
        checker.rule, answer.ended_s, text, answer.node, answer.request_id
    )


def create() -> list[Checker]:
    """Return all checkers."""
    return [
        Lost(),
        Order(),
        Mixed(),
        Twice(),
        Repeats(),
        Drain(),
        OwnEnds(),
        Growth(),
    ]
