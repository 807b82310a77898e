"""What the parts of a node that take events have in common."""

import abc
import collections.abc
import typing

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import serving
from fireflypulley.core import state

Actions = list[actions.Action]
Handle = collections.abc.Callable[[typing.Any, float], Actions]


class Handler(abc.ABC):
    """Takes some kinds of event."""

    def __init__(
        self, node: state.NodeState, requests: serving.Serving
    ) -> None:
        self._node = node
        self._serving = requests

    @abc.abstractmethod
    def handlers(self) -> dict[type[events.Event], Handle]:
        """Return what takes each kind of event."""

    def tick(self, now_s: float) -> Actions:
        """Do what is due."""
        return []

    def publish(self, fact: facts.Fact | None, now_s: float) -> Actions:
        """Take in a fact of this node and pass it on if it is news."""
        if fact is None or not self._node.shared.merge(fact, now_s):
            return []
        return [actions.Spread((fact,))]
