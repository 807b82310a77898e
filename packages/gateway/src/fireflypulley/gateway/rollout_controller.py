"""Drives rollouts while this node holds the duty."""

import dataclasses

from twisted.internet import interfaces

from fireflypulley.core import facts
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import row_codec
from fireflypulley.platform import base

RETRY_DELAY_S = 0.4


class RolloutController:
    """Advances the phases of rollouts and publishes them for operators.

    A phase is written over the row that this node has read or written last
    only, so that a former holder of the duty takes nothing back.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_scheduler: scheduler.RequestScheduler,
        store: base.ControlStore,
        codec: row_codec.RowCodec,
    ) -> None:
        self._reactor = reactor
        self._scheduler = node_scheduler
        self._store = store
        self._row_codec = codec
        self._published_phases: dict[str, versions.Phase] = {}
        self._row_versions: dict[str, int] = {}
        self._publishing: set[str] = set()
        self._retry_after_s: dict[str, float] = {}
        self._fencing = 0
        self._is_restored = False
        self._is_reading = False
        self._verdicts: list[facts.Fact] = []

    def _restore_published(self, fencing: int, now_s: float) -> bool:
        """Return whether the phases that were published have been read.

        Start to read them if the duty has been acquired anew, or if another
        node has written since.
        """
        if fencing != self._fencing:
            self._fencing = fencing
            self._is_restored = False
        if self._is_restored:
            return True
        if not self._is_reading and now_s >= self._retry_after_s.get("", 0.0):
            self._is_reading = True
            background.start(
                self._read_published(), self._end_read, rollouts=True
            )
        return False

    def _end_read(self) -> None:
        self._is_reading = False

    async def _read_published(self) -> None:
        table = self._row_codec.status_table
        now_s = self._reactor.seconds()
        try:
            snapshot = await self._store.read(table)
        except base.Unavailable as problem:
            self._retry_after_s[""] = now_s + RETRY_DELAY_S
            decision_log.note("rollout", state="unread", detail=str(problem))
            return
        self._published_phases.clear()
        self._row_versions = {
            row.key: row.version
            for row in snapshot.rows
            if row.value is not None
        }
        for row in snapshot.rows:
            try:
                published = self._row_codec.decode_rollout_status(row)
            except row_codec.InvalidRow as problem:
                decision_log.note(
                    "unreadable",
                    table=table,
                    key=row.key,
                    problem=str(problem),
                )
                continue
            if published is None:
                continue
            fact = self._scheduler.rollouts.restore_verdict(
                published.service,
                published.target,
                published.phase,
                row.version,
                now_s,
            )
            if fact is not None:
                self._verdicts.append(fact)
        self._is_restored = True

    def tick(self, fencing: int) -> list[facts.Fact]:
        """Advance the rollouts; return the facts to publish to peers.

        When the ``fencing`` number changes, this node has acquired the
        duty, and first reads what an earlier holder published.
        """
        now_s = self._reactor.seconds()
        tracker = self._scheduler.rollouts
        if not list(tracker) or not self._restore_published(fencing, now_s):
            return []
        updates, self._verdicts = self._verdicts, []
        old_running = self._scheduler.old_running()
        for rollout in tracker:
            reached = tracker.advance(
                rollout, old_running.get(rollout.service, 0), now_s
            )
            if reached is not None:
                updates.append(reached)
                decision_log.note(
                    "rollout",
                    service=rollout.service,
                    target=rollout.target,
                    phase=reached.phase.value,
                    left_s=round(rollout.deadline_s - now_s, 2),
                )
            self._publish_phase(rollout, now_s)
        return updates

    def _publish_phase(self, rollout: versions.Rollout, now_s: float) -> None:
        phase = self._scheduler.rollouts.phase(rollout)
        rollout_id = rollout.rollout_id
        if self._published_phases.get(rollout_id) is phase:
            return
        if rollout_id in self._publishing:
            return
        if now_s < self._retry_after_s.get(rollout_id, 0.0):
            return
        self._publishing.add(rollout_id)
        background.start(
            self._write_phase(rollout, phase),
            lambda: self._publishing.discard(rollout_id),
            rollout=rollout_id,
        )

    async def _write_phase(
        self, rollout: versions.Rollout, phase: versions.Phase
    ) -> None:
        row = self._row_codec.encode_rollout_status(
            rollout.service, rollout.target, phase
        )
        known_version = self._row_versions.get(row.key, 0)
        row = dataclasses.replace(row, expected_version=known_version)
        try:
            version = await self._store.transact((row,))
        except (base.Unavailable, base.RowsConflict) as problem:
            if isinstance(problem, base.RowsConflict):
                self._is_restored = False
            retry_s = self._reactor.seconds() + RETRY_DELAY_S
            self._retry_after_s[rollout.rollout_id] = retry_s
            decision_log.note(
                "rollout",
                service=rollout.service,
                phase=phase.value,
                state="unwritten",
                detail=str(problem),
            )
            return
        self._row_versions[row.key] = version
        self._published_phases[rollout.rollout_id] = phase
        self._confirm(rollout, phase)

    def _confirm(
        self, rollout: versions.Rollout, phase: versions.Phase
    ) -> None:
        """Let no evidence change a verdict that operators have read."""
        now_s = self._reactor.seconds()
        fact = self._scheduler.rollouts.confirm(rollout, phase, now_s)
        if fact is not None:
            self._verdicts.append(fact)
