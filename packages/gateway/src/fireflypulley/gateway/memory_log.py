"""Tells which holder of memory gives up, and why."""

from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.transport import memory


def let_give_up(
    holder: memory.Holder, still_s: float, bound_bytes: int
) -> None:
    """Let a holder give up; log that, and an error of its."""
    decision_log.note(
        "memory",
        holder=type(holder).__name__,
        held_bytes=holder.held_bytes,
        still_ms=round(still_s * 1000),
        bound_bytes=bound_bytes,
    )
    background.guard(holder.give_up, memory="give up")()
