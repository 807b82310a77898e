"""Feeds events to the core and executes its actions."""

import collections
import collections.abc
import traceback
import typing

from fireflypulley.core import actions
from fireflypulley.core import events
from fireflypulley.core import node
from fireflypulley.daemon import clock
from fireflypulley.daemon import logs

_Handler = collections.abc.Callable[[typing.Any], None]


class Driver:
    """The event loop of the core.

    An event that is fed while an action is executed is queued, so that
    the core is never re-entered.
    """

    def __init__(self, core: node.Node, time: clock.Clock) -> None:
        self.core = core
        self._time = time
        self._pending: collections.deque[events.Event] = collections.deque()
        self._running = False
        self.failed_actions = 0
        self._handlers: dict[type[actions.Action], _Handler] = {
            actions.StateChanged: logs.state_changed,
        }

    def set_handler(
        self, kind: type[actions.Action], handler: _Handler
    ) -> None:
        """Set the function that executes a kind of action."""
        self._handlers[kind] = handler

    def now_s(self) -> float:
        """Return the Unix time."""
        return self._time.now_s()

    def feed(self, event: events.Event) -> None:
        """Pass an event to the core and execute the resulting actions."""
        self._pending.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._pending:
                self._step(self._pending.popleft())
        finally:
            self._running = False

    def _step(self, event: events.Event) -> None:
        for action in self.core.handle(event, self._time.now_s()):
            self._execute(action)

    def _execute(self, action: actions.Action) -> None:
        """Execute an action; an error in it does not affect the others."""
        try:
            self._handlers[type(action)](action)
        except Exception:
            self.failed_actions += 1
            name = type(action).__name__
            logs.note("action", name, "failed", traceback.format_exc())
