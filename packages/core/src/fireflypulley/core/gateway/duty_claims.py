"""Which node says that it holds the duty."""


class DutyClaims:
    """The claims in the nodes' states.

    ``claimed_s`` is when a node last claimed the duty, ``holder`` the one
    that did, None once it gave it up.
    """

    def __init__(self, now_s: float) -> None:
        self.claimed_s = now_s
        self.holder: str | None = None

    def note(self, node_id: str, holds_duty: bool, now_s: float) -> None:
        """Record a node's state."""
        if holds_duty:
            self.claimed_s = now_s
            self.holder = node_id
        elif self.holder == node_id:
            self.holder = None
