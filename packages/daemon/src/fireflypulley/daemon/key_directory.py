"""Finds the node that holds the request of an idempotency key.

Rendezvous hashing maps each key to a directory node, which records the
key's holder.  A node asks all nodes to which it has streams if the
directory node does not answer, or if it knows no holder for a reconnecting
caller: a handover may have been recorded elsewhere.
"""

import collections.abc
import dataclasses

from twisted.internet import interfaces

from fireflypulley.core import membership
from fireflypulley.core import ownership
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

DIRECTORY_TIMEOUT_S = 0.3
HOLDER_RETENTION_S = 600.0

_OnHolder = collections.abc.Callable[[str | None], None]


@dataclasses.dataclass(slots=True)
class _Question:
    key: str
    on_holder: _OnHolder
    timer: interfaces.IDelayedCall
    reconnecting: bool
    pending_peers: int = 0


@dataclasses.dataclass(slots=True)
class _Holder:
    node_id: str
    until_s: float


def _name(key: str) -> str:
    """Return what the directory node of a key is the owner of."""
    return f"key/{key}"


class KeyDirectory:
    """The holders recorded on this node, and its pending questions."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_id: str,
        members: membership.Membership,
        streams: hub.Hub,
        now_s: collections.abc.Callable[[], float],
        has_key: collections.abc.Callable[[str], bool],
        held_keys: collections.abc.Callable[[], list[str]],
    ) -> None:
        self._reactor = reactor
        self._node_id = node_id
        self._members = members
        self._streams = streams
        self._now_s = now_s
        self._has_key = has_key
        self._held_keys = held_keys
        self._alive: list[str] = []
        """The nodes among which the reported holders were recorded."""
        self._holders: dict[str, _Holder] = {}
        self._questions: dict[int, _Question] = {}
        self._last_question_id = 0

    def _directory_node(self, key: str) -> str | None:
        return self._members.owner(_name(key), self._now_s())

    def find(self, key: str, reconnecting: bool, on_holder: _OnHolder) -> None:
        """Call ``on_holder`` with the key's holder.

        It is called with None if no other node is known to hold the key;
        this node may then start the request.
        """
        directory_node = self._directory_node(key)
        if directory_node is None or directory_node == self._node_id:
            holder = self._find_holder(key, self._node_id, claim=True)
            self._finish(key, reconnecting, holder, on_holder)
            return
        question = self._add_question(key, reconnecting, on_holder)
        self._streams.send(
            directory_node, messages.KeyQuestion(question, key, claim=True)
        )

    def _add_question(
        self, key: str, reconnecting: bool, on_holder: _OnHolder
    ) -> int:
        self._last_question_id += 1
        timer = self._reactor.callLater(
            DIRECTORY_TIMEOUT_S, self._on_timeout, self._last_question_id
        )
        self._questions[self._last_question_id] = _Question(
            key, on_holder, timer, reconnecting
        )
        return self._last_question_id

    def _on_timeout(self, question_id: int) -> None:
        """Ask all nodes in place of the directory node, but only once."""
        question = self._questions.pop(question_id)
        was_directory = not question.pending_peers
        self._finish(question.key, was_directory, None, question.on_holder)

    def _finish(
        self,
        key: str,
        asks_all: bool,
        holder: str | None,
        on_holder: _OnHolder,
    ) -> None:
        """Report the holder, or ask all nodes if there may be another."""
        connected = list(self._members.connected)
        if holder is not None or not asks_all or not connected:
            on_holder(holder)
            return
        question_id = self._add_question(key, False, on_holder)
        self._questions[question_id].pending_peers = len(connected)
        for node_id in connected:
            self._streams.send(
                node_id, messages.KeyQuestion(question_id, key, claim=False)
            )

    def _find_holder(
        self, key: str, requester: str, claim: bool
    ) -> str | None:
        now_s = self._now_s()
        if self._has_key(key) and requester != self._node_id:
            return self._node_id
        holder = self._holders.get(key)
        if holder is not None and holder.until_s > now_s:
            is_down = self._members.is_down(holder.node_id, now_s)
            if not is_down and holder.node_id != requester:
                return holder.node_id
        if claim:
            self.record_holder(key, requester)
        return None

    def record_holder(self, key: str, node_id: str) -> None:
        """Record the holder of a key that maps to this node."""
        until_s = self._now_s() + HOLDER_RETENTION_S
        self._holders[key] = _Holder(node_id, until_s)

    def report_holder(self, key: str) -> None:
        """Report to a key's directory node that this node now holds it."""
        directory_node = self._directory_node(key)
        if directory_node is None or directory_node == self._node_id:
            self.record_holder(key, self._node_id)
            return
        self._streams.send(
            directory_node, messages.KeyHeld(key, self._node_id)
        )

    def report_moved(self) -> None:
        """Report the held keys whose directory node has changed."""
        before, now = self._alive, self._members.alive(self._now_s())
        if before == now:
            return
        self._alive = list(now)
        for key in self._held_keys():
            name = _name(key)
            if ownership.owner(name, before) != ownership.owner(name, now):
                self.report_holder(key)

    def receive_question(
        self, from_node: str, message: messages.KeyQuestion
    ) -> None:
        """Answer another node's question."""
        holder = self._find_holder(message.key, from_node, message.claim)
        self._streams.send(
            from_node, messages.KeyAnswer(message.question_id, holder)
        )

    def receive_answer(self, message: messages.KeyAnswer) -> None:
        """Process an answer to a question.

        If several nodes were asked, the first answer that names a
        holder counts.
        """
        question = self._questions.get(message.question_id)
        if question is None:
            return
        if question.pending_peers > 1 and message.node_id is None:
            question.pending_peers -= 1
            return
        del self._questions[message.question_id]
        question.timer.cancel()
        self._finish(
            question.key,
            question.reconnecting,
            message.node_id,
            question.on_holder,
        )

    def expire(self) -> None:
        """Drop the records older than the retention time."""
        now_s = self._now_s()
        old = [k for k, h in self._holders.items() if h.until_s <= now_s]
        for key in old:
            del self._holders[key]
