"""Admits the requests that the configuration and the limits allow."""

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import crash_tracker
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import limits
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.core.gateway import runs
from fireflypulley.core.gateway import workspace_limits

DEFAULT_TIMEOUT_S = 10.0
MIN_TIME_LEFT_S = 0.01
RETRY_SOON_S = 0.3
ANSWER_MARGIN_S = 0.06
"""The final answer is sent this long before the route's timeout."""


class RequestAdmission:
    """Checks a request before an endpoint is chosen for it."""

    def __init__(
        self,
        shared_limits: workspace_limits.WorkspaceLimits,
        retry_budget: limits.RetryBudget,
        crashes: crash_tracker.CrashTracker,
        crashes_by_part: prompt_crashes.PromptCrashes,
    ) -> None:
        self._limits = shared_limits
        self._retry_budget = retry_budget
        self._crash_tracker = crashes
        self._prompt_crashes = crashes_by_part

    def admit(
        self,
        config: document.Document | None,
        call: calls.RequestMetadata,
        host: str,
        path: str,
        fingerprint: str,
        now_s: float,
    ) -> calls.AdmittedRequest | runs.Refusal:
        """Return the admitted request, or why it is refused."""
        if config is None:
            return runs.Refusal(
                calls.RefusalReason.NO_CONFIGURATION,
                RETRY_SOON_S,
                "configuration not loaded",
            )
        route = config.route(host, path)
        if route is None:
            return runs.Refusal(
                calls.RefusalReason.NO_ROUTE,
                None,
                f"no route for {host}{path}",
            )
        workspace = None
        if config.workspaces and not route.anonymous:
            workspace = config.workspace_of_key(call.api_key or "")
            if workspace is None:
                return runs.Refusal(
                    calls.RefusalReason.NO_KEY, None, "unknown key"
                )
        service = config.service(route.service_for(call.request_id))
        if service is None:
            return runs.Refusal(
                calls.RefusalReason.NO_ENDPOINT,
                RETRY_SOON_S,
                "unknown service",
            )
        timeout_s = call.timeout_s
        if timeout_s is None:
            timeout_s = DEFAULT_TIMEOUT_S
        timeout_s = min(timeout_s, route.timeout_s - ANSWER_MARGIN_S)
        request = calls.AdmittedRequest(
            call,
            route,
            service,
            workspace,
            fingerprint,
            now_s,
            now_s + timeout_s,
        )
        return self._check(request, now_s) or request

    def _check(
        self, request: calls.AdmittedRequest, now_s: float
    ) -> runs.Refusal | None:
        if request.deadline_s - now_s < MIN_TIME_LEFT_S:
            return runs.Refusal(calls.RefusalReason.NO_TIME_LEFT)
        if self._crash_tracker.is_quarantined(request.fingerprint, now_s):
            return runs.Refusal(
                calls.RefusalReason.QUARANTINED,
                None,
                "request crashed endpoints",
            )
        verdict = self._prompt_crashes.judge(
            request.workspace_name, request.shared_part_ids, now_s
        )
        if verdict is not None:
            return runs.Refusal(
                calls.RefusalReason.PART_QUARANTINED,
                verdict.wait_s,
                str(verdict),
            )
        wait_s = self._limits.charge(request, now_s)
        if wait_s:
            detail = self._limits.explain(request)
            return runs.Refusal(calls.RefusalReason.OVER_LIMIT, wait_s, detail)
        self._retry_budget.note_request(request.service.name, now_s)
        return None
