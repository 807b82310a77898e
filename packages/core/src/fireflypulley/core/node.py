"""The single entry point to the decision logic of a node.

``Node.handle`` takes an event and the time, and returns actions.  The
daemon, the benchmarks and the fault matrix all drive it.
"""

from fireflypulley.core import config_handler
from fireflypulley.core import endpoint_handler
from fireflypulley.core import events
from fireflypulley.core import handler
from fireflypulley.core import job_handler
from fireflypulley.core import peer_handler
from fireflypulley.core import serving
from fireflypulley.core import state
from fireflypulley.core import topology


class Node:
    """The decision logic of one node."""

    def __init__(self, this: topology.Node, incarnation: int) -> None:
        self.state = state.create(this, incarnation)
        self.serving = serving.Serving(self.state)
        components = (self.state, self.serving)
        self._config = config_handler.ConfigHandler(*components)
        self._jobs = job_handler.JobHandler(*components)
        self._components: tuple[handler.Handler, ...] = (
            peer_handler.PeerHandler(*components, self._config),
            endpoint_handler.EndpointHandler(*components),
            self._config,
            self._jobs,
        )
        self._handlers: dict[type[events.Event], handler.Handle] = {
            events.RequestArrived: self.serving.arrived,
            events.CallerLeft: self.serving.caller_left,
            events.AttemptSent: self.serving.sent,
            events.AttemptFirstToken: self.serving.first_token,
            events.AttemptEnded: self.serving.ended,
            events.TransactionEnded: self._on_transaction,
            events.RowRead: self._on_row,
            events.Tick: self._on_tick,
        }
        for component in self._components:
            self._handlers |= component.handlers()

    def handle(self, event: events.Event, now_s: float) -> handler.Actions:
        """Handle one event; return the resulting actions, in order."""
        self.state.pauses.record_event(now_s)
        return self._handlers[type(event)](event, now_s)

    def ready(self, now_s: float) -> bool:
        """Return whether the load balancer should send requests here."""
        if self._jobs.shutting_down:
            return False
        if not self.state.config.total_version:
            return False
        return self.confirmed(now_s)

    def confirmed(self, now_s: float) -> bool:
        """Return whether the configuration is known to be current.

        The store must have responded recently, or a peer be connected.
        """
        if self._config.store_confirmed(now_s):
            return True
        return bool(self.state.members.connected)

    @property
    def idle(self) -> bool:
        """Return whether no request, ledger record or job is open."""
        open_work = len(self.serving) + len(self.state.ledger)
        return not open_work and not len(self.state.jobs)

    def _on_transaction(
        self, event: events.TransactionEnded, now_s: float
    ) -> handler.Actions:
        settled, todo = self.state.ledger.transaction_ended(event, now_s)
        return todo + self.serving.claims_settled(settled, now_s)

    def _on_row(self, event: events.RowRead, now_s: float) -> handler.Actions:
        settled, todo = self.state.ledger.row_read(event, now_s)
        return todo + self.serving.claims_settled(settled, now_s)

    def _on_tick(self, event: events.Tick, now_s: float) -> handler.Actions:
        settled, todo = self.state.ledger.tick(now_s)
        todo += self.serving.claims_settled(settled, now_s)
        for component in self._components:
            todo += component.tick(now_s)
        return todo + self.serving.tick(now_s)
