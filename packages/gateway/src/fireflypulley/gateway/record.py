"""Collects what is logged and counted for a request."""

import dataclasses

from fireflypulley.core.gateway import answer_ends
from fireflypulley.core.gateway import caller_ends
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import answer_part
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import metrics

_REFUSED_BY_ROWS = frozenset(
    {
        calls.RefusalReason.NO_ROUTE.value,
        calls.RefusalReason.NO_KEY.value,
        calls.RefusalReason.NO_ENDPOINT.value,
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class RunEvents:
    """A run of a request, and the events of the answer that it gave."""

    run: runs.Run
    events: answer_part.SentEvents


@dataclasses.dataclass(slots=True)
class RequestRecord:
    """What is known of a request so far."""

    arrived_s: float
    metadata: calls.RequestMetadata = calls.RequestMetadata()
    request: calls.AdmittedRequest | None = None
    last_run: runs.Run | None = None
    run_events: list[RunEvents] = dataclasses.field(default_factory=list)
    """The runs in the order in which they began."""
    through: str = ""
    """The node that the last attempt was sent through, "" if direct."""
    answer_end: answer_ends.AnswerEnd | None = None
    """How the end of the endpoint's answer was told, None if it had none."""
    answered_s: float | None = None
    """When the answer was complete here, None before."""
    delivery: caller_ends.Delivery | None = None
    """What became of that answer, None before."""
    attempt_counts: runs.AttemptCounts = dataclasses.field(
        default_factory=runs.AttemptCounts
    )

    @property
    def request_id(self) -> str:
        """Return the request id that the caller sent."""
        return self.metadata.request_id

    def log_attempt(
        self,
        run: runs.Run,
        outcome: calls.Outcome,
        detail: str,
        follows: str,
        refusal: runs.Refusal | None,
        now_s: float,
    ) -> None:
        """Log an attempt that failed or is late, and what follows."""
        decision_log.note(
            "attempt",
            id=self.request_id,
            endpoint=run.member.endpoint_id,
            outcome=outcome.value,
            detail=detail,
            after_ms=_ms(now_s - run.began_s),
            next=follows,
            **_obstacle_fields(refusal),
            **self._through(),
            **_limit_fields(run),
        )

    def log_end(
        self,
        result: str,
        status: int,
        detail: str,
        last_event_id: int | None,
        node_scheduler: scheduler.RequestScheduler,
        node_metrics: metrics.GatewayMetrics,
        now_s: float,
    ) -> None:
        """Log the final response, and count it."""
        request = self.request
        workspace = request.workspace if request else None
        config = node_scheduler.document
        ended_s = now_s if self.answered_s is None else self.answered_s
        took_s = ended_s - self.arrived_s
        route = request.route.name if request else ""
        node_metrics.observe_request(route, result, took_s)
        decision_log.note(
            "request",
            id=self.request_id,
            route=route,
            workspace=workspace.name if workspace else "",
            version=config.version if config else 0,
            result=result,
            status=status,
            detail=detail,
            attempts=self.attempt_counts.arrivals,
            last_event=last_event_id,
            took_ms=_ms(took_s),
            nodes_alive=node_scheduler.nodes_alive,
            **self._last_choice(),
            **self._event_fields(),
            **self._end_fields(),
            **self._delivery_fields(now_s),
            **_rows_age(result, node_scheduler, now_s),
        )

    def _last_choice(self) -> dict[str, object]:
        """Return the log fields that describe the last attempt."""
        run = self.last_run
        if run is None:
            return {}
        fields: dict[str, object] = dataclasses.asdict(run.choice)
        fields["endpoint"] = run.member.endpoint_id
        fields["chosen_ms"] = _ms(run.began_s - self.arrived_s)
        if run.removed_before_s is not None:
            fields["removed_before_ms"] = _ms(run.removed_before_s)
        if run.first_event_s is not None:
            fields["first_event_ms"] = _ms(run.first_event_s - run.began_s)
        return fields | self._through() | _limit_fields(run)

    def _event_fields(self) -> dict[str, object]:
        """Return which run gave which events, and where the caller stood."""
        fields: dict[str, object] = {}
        if self.metadata.last_event_id is not None:
            fields["caller_has"] = self.metadata.last_event_id
        sources = [
            {
                "endpoint": one.run.member.endpoint_id,
                "first": one.events.first_id,
                "last": one.events.last_id,
                "events": one.events.count,
            }
            for one in self.run_events
            if one.events.count
        ]
        if sources:
            fields["events_from"] = sources
        return fields

    def _end_fields(self) -> dict[str, object]:
        """Return how the end of the endpoint's answer was told."""
        end = self.answer_end
        if end is None:
            return {}
        return {
            "framing": end.framing.value,
            "body_bytes": end.body_bytes,
            "request_number": end.request_number,
            "lost_beside": end.lost_beside,
        }

    def _delivery_fields(self, now_s: float) -> dict[str, object]:
        """Return how long the caller took for a complete answer."""
        if self.answered_s is None or self.delivery is None:
            return {}
        fields: dict[str, object] = {
            "delivery_ms": _ms(now_s - self.answered_s)
        }
        if self.delivery.end is not None:
            fields["unsent_bytes"] = self.delivery.unsent_bytes
        return fields

    def _through(self) -> dict[str, object]:
        return {"through": self.through} if self.through else {}


def _rows_age(
    result: str, node_scheduler: scheduler.RequestScheduler, now_s: float
) -> dict[str, object]:
    """Return how old the rows are that a refusal rests on."""
    if result not in _REFUSED_BY_ROWS:
        return {}
    age_s = node_scheduler.freshness.oldest_age_s(now_s)
    return {} if age_s is None else {"rows_age_ms": _ms(age_s)}


def _limit_fields(run: runs.Run) -> dict[str, object]:
    """Return the log fields that explain a run at a limited endpoint."""
    permit = run.permit
    if permit is None:
        return {}
    return {
        "limit_per_s": run.limit_per_s,
        "limit_age_ms": _ms(run.limit_age_s),
        "permit": permit.reason.value,
        "permit_wait_ms": _ms(permit.wait_s),
        "issuer": permit.issuer,
    }


def _obstacle_fields(refusal: runs.Refusal | None) -> dict[str, object]:
    """Return why no attempt follows."""
    if refusal is None:
        return {}
    return {"obstacle": refusal.detail or refusal.reason.value}


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
