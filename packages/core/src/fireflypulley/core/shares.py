"""Detection of workspaces above their fair share of this node."""

import collections

from fireflypulley.core import configuration

SHARE_TOLERANCE = 1.25
MIN_RUNNING_ATTEMPTS = 4  # with fewer, no workspace is over its share
SLACK_REQUESTS = 1.0


class Shares:
    """Counts of the open requests by workspace and of running attempts."""

    def __init__(self, config: configuration.Configuration) -> None:
        self._config = config
        self._open: collections.Counter[str] = collections.Counter()
        self._running = 0

    def request_opened(self, workspace: str) -> None:
        """Count an accepted request."""
        self._open[workspace] += 1

    def request_closed(self, workspace: str) -> None:
        """Count an ended request."""
        self._open[workspace] -= 1
        if self._open[workspace] <= 0:
            del self._open[workspace]

    def attempt_started(self) -> None:
        """Count a started attempt."""
        self._running += 1

    def attempt_ended(self) -> None:
        """Count an ended attempt."""
        self._running -= 1

    def _weight(self, workspace: str) -> float:
        configured = self._config.workspace(workspace)
        return 1.0 if configured is None else configured.weight

    def is_over(self, workspace: str) -> bool:
        """Return whether a workspace demands more than its fair share.

        The demand is the number of its open requests, waiting or
        running; the total to be shared is the number of running attempts.
        """
        if self._running < MIN_RUNNING_ATTEMPTS or len(self._open) < 2:
            return False
        weight = self._weight(workspace)
        share = weight / sum(self._weight(name) for name in self._open)
        open_count = self._open[workspace]
        return (
            open_count
            > SHARE_TOLERANCE * share * self._running + SLACK_REQUESTS
        )

    @property
    def any_over(self) -> bool:
        """Return whether any workspace demands more than its share."""
        return any(self.is_over(name) for name in self._open)
