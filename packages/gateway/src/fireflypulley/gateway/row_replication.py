"""Sends rows of the store to nodes that lack them."""

import collections

from fireflypulley.core.gateway import node_states
from fireflypulley.core.gateway import rows
from fireflypulley.nodes import hub
from fireflypulley.nodes import messages

MAX_ROWS_PER_MESSAGE = 2000


class RowReplicator:
    """Tracks which row versions each peer has, and sends newer ones."""

    def __init__(
        self,
        cache: rows.RowCache,
        node_hub: hub.Hub,
        states: node_states.StateRegistry,
    ) -> None:
        self._cache = cache
        self._hub = node_hub
        self._states = states
        self._sent_versions: dict[str, dict[str, int]]
        self._sent_versions = collections.defaultdict(dict)

    def reset_peer(self, node_id: str) -> None:
        """Forget what was sent to a peer over its previous stream."""
        self._sent_versions.pop(node_id, None)

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

    def _send(self, node_id: str, table: str, peer_version: int) -> None:
        after = max(peer_version, self._sent_versions[node_id].get(table, 0))
        version = self._cache.version(table)
        if after >= version:
            return
        is_whole = not self._cache.knows_since(table, after)
        changed = self._cache.since(table, after)
        if is_whole:
            changed = self._cache.present(table)
        if len(changed) > MAX_ROWS_PER_MESSAGE or not (changed or is_whole):
            return
        self._sent_versions[node_id][table] = version
        message = messages.Rows(table, version, is_whole, tuple(changed))
        self._hub.send(node_id, message)
