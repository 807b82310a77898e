"""Accepts the connections of a node's callers."""

from twisted.internet import interfaces
from twisted.internet import protocol

from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import node_limits
from fireflypulley.gateway import caller_connection
from fireflypulley.gateway import inbound
from fireflypulley.gateway import memory_log
from fireflypulley.gateway import send_queue
from fireflypulley.transport import memory
from fireflypulley.transport import open_callers


class CallerFactory(protocol.Factory):
    """Builds connections from callers, which share what may be held."""

    noisy = False

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        receiver: inbound.RequestReceiver,
        bounds: caller_ends.CallerBounds = caller_ends.CallerBounds(),
        budget: memory.MemoryBudget | None = None,
        max_connections: int = node_limits.NodeLimits().caller_connections,
    ) -> None:
        self._reactor = reactor
        self._receiver = receiver
        self.held = send_queue.HeldBytes(bounds, budget)
        if budget is None:
            budget = memory.MemoryBudget(
                reactor,
                node_limits.NodeLimits().held_bytes,
                memory_log.let_give_up,
            )
        self._callers = open_callers.OpenCallers(budget, max_connections)

    def buildProtocol(
        self, addr: interfaces.IAddress
    ) -> caller_connection.CallerConnection:
        return caller_connection.CallerConnection(
            self._reactor, self._receiver, self.held, self._callers
        )
