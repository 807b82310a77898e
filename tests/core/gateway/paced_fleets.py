"""Nodes that send to an endpoint which takes a rate of all together."""

import dataclasses

from fireflypulley.core.gateway import brittle_endpoints
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import node_shares

from . import builders
from . import fleets

COLD_PER_S = 9.1
REFUSALS_PER_S = 4.0
ENDPOINT = fleet.Member(builders.entry("e1"))
SECOND_S = 1.0
DELAY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request at the endpoint."""

    sent_s: float
    arrived_s: float


class ColdNode(fleets.Node):
    """A node whose only endpoint is cold."""

    def start(self, now_s, entries, is_first):
        """Start without a turn that was taken before."""
        super().start(now_s, entries, is_first)
        self.begin_pacing()

    def begin_pacing(self):
        """Forget what was sent."""
        self.pacer = node_shares.NodeShareLimiter(self.node_id)

    def _serve(self, sent_s, now_s, chance, is_failing):
        clock_s = now_s + self.clock_offset_s
        nodes = self.sharing.count(clock_s)
        if self.may_send(nodes, clock_s):
            # Those that wait for a frozen node arrive after it thawed.
            self.under_way_s.append(now_s + chance.random() * DELAY_S)

    def may_send(self, nodes, clock_s):
        """Return whether a request may be sent, and count it."""
        target = ("e1", COLD_PER_S, nodes, clock_s)
        if not self.pacer.may_send(*target):
            return False
        self.pacer.note_sent(*target)
        return True


class BrittleNode(ColdNode):
    """A node whose only endpoint is brittle and full."""

    def begin_pacing(self):
        """Forget what was sent."""
        self.brittle = brittle_endpoints.BrittleEndpoints(self.node_id)

    def may_send(self, nodes, clock_s):
        """Return whether a request may be sent, and count it."""
        self.brittle.note_answer("s", REFUSALS_PER_S, clock_s)
        running = ENDPOINT.registration.slots
        target = (ENDPOINT, running, nodes, clock_s)
        if not self.brittle.may_send(*target):
            return False
        self.brittle.note_sent(*target)
        return True


class ColdFleet(fleets.Fleet):
    """Nodes of which all want to send to the endpoint."""

    node_type = ColdNode

    def __init__(self, seed, nodes, per_s):
        self.arrivals = []
        super().__init__(seed, nodes, per_s)

    def _arrive(self, due_s):
        self.arrivals.append(Arrival(due_s, self.now_s))

    @property
    def most_in_a_second(self):
        """Return how many were sent and arrived in the worst second.

        Of what was under way while its node stood still only those count
        whose time came in the second.
        """
        return max(
            sum(
                first.sent_s <= one.sent_s
                and one.arrived_s < first.sent_s + SECOND_S
                for one in self.arrivals
            )
            for first in self.arrivals
        )


class BrittleFleet(ColdFleet):
    """Nodes whose only endpoint is brittle and full."""

    node_type = BrittleNode
