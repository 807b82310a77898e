"""Handles configuration events and advances rollouts."""

import dataclasses

from fireflypulley.core import actions
from fireflypulley.core import configuration
from fireflypulley.core import events
from fireflypulley.core import facts
from fireflypulley.core import handler
from fireflypulley.core import serving
from fireflypulley.core import state

CONFIRMATION_TTL_S = 6.0  # validity of a response of the store
ROLLOUT_WRITE_PERIOD_S = 1.0


class ConfigHandler(handler.Handler):
    """Applies entries and writes the next steps of rollouts."""

    def __init__(
        self, node: state.NodeState, requests: serving.Serving
    ) -> None:
        super().__init__(node, requests)
        self._last_store_response_s = float("-inf")
        self._write_asked_s: dict[str, float] = {}

    def handlers(self) -> dict[type[events.Event], handler.Handle]:
        return {
            events.EntriesRead: self._on_entries,
            events.EntryWritten: self._on_entry_written,
        }

    def store_confirmed(self, now_s: float) -> bool:
        """Return whether the store has responded recently."""
        return now_s - self._last_store_response_s < CONFIRMATION_TTL_S

    def _on_entries(
        self, event: events.EntriesRead, now_s: float
    ) -> handler.Actions:
        self._last_store_response_s = now_s
        self._node.pauses.confirm(event.asked_s)
        return self.apply_entries(event.entries, None, now_s)

    def _on_entry_written(
        self, event: events.EntryWritten, now_s: float
    ) -> handler.Actions:
        return self.apply_entries((event.entry,), None, now_s)

    def apply_entries(
        self,
        entries: tuple[configuration.Entry, ...],
        from_node: str | None,
        now_s: float,
    ) -> handler.Actions:
        """Apply entries and broadcast those that were newer."""
        updates = [e for e in entries if self._node.config.merge(e)]
        if not updates:
            return []
        for entry in updates:
            self._node.shared.merge(entry, now_s)
        self._node.rollouts.drop_ended()
        todo: handler.Actions = [actions.Spread(tuple(updates), from_node)]
        todo += [_log_line(entry) for entry in updates]
        return todo + self._serving.dispatch_all_queues(now_s)

    def tick(self, now_s: float) -> handler.Actions:
        rollouts = self._node.rollouts
        todo = self._report_to_owners(now_s)
        updates: list[facts.Fact] = []
        for trip in rollouts.trips(now_s):
            updates.append(trip)
            todo.append(
                actions.StateChanged(
                    "rollout", trip.rollout_id, "tripped", trip.reason
                )
            )
        updates = [f for f in updates if self._node.shared.merge(f, now_s)]
        if updates:
            todo.append(actions.Spread(tuple(updates)))
        return todo + self._write_rollouts(now_s)

    def _report_to_owners(self, now_s: float) -> handler.Actions:
        members = self._node.members
        todo: handler.Actions = []
        for fact in self._node.rollouts.evidence(members, now_s):
            owner = members.owner(fact.rollout_id, now_s)
            if owner is not None and owner != self._node.this.node_id:
                todo.append(actions.Tell(owner, (fact,)))
        return todo

    def _write_rollouts(self, now_s: float) -> handler.Actions:
        rollouts = self._node.rollouts
        todo: handler.Actions = []
        for verdict in rollouts.verdicts(now_s):
            todo += self._write(verdict, now_s)
        for rollout in rollouts.running():
            if not self._node.members.owns(rollout.rollout_id, now_s):
                continue
            step = rollouts.next_step(rollout, now_s)
            if step is not None:
                todo += self._write(step, now_s)
        return todo

    def _write(
        self, rollout: configuration.Rollout, now_s: float
    ) -> handler.Actions:
        name = configuration.rollout_name(rollout.workspace, rollout.service)
        entry = self._node.config.get(configuration.EntryKind.ROLLOUT, name)
        asked_s = self._write_asked_s.get(name, float("-inf"))
        if entry is None or now_s - asked_s < ROLLOUT_WRITE_PERIOD_S:
            return []
        self._write_asked_s[name] = now_s
        changed = dataclasses.replace(
            entry,
            body=rollout,
            operation_id=f"{self._node.this.node_id}-{now_s:.6f}",
        )
        return [actions.WriteEntry(changed)]


def _log_line(entry: configuration.Entry) -> actions.Action:
    body = entry.body
    detail = f"version {entry.version}"
    if isinstance(body, configuration.Rollout):
        detail = f"{body.state.value} step {body.step} {body.reason}"
    elif isinstance(body, configuration.Domain):
        detail = "drained" if body.drained else "restored"
    return actions.StateChanged(
        entry.kind.value, entry.name, "in-force", detail.strip()
    )
