"""The metrics page, updated from the core's counters on each read."""

import typing

import aioprometheus
from aioprometheus import formats

from fireflypulley.daemon import driver
from fireflypulley.nodes import hub

FIRST_TOKEN_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0, 5.0)
TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.035, 0.055, 0.1, 0.2, 0.5)
LAG_BUCKETS_S = (0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0)
_PREFIX = "fireflypulley_"


class Metrics:
    """All metrics of a node; ``help_texts`` lists them."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self.help_texts: dict[str, str] = {}
        self._add_counters()
        self._add_gauges()
        self._add_histograms()

    def _add_counters(self) -> None:
        self._accepted = self._counter("accepted", "Requests accepted.")
        self._answered = self._counter("answered", "Whole answers given.")
        self._replayed = self._counter(
            "replayed", "At-most-once answers given again from the ledger."
        )
        self._refused = self._counter(
            "refused", "Refusals, by reason.", "reason"
        )
        self._retried = self._counter(
            "retried", "Attempts made again, by reason.", "reason"
        )
        self._attempts = self._counter(
            "attempts", "Attempts that ended, by outcome.", "outcome"
        )
        self._first_tries = self._counter(
            "first_tries", "Requests that were sent at least once."
        )
        self._late = self._counter(
            "late_events", "Events of attempts that were over."
        )
        self._ejections = self._counter(
            "ejections", "Endpoints ejected after failures."
        )
        self._cold = self._counter(
            "turned_cold", "Endpoints found in cold start again."
        )
        self._ledger = self._counter(
            "ledger_transactions", "Transactions on at-most-once rows."
        )
        self._sent = self._counter(
            "stream_bytes", "Bytes sent to other nodes."
        )
        self._failed_actions = self._counter(
            "failed_actions", "Actions that raised an error; a fault of ours."
        )

    def _add_gauges(self) -> None:
        self._queued = self._gauge(
            "queued", "Waiting requests, by service.", "service"
        )
        self._open = self._gauge("open_requests", "Requests in progress.")
        self._version = self._gauge(
            "config_total_version", "Sum of the row versions in force."
        )
        self._peers = self._gauge("peers", "Node streams to peers.")
        self._budget = self._gauge(
            "retry_budget", "Retries that may be made now."
        )
        self._ready = self._gauge("ready", "1 when ready for callers.")

    def _add_histograms(self) -> None:
        self.first_token_s = self._histogram(
            "first_token_seconds",
            "Time to the first token.",
            FIRST_TOKEN_BUCKETS_S,
        )
        self.token_gap_s = self._histogram(
            "token_gap_seconds",
            "Mean time between the tokens of one attempt.",
            TOKEN_GAP_BUCKETS_S,
        )
        self.reactor_lag_s = self._histogram(
            "reactor_lag_seconds",
            "How late the node's timer ran.",
            LAG_BUCKETS_S,
        )

    def _add(self, metric: typing.Any, text: str, label: str) -> None:
        if label:
            text += f" Label: {label}."
        self.help_texts[metric.name] = text

    def _counter(
        self, name: str, text: str, label: str = ""
    ) -> aioprometheus.Counter:
        metric = aioprometheus.Counter(
            f"{_PREFIX}{name}_total", text, registry=self._registry
        )
        self._add(metric, text, label)
        return metric

    def _gauge(
        self, name: str, text: str, label: str = ""
    ) -> aioprometheus.Gauge:
        metric = aioprometheus.Gauge(
            _PREFIX + name, text, registry=self._registry
        )
        self._add(metric, text, label)
        return metric

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        metric = aioprometheus.Histogram(
            _PREFIX + name,
            text,
            registry=self._registry,
            buckets=list(buckets),
        )
        self._add(metric, text, "")
        return metric

    def collect(
        self, loop: driver.Driver, streams: hub.Hub, now_s: float
    ) -> None:
        """Copy the current values of the core's counters."""
        core = loop.core
        counters = core.state.counters
        self._failed_actions.set({}, loop.failed_actions)
        self._accepted.set({}, counters.accepted)
        self._answered.set({}, counters.answered)
        self._replayed.set({}, counters.replayed)
        self._first_tries.set({}, counters.first_tries)
        self._late.set({}, counters.late_events)
        self._ejections.set({}, counters.ejections)
        self._cold.set({}, counters.turned_cold)
        self._ledger.set({}, core.state.ledger.store_writes)
        self._sent.set({}, streams.bytes_sent)
        for reason, count in counters.refused.items():
            self._refused.set({"reason": reason.value}, count)
        for retry, count in counters.retried.items():
            self._retried.set({"reason": retry.value}, count)
        for outcome, count in counters.attempts.items():
            self._attempts.set({"outcome": outcome.value}, count)
        for service, length in core.serving.queue_lengths().items():
            self._queued.set({"service": service}, length)
        self._open.set({}, len(core.serving))
        self._version.set({}, core.state.config.total_version)
        self._peers.set({}, len(core.state.members.connected))
        self._budget.set({}, core.state.budget.tokens)
        self._ready.set({}, int(core.ready(now_s)))

    def render(self) -> bytes:
        """Return the page in Prometheus' text format."""
        page: bytes = formats.text.TextFormatter().marshall(self._registry)
        return page
