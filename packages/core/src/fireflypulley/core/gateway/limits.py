"""The retry budget that all nodes share."""

import bisect
import collections
import collections.abc
import dataclasses
import enum
import typing

from fireflypulley.core.gateway import standstill

JOINING_S = 2.0
"""Time that the other nodes may need to count a node that starts."""


class RetryWorth(enum.Enum):
    """What a retry is spent on.

    ENDED: the attempt has ended without an answer for the caller.
    SPECULATIVE: its endpoint may still go on.
    """

    ENDED = "ended"
    SPECULATIVE = "speculative"


@dataclasses.dataclass(slots=True)
class _Retry:
    """A retry.

    ``requests`` is how many requests were counted before it, and
    ``older_requests`` how many of them were older than a window then.
    """

    sent_s: float
    worth: RetryWorth
    requests: int
    older_requests: int


class _SlackPart(typing.NamedTuple):
    """A node's part of the slack, and what it may use of it.

    The rest is for a restart.
    """

    whole: float
    usable: float


class _Requests:
    """A service's requests: how many there were, and the recent ones."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._times: collections.deque[float] = collections.deque()
        self.older = 0

    @property
    def recent(self) -> int:
        """Return how many are no older than a window."""
        return len(self._times)

    @property
    def total(self) -> int:
        """Return how many were counted."""
        return self.older + self.recent

    def add(self, sent_s: float) -> None:
        """Count a request, which is no older than the last."""
        self._times.append(sent_s)

    def trim(self, now_s: float) -> None:
        """Drop the times of requests older than a window."""
        while self._times and self._times[0] <= now_s - self._window_s:
            self._times.popleft()
            self.older += 1

    def until(self, time_s: float) -> int:
        """Return how many were sent up to a time.

        Those whose times were dropped count in any case.
        """
        return self.older + bisect.bisect_right(self._times, time_s)

    def drop(self) -> None:
        """Drop the times of all requests."""
        self.older = self.total
        self._times.clear()


class RetryBudget:
    """Limits a service's retries by this node within a time window.

    All nodes together may retry ``ratio`` of the requests plus ``slack``;
    a node may use its own ratio and an equal part of the slack.  A node
    that has just started may use little of its part, for which each node
    leaves that much unused.  While a node stands still its requests grow
    old and its retries don't: one sent before may arrive after.

    The requests are those of the window or of the one before, whichever
    has more.  No node knows which that is for all of them, and load moves
    between nodes, so in each window that holds a retry a node keeps to the
    mean of its own two and its part.  The sum of the means is no more than
    the greater sum, wherever the requests arrive.

    Speculative retries may use a part only, so that a silence of many
    endpoints leaves something for the requests that have none.
    """

    STARTING_SLACK = 2
    """Retries, so that the first callers are served although an endpoint
    fails."""
    SPECULATIVE_FRACTION = 0.5
    """Of what a window allows."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._slack_from_s = float("-inf")
        self._has_starting_slack = True
        self._standstill = standstill.Standstill()
        self._requests: dict[str, _Requests]
        self._requests = collections.defaultdict(self._no_requests)
        self._retries: dict[str, collections.deque[_Retry]]
        self._retries = collections.defaultdict(collections.deque)
        self.refused: collections.Counter[RetryWorth] = collections.Counter()

    def _no_requests(self) -> _Requests:
        return _Requests(self._window_s)

    def _trim(self, retries: collections.deque[_Retry], now_s: float) -> int:
        while retries and retries[0].sent_s <= now_s - self._window_s:
            retries.popleft()
        return len(retries)

    def begin(
        self,
        started_s: float,
        is_first: bool = False,
        previous_s: float = float("-inf"),
    ) -> None:
        """Withhold the slack from a node that has started.

        The node does not know how many nodes there are, nor what it, or
        the others as fewer nodes, have spent.  ``is_first`` tells that
        there was nobody to spend anything before; ``previous_s`` is when
        the node had started before.  A node that starts more than once in
        a window has the retries of a start once.
        """
        again_s = previous_s + self._window_s + JOINING_S
        self._has_starting_slack = started_s >= again_s
        spent_s = 0.0 if is_first else self._window_s
        self._slack_from_s = started_s + spent_s + JOINING_S

    def tick(self, now_s: float) -> None:
        """Record that the node runs; called several times a second."""
        self._pass_standstill(self._standstill.tick(now_s))

    def _pass_standstill(self, stood_s: float) -> None:
        """Keep the retries as old as they were before a standstill."""
        if not stood_s:
            return
        if stood_s < 0.0:
            # How old the requests are isn't known after a step back.
            for requests in self._requests.values():
                requests.drop()
            self._slack_from_s += stood_s
        for service, retries in self._retries.items():
            for retry in retries:
                retry.sent_s += stood_s
                self._count_requests(retry, self._requests[service])

    def _count_requests(self, retry: _Retry, requests: _Requests) -> None:
        retry.requests = requests.until(retry.sent_s)
        older_s = retry.sent_s - self._window_s
        retry.older_requests = requests.until(older_s)

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request as of when it may have been sent."""
        self._pass_standstill(self._standstill.observe(now_s))
        sent_s = self._standstill.earliest_sent_s(now_s)
        requests = self._requests[service]
        requests.add(sent_s)
        if sent_s < now_s:
            self._note_waited(service, sent_s)
        requests.trim(now_s)

    def _note_waited(self, service: str, sent_s: float) -> None:
        """Let a request that waited pay for no window after it."""
        for retry in self._retries[service]:
            if sent_s <= retry.sent_s:
                retry.requests += 1
            if sent_s <= retry.sent_s - self._window_s:
                retry.older_requests += 1

    def spend(
        self,
        service: str,
        nodes: int,
        now_s: float,
        worth: RetryWorth = RetryWorth.ENDED,
    ) -> bool:
        """Return whether one more retry may be sent, and count it."""
        self._pass_standstill(self._standstill.observe(now_s))
        part = self._slack_part(nodes, now_s)
        requests = self._requests[service]
        requests.trim(now_s)
        retries = self._retries[service]
        self._trim(retries, now_s)
        fits = self._fits_windows(retries, requests, part)
        if fits and worth is RetryWorth.SPECULATIVE:
            speculative = [one for one in retries if one.worth is worth]
            fraction = self.SPECULATIVE_FRACTION
            # One at least, since a part may be a single retry.
            fits = self._fits_windows(speculative, requests, part, fraction, 1)
        if not fits:
            self.refused[worth] += 1
            return False
        retry = _Retry(now_s, worth, requests.total, requests.older)
        retries.append(retry)
        return True

    def refund(self, service: str, spent_s: float) -> None:
        """Take back a retry that was counted at ``spent_s``."""
        retries = self._retries[service]
        for retry in retries:
            if retry.sent_s == spent_s:
                retries.remove(retry)
                return

    def spent(self, service: str, now_s: float) -> int:
        """Return how many retries were sent within the window."""
        return self._trim(self._retries[service], now_s)

    def _slack_part(self, nodes: int, now_s: float) -> _SlackPart:
        """Return how much of the slack this node may use in a window."""
        whole = self._slack / max(1, nodes)
        starting = min(self.STARTING_SLACK, whole // 2)
        if now_s >= self._slack_from_s:
            return _SlackPart(whole, whole - starting)
        if not self._has_starting_slack:
            starting = 0.0
        return _SlackPart(starting, starting)

    def _fits_windows(
        self,
        retries: collections.abc.Collection[_Retry],
        requests: _Requests,
        part: _SlackPart,
        fraction: float = 1.0,
        least: float = 0.0,
    ) -> bool:
        """Return whether each window that holds a retry allows one more.

        Of the windows that hold the same retries, the one that begins with
        the first of them has the fewest requests in it and before.
        """
        total = requests.total
        half_ratio = self._ratio / 2.0 * fraction
        usable = part.usable * fraction
        count = len(retries) + 1
        for retry in retries:
            # Most windows allow much more; this is no more than they do.
            paid = half_ratio * (total - retry.older_requests)
            if count > paid + usable:
                inside = total - retry.requests
                before = retry.requests - retry.older_requests
                allowed = self._allowed(inside, before, part) * fraction
                if count > max(least, allowed):
                    return False
            count -= 1
        allowed = self._allowed(0, requests.recent, part) * fraction
        return count <= max(least, allowed)

    def _allowed(self, inside: int, before: int, part: _SlackPart) -> float:
        """Return how many retries of this node a window allows.

        ``inside`` and ``before`` are the node's requests in the window so
        far and in the one before.
        """
        alone = self._ratio * max(inside, before) + part.usable
        among_all = self._ratio * (inside + before) / 2.0 + part.whole
        return min(alone, among_all)
