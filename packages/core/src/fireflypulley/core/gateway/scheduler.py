"""Admits requests, chooses endpoints and decides on retries."""

import collections

from fireflypulley.core import facts
from fireflypulley.core.gateway import attempt_evaluator
from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import brittle_endpoints
from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import crash_tracker
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import endpoint_chooser
from fireflypulley.core.gateway import endpoint_filter
from fireflypulley.core.gateway import fleet
from fireflypulley.core.gateway import leaving_reports
from fireflypulley.core.gateway import limited_endpoints
from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import load_tracker
from fireflypulley.core.gateway import node_shares
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import request_admission
from fireflypulley.core.gateway import retry_policy
from fireflypulley.core.gateway import row_freshness
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import sharing
from fireflypulley.core.gateway import versions
from fireflypulley.core.gateway import ways
from fireflypulley.core.gateway import workspace_limits


class RequestScheduler:
    """Admission, placement and retries of the requests of one node.

    ``evaluator`` is to be told what becomes of attempts.
    """

    def __init__(
        self,
        failure_domain: str,
        shared_bounds: bounds.SharedBounds,
        node_id: str = "",
    ) -> None:
        self.document: document.Document | None = None
        self.applied_s = 0.0
        self.fleet = fleet.Fleet(shared_bounds.drain_s)
        self.leaving = leaving_reports.LeavingReports(self.fleet)
        self.loads = load_tracker.LoadTracker(self.fleet)
        self.limits = workspace_limits.WorkspaceLimits(
            shared_bounds.limit_overshoot, shared_bounds.limit_tolerance
        )
        self.retry_budget = limits.RetryBudget(
            shared_bounds.retry_ratio,
            shared_bounds.retry_slack,
            shared_bounds.retry_window_s,
        )
        cold_limiter = node_shares.NodeShareLimiter(node_id)
        self.shared = facts.SharedState()
        self.rollouts = versions.RolloutTracker(node_id, self.shared)
        self.endpoint_filter = endpoint_filter.EndpointFilter(
            self.fleet, self.rollouts
        )
        self.crash_tracker = crash_tracker.CrashTracker(self.shared)
        self.prompt_crashes = prompt_crashes.PromptCrashes()
        self.limited = limited_endpoints.LimitedEndpoints()
        self.brittle = brittle_endpoints.BrittleEndpoints(node_id)
        self.evaluator = attempt_evaluator.AttemptEvaluator(
            self.fleet,
            self.rollouts,
            self.endpoint_filter.durations,
            self.crash_tracker,
            self.brittle,
        )
        self.freshness = row_freshness.RowFreshness()
        self.ways: ways.Ways | None = None
        """None as long as there is only the direct way to endpoints."""
        self.nodes_alive = 1
        self.nodes_known = 1
        self._sharing = sharing.SharingNodes()
        self.refused: collections.Counter[calls.RefusalReason]
        self.refused = collections.Counter()
        self._admission = request_admission.RequestAdmission(
            self.limits,
            self.retry_budget,
            self.crash_tracker,
            self.prompt_crashes,
        )
        self.retry_policy = retry_policy.RetryPolicy(self.retry_budget)
        self._chooser = endpoint_chooser.EndpointChooser(
            failure_domain,
            self.loads,
            self.endpoint_filter,
            endpoint_chooser.Limits(self.limited, self.brittle, cold_limiter),
            self._sharing,
        )

    # State

    def apply_document(
        self, new_document: document.Document, now_s: float
    ) -> None:
        """Use a configuration from now on."""
        self.document = new_document
        self.applied_s = now_s
        self._set_limits(now_s)

    def set_node_counts(
        self,
        alive: int,
        known: int,
        now_s: float,
        sharing_count: int | None = None,
    ) -> None:
        """Set how many nodes are reachable, and how many there are.

        ``sharing_count`` is by how many nodes all bounds are shared if
        these are more than ``known``.  Called several times a second.
        """
        self.retry_budget.tick(now_s)
        self.limits.limiter.tick(now_s)
        known = max(known, sharing_count or 0)
        self._sharing.note(known, now_s)
        if (alive, known) == (self.nodes_alive, self.nodes_known):
            return
        self.nodes_alive = alive
        self.nodes_known = known
        self._set_limits(now_s)

    def begin(self, now_s: float) -> None:
        """Take little of what all nodes share until ``join`` is called."""
        self.retry_budget.begin(now_s, previous_s=now_s)
        self._sharing.begin()

    def join(
        self,
        started_s: float,
        is_first: bool,
        now_s: float,
        previous_s: float = float("-inf"),
    ) -> None:
        """Share limits with the nodes that are known.

        At the first start of all nodes they may not know each other yet.
        ``previous_s`` is when this node had started before.
        """
        self.retry_budget.begin(started_s, is_first, previous_s)
        self._sharing.join(started_s, is_first, now_s)

    @property
    def reached_share(self) -> float:
        """Return the fraction of the nodes that are reachable."""
        return self.nodes_alive / max(self.nodes_known, 1)

    def _set_limits(self, now_s: float) -> None:
        """Scale the limits to the fraction of nodes that are reachable."""
        if self.document is None:
            return
        self.limits.apply(
            self.document.workspaces,
            self.reached_share,
            now_s,
            self.nodes_known,
        )

    def forget_absent(self) -> None:
        """Drop what is known of endpoints that are gone, and old crashes."""
        self.loads.forget_absent()
        present = {member.registration.key for member in self.fleet}
        self.limited.forget_absent(present)
        self.brittle.forget_absent(present)
        self.crash_tracker.forget_old()

    def old_running(self) -> dict[str, int]:
        """Return own requests on old versions by service with a rollout."""
        counts: dict[str, int] = {}
        for rollout in self.rollouts:
            counts[rollout.service] = sum(
                self.loads.of(member).running
                for member in self.fleet.of_service(rollout.service)
                if member.registration.version != rollout.target
            )
        return counts

    def update_old_running(
        self, node_id: str, counts: dict[str, int], now_s: float
    ) -> None:
        """Record how many requests another node has on old versions."""
        self.rollouts.update_old_running(node_id, counts, now_s)

    # Admission

    def admit(
        self,
        call: calls.RequestMetadata,
        host: str,
        path: str,
        fingerprint: str,
        now_s: float,
    ) -> calls.AdmittedRequest | runs.Refusal:
        """Return the admitted request, or why it is refused."""
        return self._admission.admit(
            self.document, call, host, path, fingerprint, now_s
        )

    # Placement

    def choose(
        self,
        request: calls.AdmittedRequest,
        avoid: frozenset[tuple[str, int]],
        now_s: float,
        withheld: int = 0,
    ) -> runs.Run | runs.Refusal:
        """Begin an attempt at an endpoint, or return why there is none.

        ``withheld`` is how many limited endpoints had no permit for it.
        """
        return self._chooser.choose(
            request, avoid, now_s, withheld, self.nodes_known
        )

    def choose_beside(
        self,
        request: calls.AdmittedRequest,
        avoid: frozenset[tuple[str, int]],
        now_s: float,
        withheld: int,
    ) -> runs.Run | runs.Refusal:
        """Begin an attempt at a sound endpoint beside one that is late."""
        return self._chooser.choose_beside(request, avoid, now_s, withheld)

    def still_allowed(self, run: runs.Run, now_s: float) -> bool:
        """Return whether the request may still go to the run's endpoint.

        To be checked right before sending, after any wait.
        """
        return self.endpoint_filter.still_allowed(run, now_s)

    # Retries

    def may_retry(
        self,
        request: calls.AdmittedRequest,
        outcome: calls.Outcome,
        counts: runs.AttemptCounts,
        now_s: float,
        has_begun: bool = False,
    ) -> runs.Refusal | None:
        """Return None if a request may go to another endpoint.

        ``has_begun`` tells whether the last endpoint began to answer.
        """
        if self.crash_tracker.is_quarantined(request.fingerprint, now_s):
            return runs.Refusal(
                calls.RefusalReason.QUARANTINED,
                None,
                "request crashed endpoints, not retried",
            )
        is_unbegun = outcome is calls.Outcome.CUT and not has_begun
        if is_unbegun and self.prompt_crashes.is_suspect(
            request.workspace_name, request.shared_part_ids
        ):
            return runs.Refusal(
                calls.RefusalReason.PART_QUARANTINED,
                None,
                "like requests that crashed endpoints, not retried",
            )
        refusal = self.retry_policy.refusal(
            request, outcome, counts, self._sharing.known, now_s
        )
        if refusal is None or outcome is not calls.Outcome.UNREACHED:
            return refusal
        return self._until_way(request, refusal, now_s)

    def _until_way(
        self,
        request: calls.AdmittedRequest,
        refusal: runs.Refusal,
        now_s: float,
    ) -> runs.Refusal:
        """Return a refusal that tells when a way to endpoints is likely."""
        if self.ways is None:
            return refusal
        members = self.endpoint_filter.in_use(request, now_s)
        durations = self.endpoint_filter.durations
        return self.ways.refusal(
            request,
            refusal,
            [member.registration.key for member in members],
            durations.expected_s(request.route.name) or 0.0,
            now_s,
        )
