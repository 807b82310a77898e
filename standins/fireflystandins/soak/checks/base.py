"""What all checkers share."""

import abc
import dataclasses

from fireflystandins.soak import callers
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

CONTACT_S = 3.0
UNPLANNED = frozenset({plan.Kind.KILL, plan.Kind.PAUSE, plan.Kind.LINK})
STREAM_ROUTES = frozenset({"stream", "resumed"})
REPEATABLE_ROUTES = frozenset({"resumed", "fetch"})
UNJUDGED = frozenset({"left", "crossed", ""})


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


def of(checker: Checker, answer: callers.Answer, text: str) -> Break:
    """Return the break of a rule by an answer."""
    return Break(
        checker.rule, answer.ended_s, text, answer.node, answer.request_id
    )
