"""A simulated endpoint: batching, prefix cache, cold start, versions."""

import collections
import collections.abc
import dataclasses
import random

from fireflypulley.core import requests
from fireflypulley.core import topology
from fireflystandins.virtual import clock

FIRST_TOKEN_S = 0.05
PREFILL_TOKENS_PER_S = 8000.0
TOKEN_S = 0.02
LOADED_FACTOR = 1.0
COLD_FACTOR = 4.0
ANSWERS_PER_DOUBLING = 2
MAX_WAITING_PER_SLOT = 2
CACHED_PREFIXES = 8


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How a version behaves; an empty ``route`` means all routes.

    The version is bad once virtual time reaches ``bad_after_s`` and the
    relative load is at least ``bad_above_load``.
    """

    fail_rate: float = 0.0
    slow_factor: float = 1.0
    route: str = ""
    bad_after_s: float = 0.0
    bad_above_load: float = 0.0


@dataclasses.dataclass(frozen=True)
class Workload:
    """A request and the work that it causes at an endpoint."""

    request: requests.Request
    prompt_tokens: int
    output_tokens: int
    service_s: float = 0.05


@dataclasses.dataclass
class Attempt:
    """An attempt at an endpoint."""

    workload: Workload
    attempt_id: str
    resumed: int
    on_event: collections.abc.Callable[[str, requests.Outcome | None], None]
    first_s: float = 0.0
    gap_s: float = TOKEN_S
    started: bool = False
    ended: bool = False
    priority: int = 0
    epoch: int = 0

    def tokens(self, now_s: float) -> int:
        """Return the number of tokens sent by a time."""
        if not self.started or now_s < self.first_s:
            return self.resumed
        out = int((now_s - self.first_s) / self.gap_s + 1e-6) + 1
        return min(self.workload.output_tokens, self.resumed + out)


class VirtualEndpoint:
    """An endpoint; it calls ``on_event`` with 'sent', 'first', 'end'."""

    def __init__(
        self,
        time: clock.Clock,
        spec: topology.Endpoint,
        behaviour: Behaviour,
        rng: random.Random,
        cold: bool,
    ) -> None:
        self._time = time
        self._rng = rng
        self.spec = spec
        self.behaviour = behaviour
        self.alive = True
        self.cold = cold
        self.running: dict[str, Attempt] = {}
        self.waiting: collections.deque[Attempt] = collections.deque()
        self.answered = 0
        self.answered_since_cold = 0
        self.started_s = time.now_s
        self.executions: collections.Counter[str] = collections.Counter()
        self.arrivals: list[tuple[float, str, str]] = []
        self.poison: set[str] = set()
        self.overload_crashes = 0
        self.cold_since_s = time.now_s
        self.detection_delay_s = 0.0
        self.crashes = 0
        self.poison_crashes = 0
        self.prefilled = 0
        self.generated = 0
        self.preempted = 0
        self.cached_tokens = 0
        self._cache: collections.OrderedDict[str, int]
        self._cache = collections.OrderedDict()

    @property
    def current_capacity(self) -> int:
        """Return how many requests the endpoint can serve now."""
        current_capacity = self.spec.cold_capacity
        left = self.answered_since_cold
        while left >= ANSWERS_PER_DOUBLING * current_capacity:
            left -= ANSWERS_PER_DOUBLING * current_capacity
            current_capacity *= 2
        return current_capacity

    def report(self) -> topology.LoadReport:
        """Return the current load report."""
        return topology.LoadReport(
            len(self.running),
            len(self.waiting),
            self.answered,
            self.started_s,
            self._generated(),
        )

    def _generated(self) -> int:
        now_s = self._time.now_s
        running = sum(
            attempt.tokens(now_s) - attempt.resumed
            for attempt in self.running.values()
        )
        return self.generated + running

    def submit(self, attempt: Attempt) -> None:
        """Receive an attempt."""
        request = attempt.workload.request
        if not self.alive:
            attempt.on_event("end", requests.Outcome.UNREACHABLE)
            return
        attempt.on_event("sent", None)
        now_s = self._time.now_s
        self.arrivals.append((now_s, request.request_id, attempt.attempt_id))
        if request.at_most_once:
            self.executions[request.idempotency_key] += 1
        if self.cold and len(self.running) + 1 > self.current_capacity:
            detectable = now_s >= self._detectable_s()
            if detectable and self.current_capacity < self.spec.capacity:
                self.overload_crashes += 1
                self.running[attempt.attempt_id] = attempt
                self.crash()
                return
        if len(self.running) < self.spec.capacity:
            self._start(attempt)
        elif self._preempt_for(attempt):
            self._start(attempt)
        elif len(self.waiting) < MAX_WAITING_PER_SLOT * self.spec.capacity:
            self.waiting.append(attempt)
        else:
            attempt.ended = True
            attempt.on_event("end", requests.Outcome.BUSY)

    def _preempt_for(self, attempt: Attempt) -> bool:
        """Requeue the least urgent attempt if it is less urgent."""
        worst = max(self.running.values(), key=lambda a: a.priority)
        if worst.priority <= attempt.priority:
            return False
        if worst.workload.request.kind is not topology.ServiceKind.MODEL:
            return False
        self.preempted += 1
        now_s = self._time.now_s
        done = worst.tokens(now_s)
        self.generated += done - worst.resumed
        worst.resumed = done
        worst.started = False
        worst.epoch += 1
        del self.running[worst.attempt_id]
        self.waiting.appendleft(worst)
        return True

    def _next_waiting(self) -> Attempt:
        attempt = min(self.waiting, key=lambda a: a.priority)
        self.waiting.remove(attempt)
        return attempt

    def _is_bad(self, attempt: Attempt) -> bool:
        behaviour = self.behaviour
        load = len(self.running) / self.spec.capacity
        return (
            self._time.now_s >= behaviour.bad_after_s
            and load >= behaviour.bad_above_load
            and behaviour.route in ("", attempt.workload.request.route)
        )

    def _start(self, attempt: Attempt) -> None:
        self.running[attempt.attempt_id] = attempt
        attempt.started = True
        epoch = attempt.epoch
        bad = self._is_bad(attempt)
        slow = self.behaviour.slow_factor if bad else 1.0
        if self.cold and self.current_capacity < self.spec.capacity:
            slow *= COLD_FACTOR
        load = len(self.running) / self.spec.capacity
        attempt.gap_s = TOKEN_S * (1.0 + LOADED_FACTOR * load) * slow
        first_s = (FIRST_TOKEN_S + self._prefill_s(attempt)) * slow
        if attempt.workload.request.kind is topology.ServiceKind.PLAIN:
            first_s = attempt.workload.service_s * slow
        attempt.first_s = self._time.now_s + first_s
        if attempt.workload.request.fingerprint in self.poison:
            self._time.call_later(first_s, lambda: self._poisoned(attempt))
        elif bad and self._rng.random() < self.behaviour.fail_rate:
            outcome = requests.Outcome.SERVER_ERROR
            self._time.call_later(
                first_s, lambda: self._end(attempt, outcome, epoch)
            )
        else:
            self._time.call_later(first_s, lambda: self._first(attempt, epoch))

    def _prefill_s(self, attempt: Attempt) -> float:
        tokens = attempt.workload.prompt_tokens + attempt.resumed
        prefix = attempt.workload.request.prefix
        if prefix:
            hit = min(tokens, self._cache.get(prefix, 0))
            self._cache[prefix] = attempt.workload.prompt_tokens
            self._cache.move_to_end(prefix)
            if len(self._cache) > CACHED_PREFIXES:
                self._cache.popitem(last=False)
            self.cached_tokens += hit
            tokens -= hit
        self.prefilled += tokens
        return tokens / PREFILL_TOKENS_PER_S

    def _poisoned(self, attempt: Attempt) -> None:
        if not attempt.ended and self.alive:
            self.poison_crashes += 1
            self.crash()

    def _first(self, attempt: Attempt, epoch: int) -> None:
        if attempt.ended or not self.alive or attempt.epoch != epoch:
            return
        attempt.on_event("first", None)
        left = attempt.workload.output_tokens - attempt.resumed
        if attempt.workload.request.kind is topology.ServiceKind.PLAIN:
            left = 0
        outcome = requests.Outcome.COMPLETE
        self._time.call_later(
            max(0, left - 1) * attempt.gap_s,
            lambda: self._end(attempt, outcome, epoch),
        )

    def _end(
        self, attempt: Attempt, outcome: requests.Outcome, epoch: int
    ) -> None:
        if attempt.ended or not self.alive or attempt.epoch != epoch:
            return
        attempt.ended = True
        self.generated += attempt.tokens(self._time.now_s) - attempt.resumed
        del self.running[attempt.attempt_id]
        if outcome is requests.Outcome.COMPLETE:
            self.answered += 1
            self.answered_since_cold += 1
        attempt.on_event("end", outcome)
        if self.waiting and len(self.running) < self.spec.capacity:
            self._start(self._next_waiting())

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt."""
        if attempt.ended:
            return
        attempt.ended = True
        if attempt.attempt_id in self.running:
            now_s = self._time.now_s
            self.generated += attempt.tokens(now_s) - attempt.resumed
            del self.running[attempt.attempt_id]
            if self.waiting and self.alive:
                self._start(self._next_waiting())
        elif attempt in self.waiting:
            self.waiting.remove(attempt)

    def _detectable_s(self) -> float:
        """Return when a node can first detect the cold state.

        One slow response is not enough; a node that has sent two requests
        since then detects it ``detection_delay_s`` after the second.
        """
        if not self.detection_delay_s:
            return self.cold_since_s
        sent: collections.Counter[str] = collections.Counter()
        for at_s, _, attempt_id in self.arrivals:
            if at_s <= self.cold_since_s:
                continue
            node_id = attempt_id.split(".")[-2]
            sent[node_id] += 1
            if sent[node_id] == 2:
                return at_s + self.detection_delay_s
        return float("inf")

    def crash(self) -> None:
        """Crash and abort all attempts."""
        if not self.alive:
            return
        self.alive = False
        self.crashes += 1
        for attempt in [*self.running.values(), *self.waiting]:
            if not attempt.ended:
                attempt.ended = True
                attempt.on_event("end", requests.Outcome.CUT)
        self.running.clear()
        self.waiting.clear()

    def restart(self) -> None:
        """Start again as a new, cold process."""
        self.alive = True
        self.turn_cold()
        self.answered = 0
        self.generated = 0
        self.started_s = self._time.now_s

    def turn_cold(self, detection_delay_s: float = 0.0) -> None:
        """Return to the cold state without reporting it.

        Until a node can detect it, requests are slow, but too many of
        them do not crash the endpoint.
        """
        self.cold = True
        self.cold_since_s = self._time.now_s
        self.detection_delay_s = detection_delay_s
        self.answered_since_cold = 0
        self._cache.clear()
