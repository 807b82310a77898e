"""Prometheus metrics of a node; counts are copied when collected."""

import collections

import aioprometheus
from aioprometheus import formats

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import permit_gate
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler
from fireflypulley.transport import memory

REQUEST_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 12.0)
FIRST_EVENT_BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.33, 0.5, 1.0, 2.0)
_PREFIX = "fireflypulley_gateway_"


class GatewayMetrics:
    """Counters, gauges and histograms of one node."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._refused = self._counter("refused", "Refusals, by reason.")
        self._attempts = self._counter(
            "attempts", "Attempts that ended, by outcome."
        )
        self._retried = self._counter(
            "retried", "Attempts made again, by the outcome before."
        )
        self._retries_refused = self._counter(
            "retries_refused", "Retries without budget, by their worth."
        )
        self._unreadable = self._counter(
            "unreadable", "Rows that could not be read."
        )
        self._version = self._gauge(
            "configuration_version", "The configuration in force."
        )
        self._rows_age = self._gauge(
            "rows_age_seconds", "Time since rows were confirmed, by table."
        )
        self._cut_off = self._gauge(
            "cut_off", "1 while this node reaches endpoints through others."
        )
        self._tunnels_opened = self._counter(
            "tunnels_opened", "Connections opened through other nodes."
        )
        self._closes = self._counter(
            "answers_ended_by_close",
            "Answers that a close ended, by why that was not believed.",
        )
        self._tunnels = self._gauge(
            "tunnels_for_others", "Connections that other nodes use now."
        )
        self._callers = self._counter(
            "caller_connections_ended", "Connections of callers, by reason."
        )
        self._held = self._gauge(
            "callers_held_bytes", "Bytes that wait for slow callers."
        )
        self._memory = self._gauge(
            "memory_held_bytes",
            "Bytes held for callers and endpoints, by use.",
        )
        self._given_up = self._counter(
            "memory_given_up", "How often memory had to be released."
        )
        self._loop = self._gauge(
            "loop_delay_seconds",
            "The longest delay of periodic work since the last scrape.",
        )
        self._open = self._gauge("open_requests", "Requests being served.")
        self._nodes = self._gauge("nodes_alive", "Nodes in touch.")
        self._running = self._gauge("running", "Own requests by endpoint.")
        self._permits = self._counter(
            "permits", "Permits for limited endpoints, by answer."
        )
        self._limits = self._gauge(
            "endpoint_limit_per_s", "Limits that endpoints name, 0 if ended."
        )
        self._duty = self._gauge("duty_held", "1 while this node acts.")
        self._requests = self._histogram(
            "request_seconds",
            "Time to the end of a request, by route and result.",
            REQUEST_BUCKETS_S,
        )
        self._first_events = self._histogram(
            "first_event_seconds",
            "Time from an attempt's start to its first event, by service.",
            FIRST_EVENT_BUCKETS_S,
        )

    def _counter(self, name: str, text: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(
            _PREFIX + name, text, registry=self._registry
        )

    def _gauge(self, name: str, text: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(
            _PREFIX + name, text, registry=self._registry
        )

    def _histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            _PREFIX + name,
            text,
            registry=self._registry,
            buckets=list(buckets),
        )

    def observe_request(self, route: str, result: str, took_s: float) -> None:
        """Record the duration of a finished request."""
        self._requests.observe({"route": route, "result": result}, took_s)

    def count_caller_end(self, reason: caller_ends.CallerEnd) -> None:
        """Count a caller's connection that is closed."""
        self._callers.inc({"reason": reason.value})

    def collect_callers(self, held_bytes: int) -> None:
        """Set the metric of what waits for callers."""
        self._held.set({}, held_bytes)

    def collect_memory(
        self, used_bytes: collections.Counter[memory.Use], given_up: int
    ) -> None:
        """Set the metrics of what the node holds."""
        for use in memory.Use:
            self._memory.set({"use": use.value}, used_bytes[use])
        self._given_up.set({}, given_up)

    def observe_attempt(self, run: runs.Run, now_s: float) -> None:
        """Record the time to the first event, or to the end without one."""
        first_s = run.first_event_s
        if first_s is None:
            first_s = now_s
        service = run.request.service.name
        self._first_events.observe({"service": service}, first_s - run.began_s)

    def collect_loop(self, longest_delay_s: float) -> None:
        """Set the metric of how late the event loop was."""
        self._loop.set({}, longest_delay_s)

    def collect_paths(
        self, is_cut_off: bool, tunnels_opened: int, for_others: int
    ) -> None:
        """Set the metrics of the ways to endpoints."""
        self._cut_off.set({}, int(is_cut_off))
        self._tunnels_opened.set({}, tunnels_opened)
        self._tunnels.set({}, for_others)

    def collect_closes(
        self, closes: collections.Counter[answer_ends.Doubt | None]
    ) -> None:
        """Set the metric of answers that only a close ended."""
        for doubt, count in closes.items():
            name = "" if doubt is None else doubt.name.lower()
            self._closes.set({"doubt": name}, count)

    def collect(
        self,
        node_scheduler: scheduler.RequestScheduler,
        open_requests: int,
        unreadable: int,
        holds_duty: bool,
        permits: collections.Counter[permit_gate.PermitReason],
        now_s: float,
    ) -> None:
        """Set the metrics to the node's current counts."""
        fresh = node_scheduler.freshness
        for table in fresh.tables:
            age_s = fresh.age_s(table, now_s)
            self._rows_age.set({"table": table}, age_s or 0.0)
        for answer, count in permits.items():
            self._permits.set({"answer": answer.value}, count)
        for limit in node_scheduler.limited.limits.known():
            endpoint = {"endpoint": limit.endpoint_id}
            self._limits.set(endpoint, limit.rate_per_s or 0.0)
        for reason, count in node_scheduler.refused.items():
            self._refused.set({"reason": reason.value}, count)
        for outcome, count in node_scheduler.evaluator.outcomes.items():
            self._attempts.set({"outcome": outcome.value}, count)
        for outcome, count in node_scheduler.retry_policy.retried.items():
            self._retried.set({"outcome": outcome.value}, count)
        for worth, count in node_scheduler.retry_budget.refused.items():
            self._retries_refused.set({"worth": worth.value}, count)
        self._unreadable.set({}, unreadable)
        config = node_scheduler.document
        self._version.set({}, config.version if config else 0)
        self._open.set({}, open_requests)
        self._nodes.set({}, node_scheduler.nodes_alive)
        self._duty.set({}, int(holds_duty))
        for member in node_scheduler.fleet:
            running = node_scheduler.loads.of(member).running
            self._running.set({"endpoint": member.endpoint_id}, running)

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        page: bytes = formats.text.TextFormatter().marshall(self._registry)
        return page
