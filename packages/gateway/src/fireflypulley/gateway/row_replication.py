"""Sends rows of the store to nodes that lack them."""

import collections

from twisted.internet import interfaces

from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import rows
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

MAX_ROWS_PER_MESSAGE = 2000
MAX_AGE_S = 60.0
"""Age of changes of which a node only knows that they are older."""
RESEND_AFTER_S = 0.75
"""A batch that a peer has not reported within this time, in which it sends
three states, is sent again."""


class _SentBatches:
    """The batches of a table that a peer has not reported yet."""

    def __init__(self) -> None:
        self._sent: collections.deque[tuple[int, float]] = collections.deque()

    def expected_version(self, reported: int, now_s: float) -> int:
        """Return the version that a peer has once all sent has arrived.

        Batches that are overdue do not count, nor those sent after them.
        """
        while self._sent and self._sent[0][0] <= reported:
            self._sent.popleft()
        if self._sent and now_s - self._sent[0][1] >= RESEND_AFTER_S:
            self._sent.clear()
        return self._sent[-1][0] if self._sent else reported

    def note(self, version: int, now_s: float) -> None:
        """Record a batch up to a version."""
        self._sent.append((version, now_s))


class RowReplicator:
    """Sends peers the rows that are newer than the versions they report.

    Each batch names the version that it continues from.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        cache: rows.RowCache,
        node_hub: hub.Hub,
        states: node_states.StateRegistry,
    ) -> None:
        self._reactor = reactor
        self._cache = cache
        self._hub = node_hub
        self._states = states
        self._sent: dict[tuple[str, str], _SentBatches]
        self._sent = collections.defaultdict(_SentBatches)

    def reset_peer(self, node_id: str) -> None:
        """Forget what was sent to a peer over its previous stream."""
        for key in [key for key in self._sent if key[0] == node_id]:
            del self._sent[key]

    def push(self, table: str, readers: frozenset[str]) -> None:
        """Send updates of a table at once to peers that don't read it.

        These are the nodes other than ``readers``, and the readers that
        cannot reach the store.
        """
        for node_id in self._hub.peers:
            state = self._states.get(node_id)
            if state is None:
                continue
            if node_id not in readers or state.store_doubted:
                self._send(node_id, table, state.versions.get(table, 0))

    def send_missing(self, node_id: str) -> None:
        """Send the rows that a peer lacks according to its last state."""
        state = self._states.get(node_id)
        if state is None:
            return
        for table in self._cache.versions():
            self._send(node_id, table, state.versions.get(table, 0))

    def _send(self, node_id: str, table: str, reported: int) -> None:
        now_s = self._reactor.seconds()
        sent = self._sent[node_id, table]
        after = sent.expected_version(reported, now_s)
        version = self._cache.version(table)
        if after >= version:
            return
        is_whole = not self._cache.knows_since(table, after)
        if is_whole:
            changed = self._cache.present(table)
        else:
            changed = self._cache.since(table, after)
            version, changed = _limited(version, changed)
        sent.note(version, now_s)
        since_s = self._cache.changed_since_s(table, after, now_s)
        age_s = min(now_s - since_s, MAX_AGE_S)
        message = messages.Rows(
            table, version, is_whole, tuple(changed), after, age_s
        )
        self._hub.send(node_id, message)


def _limited(
    version: int, changed: list[rows.FollowedRow]
) -> tuple[int, list[rows.FollowedRow]]:
    """Return the first rows that fit a message, and their version.

    The peer gets the next ones when it reports that version.  Rows of one
    version, which were written together, stay together.
    """
    if len(changed) <= MAX_ROWS_PER_MESSAGE:
        return version, changed
    changed.sort(key=lambda row: row.version)
    last = changed[MAX_ROWS_PER_MESSAGE - 1].version
    return last, [row for row in changed if row.version <= last]
