"""Gets permits for limited endpoints from the one node that issues them.

The node that holds the duty issues, so never two at a time.  Nodes without
a stream to it ask through others.  While no node issues, each uses an
equal part of an endpoint's limit.
"""

import abc
import collections
import collections.abc
import dataclasses
import secrets

from twisted.internet import defer
from twisted.internet import interfaces

from fireflypulley.core.gateway import endpoint_limits
from fireflypulley.core.gateway import node_shares
from fireflypulley.core.gateway import peer_numbers
from fireflypulley.core.gateway import permit_gate
from fireflypulley.core.gateway import permit_issuer
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import sharing
from fireflypulley.nodes import messages

FEATURE = "permits"
ASK_TIMEOUT_S = 0.15
UNANSWERED_WAIT_S = 0.25
MAX_WAIT_S = sharing.MAX_NODES / node_shares.MIN_RATE_PER_S
"""An issuer that reaches only itself has a permit in less."""
MAX_PATH_NODES = 3
REMEMBERED_REQUESTS = 1000
REQUEST_NUMBER_BITS = 48
UNANSWERED = permit_gate.Permit(
    UNANSWERED_WAIT_S, permit_gate.PermitReason.UNANSWERED
)


class PermitSource(abc.ABC):
    """Decides whether a request may go to a limited endpoint."""

    @abc.abstractmethod
    def request(
        self, limit: endpoint_limits.EndpointLimit
    ) -> defer.Deferred[permit_gate.Permit]:
        """Ask for a permit; the result comes within ``ASK_TIMEOUT_S``."""


class PermitLinks(abc.ABC):
    """The streams to the other nodes."""

    @property
    @abc.abstractmethod
    def node_id(self) -> str:
        """Return this node's id."""

    @property
    @abc.abstractmethod
    def issuer(self) -> str | None:
        """Return the live node that claims the duty, None if there is none."""

    @abc.abstractmethod
    def next_hops(self, node_id: str) -> list[str]:
        """Return the nodes to send a message for a node to."""

    @abc.abstractmethod
    def send_one(self, node_id: str, message: messages.Message) -> None:
        """Send a message on the stream to a node, if there is one."""


class PermitBroker(PermitSource):
    """Asks for permits, passes on what others ask, and issues.

    ``term`` returns the fencing number while this node holds the duty,
    else None.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        term: collections.abc.Callable[[], int | None],
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._term = term
        self._issuer = permit_issuer.PermitIssuer()
        self._links: PermitLinks | None = None
        self._part: node_shares.NodeShareLimiter | None = None
        # Numbers of an earlier start of this node must not come again.
        self._request_number = secrets.randbits(REQUEST_NUMBER_BITS)
        self._waiting: dict[int, defer.Deferred[permit_gate.Permit]] = {}
        self._answered: collections.deque[tuple[str, int]]
        self._answered = collections.deque(maxlen=REMEMBERED_REQUESTS)
        self.counts: collections.Counter[permit_gate.PermitReason]
        self.counts = collections.Counter()

    def attach(self, links: PermitLinks) -> None:
        """Use the streams to other nodes from now on."""
        self._links = links
        self._part = node_shares.NodeShareLimiter(links.node_id)

    def tick(self) -> None:
        """Drop what is kept for endpoints that are gone."""
        self._issuer.forget_absent(
            {member.registration.key for member in self._scheduler.fleet}
        )

    # Requests of this node

    def request(
        self, limit: endpoint_limits.EndpointLimit
    ) -> defer.Deferred[permit_gate.Permit]:
        """Ask the issuer, or use this node's part while there is none."""
        term = self._term()
        links = self._links
        if links is None:
            # The other nodes are not known, and neither is this one's part.
            return self._answer_now(UNANSWERED)
        if term is not None:
            wait_s = self._issue(limit, term)
            return self._answer_now(_permit(wait_s, links.node_id))
        issuer = links.issuer
        if issuer is None:
            return self._answer_now(self._use_part(limit))
        return self._ask(limit, issuer, links)

    def _answer_now(
        self, permit: permit_gate.Permit
    ) -> defer.Deferred[permit_gate.Permit]:
        self.counts[permit.reason] += 1
        return defer.succeed(permit)

    def _use_part(
        self, limit: endpoint_limits.EndpointLimit
    ) -> permit_gate.Permit:
        """Use this node's part.

        An issuer that is only out of touch divides the limit by the nodes
        it reaches, so the sum exceeds it by what is issued in the second
        before both notice.
        """
        now_s = self._reactor.seconds()
        assert self._part is not None
        target = (
            limit.endpoint_id,
            limit.rate_per_s or 0.0,
            self._scheduler.nodes_known,
            now_s,
        )
        wait_s = self._part.wait_s(*target)
        if wait_s > 0.0:
            return permit_gate.Permit(
                wait_s, permit_gate.PermitReason.PART_USED
            )
        self._part.note_sent(*target)
        return permit_gate.Permit(0.0, permit_gate.PermitReason.PART)

    def _ask(
        self,
        limit: endpoint_limits.EndpointLimit,
        issuer: str,
        links: PermitLinks,
    ) -> defer.Deferred[permit_gate.Permit]:
        self._request_number += 1
        number = self._request_number
        answer: defer.Deferred[permit_gate.Permit] = defer.Deferred()
        self._waiting[number] = answer
        timer = self._reactor.callLater(
            ASK_TIMEOUT_S, self._answer, number, UNANSWERED
        )
        answer.addCallback(self._note_answered, timer)
        request = messages.PermitRequest(number, limit, (links.node_id,))
        for node_id in links.next_hops(issuer):
            links.send_one(node_id, request)
        return answer

    def _note_answered(
        self, permit: permit_gate.Permit, timer: interfaces.IDelayedCall
    ) -> permit_gate.Permit:
        if timer.active():
            timer.cancel()
        self.counts[permit.reason] += 1
        return permit

    def _answer(self, number: int, permit: permit_gate.Permit) -> None:
        """Complete a request; a late answer finds none and is dropped."""
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            waiting.callback(permit)

    # Requests of other nodes

    def receive_request(self, message: messages.PermitRequest) -> None:
        """Issue a permit, or pass the request on to the issuer.

        Raise ``BadNumber`` if the limit that it names can't be.
        """
        message.limit.check()
        links = self._links
        if links is None or not message.path:
            return
        term = self._term()
        if term is not None:
            self._answer_request(message, term, links)
            return
        issuer = links.issuer
        is_far = len(message.path) >= MAX_PATH_NODES
        if issuer is None or is_far or links.node_id in message.path:
            return
        path = (*message.path, links.node_id)
        passed_on = dataclasses.replace(message, path=path)
        for node_id in links.next_hops(issuer):
            if node_id not in message.path:
                links.send_one(node_id, passed_on)

    def _answer_request(
        self, message: messages.PermitRequest, term: int, links: PermitLinks
    ) -> None:
        request_key = (message.path[0], message.number)
        if request_key in self._answered:
            # It came on several ways; one permit is enough.
            return
        self._answered.append(request_key)
        wait_s = self._issue(message.limit, term)
        *path, sender = message.path
        links.send_one(
            sender,
            messages.PermitResponse(
                message.number, wait_s, links.node_id, tuple(path)
            ),
        )

    def receive_response(self, message: messages.PermitResponse) -> None:
        """Complete a request of this node, or pass the response back.

        Raise ``BadNumber`` if nobody can have to wait so long.
        """
        peer_numbers.check("wait", message.wait_s, MAX_WAIT_S)
        if not message.path:
            permit = _permit(message.wait_s, message.issuer)
            self._answer(message.number, permit)
            return
        if self._links is None:
            return
        *path, receiver = message.path
        self._links.send_one(
            receiver,
            dataclasses.replace(message, path=tuple(path)),
        )

    def _issue(self, asked: endpoint_limits.EndpointLimit, term: int) -> float:
        now_s = self._reactor.seconds()
        self._scheduler.limited.limits.merge(asked, now_s)
        limit = self._scheduler.limited.limits.of(asked.key)
        if limit is None:
            # The limit has ended; the node that asked has not heard yet.
            return 0.0
        share = self._scheduler.reached_share
        return self._issuer.issue(limit, share, term, now_s)


def _permit(wait_s: float, issuer: str) -> permit_gate.Permit:
    reason = permit_gate.PermitReason.PACED
    if wait_s <= 0.0:
        reason = permit_gate.PermitReason.ISSUED
    return permit_gate.Permit(wait_s, reason, issuer)
