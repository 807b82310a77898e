"""What workspaces may spend at this node, of what they may in all."""

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import limits

TOLERANCE_FRACTION = 0.5
"""The part of a limit's tolerance that is used to refuse nothing owed;
the rest is for what other nodes let pass before they have told it."""
URGENT_FRACTION = 0.04
"""Of the tolerance; a node that let more pass tells it at once."""


class WorkspaceLimits:
    """Charges requests to their workspaces.

    A limit may be exceeded by the part ``overshoot`` of it and by
    ``tolerance`` requests or tokens, since nodes hear of each other with
    a delay.
    """

    def __init__(self, overshoot: float, tolerance: float) -> None:
        self._factor = 1.0 + overshoot * TOLERANCE_FRACTION
        self._extra = tolerance * TOLERANCE_FRACTION
        self._urgent = tolerance * URGENT_FRACTION
        self.limiter = limits.SharedLimiter()

    def apply(
        self,
        workspaces: tuple[document.Workspace, ...],
        share: float,
        now_s: float,
    ) -> None:
        """Take in limits; ``share`` is the part of the nodes in touch."""
        found = {
            one.name: limits.Limit(
                one.rate_per_s * self._factor,
                one.burst * self._factor + self._extra,
            ).scaled(share)
            for one in workspaces
            if one.rate_per_s
        }
        self.limiter.set_limits(found, now_s)

    def charge(self, request: calls.AdmittedRequest, now_s: float) -> float:
        """Charge a request; return 0, or how long it must wait."""
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
        """Return the charge of a request that no endpoint ran."""
        if request.workspace is not None:
            name = request.workspace.name
            self.limiter.refund(name, request.usage_tokens)

    @property
    def has_urgent_update(self) -> bool:
        """Return whether the peers are to hear at once what was spent."""
        return bool(self._urgent) and self.limiter.unreported > self._urgent
