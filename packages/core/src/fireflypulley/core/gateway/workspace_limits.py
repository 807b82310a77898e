"""The part of the workspaces' limits that this node may grant."""

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import quotas

TOLERANCE_FRACTION = 0.5
"""The fraction of a limit's tolerance that is granted, so that requests
within the limit are not refused; the rest covers what other nodes admit
before they have reported it."""
URGENT_FRACTION = 0.04
"""Of the tolerance; a node that admitted more reports it at once."""


class WorkspaceLimits:
    """Charges requests to their workspaces.

    A limit may be exceeded by the fraction ``overshoot`` plus
    ``tolerance`` requests or tokens, because nodes receive each other's
    counts with a delay.
    """

    def __init__(self, overshoot: float, tolerance: float) -> None:
        self._factor = 1.0 + overshoot * TOLERANCE_FRACTION
        self._extra = tolerance * TOLERANCE_FRACTION
        self._urgent = tolerance * URGENT_FRACTION
        self.limiter = quotas.SharedLimiter()

    def apply(
        self,
        workspaces: tuple[document.Workspace, ...],
        share: float,
        now_s: float,
        nodes: int = 1,
    ) -> None:
        """Apply limits; ``share`` is the fraction of reachable nodes."""
        whole_limits = {
            workspace.name: quotas.Limit(
                workspace.rate_per_s * self._factor,
                workspace.burst * self._factor + self._extra,
            )
            for workspace in workspaces
            if workspace.rate_per_s
        }
        self.limiter.set_limits(whole_limits, now_s, share, nodes)

    def charge(self, request: calls.AdmittedRequest, now_s: float) -> float:
        """Charge a request; return 0, or the time to wait in seconds."""
        if request.workspace is None:
            return 0.0
        name = request.workspace.name
        return self.limiter.spend(name, request.usage_tokens, now_s)

    def explain(self, request: calls.AdmittedRequest) -> str:
        """Return what is left of a request's limit, for the log."""
        if request.workspace is None:
            return ""
        name = request.workspace.name
        left = self.limiter.left(name)
        return (
            f"{name}: {request.usage_tokens:.0f} asked, {left:.0f} left,"
            f" {request.workspace.rate_per_s:.0f}/s"
            f" burst {request.workspace.burst:.0f}"
        )

    def refund(self, request: calls.AdmittedRequest) -> None:
        """Refund the charge of a request that no endpoint ran."""
        if request.workspace is not None:
            name = request.workspace.name
            self.limiter.refund(name, request.usage_tokens)

    @property
    def has_urgent_update(self) -> bool:
        """Return whether spending must be reported to peers at once."""
        return bool(self._urgent) and self.limiter.unreported > self._urgent
