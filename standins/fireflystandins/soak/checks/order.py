"""A stream's events, in the order in which they come."""

import collections.abc
import dataclasses
import itertools
import re

from fireflystandins.soak import callers
from fireflystandins.soak.checks import base
from fireflystandins.soak import evidence

EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) (\S+) (\d+) x*\n\n")


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
        for found in EVENT.finditer(answer.body)
    ]


class Order(base.Checker):
    """Events that are missing, come twice, in another order or mixed.

    An answer may go on with another run where the route lets a stream be
    resumed, but not with one that it has left.  An answer that goes on for a
    caller that came back begins after the last event that the caller has.
    """

    rule = "ORDER"
    sentence = "a stream's events come once, in order, to the last"

    def judge(self, seen: evidence.Evidence) -> base.Verdict:
        checked, breaks = 0, []
        for answer in seen.answers:
            if answer.route not in base.STREAM_ROUTES or answer.status != 200:
                continue
            checked += 1
            problem = self._find_problem(seen, answer)
            if problem:
                breaks.append(base.of(self, answer, problem))
        return base.Verdict(checked, breaks)

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
        if len(runs) > 1 and answer.route not in base.REPEATABLE_ROUTES:
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
