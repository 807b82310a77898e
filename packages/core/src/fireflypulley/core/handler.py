"""The base class of a node's event handlers."""

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
    """Handles some kinds of events."""

    def __init__(
        self, node: state.NodeState, requests: serving.Serving
    ) -> None:
        self._node = node
        self._serving = requests

    @abc.abstractmethod
    def handlers(self) -> dict[type[events.Event], Handle]:
        """Return the handler of each kind of event."""

    def tick(self, now_s: float) -> Actions:
        """Return the actions that are due."""
        return []

    def publish(self, fact: facts.Fact | None, now_s: float) -> Actions:
        """Apply a fact of this node and broadcast it if it is new."""
        if fact is None or not self._node.shared.merge(fact, now_s):
            return []
        return [actions.Spread((fact,))]
