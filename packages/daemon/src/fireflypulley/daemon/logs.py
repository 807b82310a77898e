"""Log lines, which are written for state changes only."""

import pathlib
import sys
import traceback

import eliot

from fireflypulley.core import actions
from fireflypulley.transport import memory


def open_log(path: pathlib.Path | None, node_id: str) -> None:
    """Write log lines to a file, or to standard error without one."""
    file = sys.stderr if path is None else path.open("a", buffering=1)
    eliot.add_global_fields(node_id=node_id)
    eliot.to_file(file)


def state_changed(change: actions.StateChanged) -> None:
    """Log a state change."""
    eliot.log_message(
        message_type=f"fireflypulley:{change.subject}",
        name=change.name,
        state=change.state,
        detail=change.detail,
    )


def note(subject: str, name: str, state: str, detail: str = "") -> None:
    """Log a state change of the daemon itself."""
    state_changed(actions.StateChanged(subject, name, state, detail))


def let_give_up(
    holder: memory.Holder, still_s: float, bound_bytes: int
) -> None:
    """Let a holder of memory give up; log that, and an error of its."""
    name = type(holder).__name__
    detail = (
        f"{holder.held_bytes} bytes that stood still for {still_s:.3f} s;"
        f" the bound is {bound_bytes} bytes"
    )
    note("memory", name, "gives-up", detail)
    try:
        holder.give_up()
    except Exception:
        note("memory", name, "failed", traceback.format_exc())
