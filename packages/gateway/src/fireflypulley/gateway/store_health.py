"""What a node's calls to the store, and its peers, tell about the store."""

import collections
import collections.abc

from twisted.internet import interfaces

from fireflypulley.gateway import decision_log

DOUBTED_S = 3.5
"""After a failed call, the store counts as doubted for this time: missing
entries may have lapsed without having been removed on purpose."""
RECOVERY_WINDOW_S = 2.0
"""Time after an outage within which lapsed entries are registered again."""
LAPSE_AFTER_FAILURES = 2
"""Failed calls in a row after which entries may have lapsed.  One alone is
also what a broken connection looks like."""


class StoreHealth:
    """Failures and answers by table; ``""`` stands for calls of duties.

    An answer about a table says nothing of calls about another one, which
    may have been sent while the store was silent.
    """

    def __init__(self, reactor: interfaces.IReactorTime) -> None:
        self._reactor = reactor
        self.peers_lost_store: collections.abc.Callable[[], bool] = lambda: (
            False
        )
        self._failed_s = float("-inf")
        self._peer_failed_s = float("-inf")
        self._recovered_s = float("-inf")
        self._started_s: dict[str, float] = {}
        self._unanswered: set[str] = set()
        self._failures: collections.Counter[str] = collections.Counter()

    @property
    def since_failure_s(self) -> float:
        """Return the time since the last failed call of this node."""
        return self._reactor.seconds() - self._failed_s

    @property
    def is_failing(self) -> bool:
        """Return whether a call of this node to the store failed recently."""
        return self.since_failure_s < DOUBTED_S

    @property
    def is_doubted(self) -> bool:
        """Return whether any node recently failed to reach the store."""
        since_peer_failure_s = self._reactor.seconds() - self._peer_failed_s
        return self.is_failing or since_peer_failure_s < DOUBTED_S

    @property
    def in_outage(self) -> bool:
        """Return whether the store is, or just was, unreachable to all nodes.

        If only some nodes can't reach it, the rows that the others read
        are still correct.  It rests on flags that may be seconds old, so it
        is said in the log and nothing is decided by it.
        """
        if not self.is_failing or not self.peers_lost_store():
            return False
        since_recovery_s = self._reactor.seconds() - self._recovered_s
        return bool(self._unanswered) or since_recovery_s < RECOVERY_WINDOW_S

    def is_unanswered(self, table: str) -> bool:
        """Return whether the last call about a table failed."""
        return table in self._unanswered

    def may_have_lapsed(self, table: str) -> bool:
        """Return whether entries may have lapsed since the last answer."""
        return self._failures[table] >= LAPSE_AFTER_FAILURES

    def waited_s(self, table: str) -> float:
        """Return the time since the last call about a table was sent."""
        now_s = self._reactor.seconds()
        return now_s - self._started_s.get(table, now_s)

    def note_call(self, table: str) -> None:
        """Record that a call about a table is sent."""
        self._started_s[table] = self._reactor.seconds()

    def note_answer(self, table: str = "") -> None:
        """Record an answer about a table."""
        self._failures[table] = 0
        for name in {table, ""} & self._unanswered:
            self._unanswered.remove(name)
            self._recovered_s = self._reactor.seconds()
            decision_log.note("store", state="regained", table=name)

    def note_failure(self, problem: str, table: str = "") -> None:
        """Record a failed call."""
        self._failed_s = self._reactor.seconds()
        self._failures[table] += 1
        if table in self._unanswered:
            return
        self._unanswered.add(table)
        decision_log.note(
            "store",
            state="lost",
            table=table,
            waited_ms=round(self.waited_s(table) * 1000),
            detail=problem,
        )

    def note_peer_failure(self) -> None:
        """Record that another node can't reach the store."""
        self._peer_failed_s = self._reactor.seconds()
