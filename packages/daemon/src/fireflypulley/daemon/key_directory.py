"""Finds the node that has the request of a key.

A key's home node, by rendezvous hashing, knows who has it.  Where the
home is gone, a returning caller's node asks the nodes it has streams to.
"""

import collections.abc
import dataclasses

from twisted.internet import interfaces

from fireflypulley.core import membership
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

HOME_TIMEOUT_S = 0.3
HOLDER_KEPT_S = 600.0

_Answered = collections.abc.Callable[[str | None], None]


@dataclasses.dataclass(slots=True)
class _Question:
    key: str
    answered: _Answered
    timer: interfaces.IDelayedCall
    returning: bool
    asked_peers: int = 0


@dataclasses.dataclass(slots=True)
class _Holder:
    node_id: str
    until_s: float


class KeyDirectory:
    """The keys this node is home of, and its own questions."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_id: str,
        members: membership.Membership,
        streams: hub.Hub,
        now_s: collections.abc.Callable[[], float],
        has_key: collections.abc.Callable[[str], bool],
    ) -> None:
        self._reactor = reactor
        self._node_id = node_id
        self._members = members
        self._streams = streams
        self._now_s = now_s
        self._has_key = has_key
        self._holders: dict[str, _Holder] = {}
        self._questions: dict[int, _Question] = {}
        self._asked = 0

    def _home(self, key: str) -> str | None:
        return self._members.owner(f"key/{key}", self._now_s())

    def find(self, key: str, returning: bool, answered: _Answered) -> None:
        """Find who has a key; None makes it this node's own."""
        home = self._home(key)
        if home is None or home == self._node_id:
            answered(self._holder(key, self._node_id, claim=True))
            return
        question = self._ask(key, returning, answered)
        self._streams.send(
            home, messages.KeyQuestion(question, key, claim=True)
        )

    def _ask(self, key: str, returning: bool, answered: _Answered) -> int:
        self._asked += 1
        timer = self._reactor.callLater(
            HOME_TIMEOUT_S, self._no_answer, self._asked
        )
        self._questions[self._asked] = _Question(
            key, answered, timer, returning
        )
        return self._asked

    def _no_answer(self, question_id: int) -> None:
        question = self._questions.pop(question_id)
        if not question.returning:
            question.answered(None)
            return
        again = self._ask(question.key, False, question.answered)
        for node_id in self._members.connected:
            self._questions[again].asked_peers += 1
            self._streams.send(
                node_id,
                messages.KeyQuestion(again, question.key, claim=False),
            )

    def _holder(self, key: str, asker: str, claim: bool) -> str | None:
        now_s = self._now_s()
        if self._has_key(key) and asker != self._node_id:
            return self._node_id
        holder = self._holders.get(key)
        if holder is not None and holder.until_s > now_s:
            gone = self._members.is_down(holder.node_id, now_s)
            if not gone and holder.node_id != asker:
                return holder.node_id
        if claim:
            self.held(key, asker)
        return None

    def held(self, key: str, node_id: str) -> None:
        """Record who has a key that this node is home of."""
        until_s = self._now_s() + HOLDER_KEPT_S
        self._holders[key] = _Holder(node_id, until_s)

    def announce(self, key: str) -> None:
        """Tell a key's home that this node has it now."""
        home = self._home(key)
        if home is None or home == self._node_id:
            self.held(key, self._node_id)
            return
        self._streams.send(home, messages.KeyHeld(key, self._node_id))

    def question(self, from_node: str, message: messages.KeyQuestion) -> None:
        """Answer another node's question."""
        holder = self._holder(message.key, from_node, message.claim)
        self._streams.send(
            from_node, messages.KeyAnswer(message.question_id, holder)
        )

    def answer(self, message: messages.KeyAnswer) -> None:
        """Take in an answer; of several, the first that names a node."""
        question = self._questions.get(message.question_id)
        if question is None:
            return
        if question.asked_peers > 1 and message.node_id is None:
            question.asked_peers -= 1
            return
        del self._questions[message.question_id]
        question.timer.cancel()
        question.answered(message.node_id)

    def expire(self) -> None:
        """Forget the keys that are long over."""
        now_s = self._now_s()
        old = [k for k, h in self._holders.items() if h.until_s <= now_s]
        for key in old:
            del self._holders[key]
