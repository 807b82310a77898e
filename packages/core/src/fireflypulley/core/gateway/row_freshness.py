"""When a node last heard that its rows of the store are the newest."""

STORE = "store"
"""The source of rows that this node read itself."""


class RowFreshness:
    """The last confirmation of each followed table, and who gave it."""

    def __init__(self) -> None:
        self._confirmed: dict[str, tuple[float, str]] = {}

    def note(self, table: str, source: str, now_s: float) -> None:
        """Record that the known rows are the newest, as a source says.

        ``source`` is ``STORE`` or the id of a node.
        """
        self._confirmed[table] = (now_s, source)

    def age_s(self, table: str, now_s: float) -> float | None:
        """Return the time since the last confirmation, None without one."""
        confirmed = self._confirmed.get(table)
        return None if confirmed is None else now_s - confirmed[0]

    def source(self, table: str) -> str:
        """Return who gave the last confirmation, "" without one."""
        return self._confirmed.get(table, (0.0, ""))[1]

    def oldest_age_s(self, now_s: float) -> float | None:
        """Return the age of the table that was confirmed least recently."""
        if not self._confirmed:
            return None
        oldest_s = min(at_s for at_s, _ in self._confirmed.values())
        return now_s - oldest_s

    @property
    def tables(self) -> tuple[str, ...]:
        """Return the tables that have been confirmed."""
        return tuple(sorted(self._confirmed))
