"""The counters of a node, for the metrics page."""

import collections

from fireflypulley.core import problems
from fireflypulley.core import requests


class Counters:
    """Totals since the node started."""

    def __init__(self) -> None:
        self.accepted = 0
        self.answered = 0
        self.replayed = 0
        self.first_tries = 0
        self.refused: collections.Counter[problems.Reason]
        self.refused = collections.Counter()
        self.retried: collections.Counter[problems.RetryReason]
        self.retried = collections.Counter()
        self.attempts: collections.Counter[requests.Outcome]
        self.attempts = collections.Counter()
        self.late_events = 0
        self.ejections = 0
        self.turned_cold = 0
