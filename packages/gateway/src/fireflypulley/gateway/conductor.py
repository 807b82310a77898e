"""Leads rollouts to their end while this node holds the duty."""

from twisted.internet import interfaces

from fireflypulley.core import facts
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import row_codec
from fireflypulley.platform import base

RETRY_S = 0.4


class Conductor:
    """Takes rollouts from phase to phase and tells operators."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        node_desk: scheduler.RequestScheduler,
        store: base.ControlStore,
        codec: row_codec.RowCodec,
    ) -> None:
        self._reactor = reactor
        self._desk = node_desk
        self._store = store
        self._row_codec = codec
        self._written: dict[str, versions.Phase] = {}
        self._writing: set[str] = set()
        self._retry_s: dict[str, float] = {}
        self._fencing = 0
        self._has_recalled = False
        self._recalling = False
        self._recalled: list[facts.Fact] = []

    def _recall(self, fencing: int, now_s: float) -> bool:
        """Return whether what an earlier holder told has been read."""
        if fencing != self._fencing:
            self._fencing = fencing
            self._has_recalled = False
        if self._has_recalled:
            return True
        if not self._recalling and now_s >= self._retry_s.get("", 0.0):
            self._recalling = True
            background.start(
                self._read_told(), self._end_recall, rollouts=True
            )
        return False

    def _end_recall(self) -> None:
        self._recalling = False

    async def _read_told(self) -> None:
        table = self._row_codec.status_table
        now_s = self._reactor.seconds()
        try:
            found = await self._store.read(table)
        except base.Unavailable as problem:
            self._retry_s[""] = now_s + RETRY_S
            decision_log.note("rollout", state="unread", detail=str(problem))
            return
        for row in found.rows:
            try:
                told = self._row_codec.decode_rollout_status(row)
            except row_codec.InvalidRow as problem:
                decision_log.note(
                    "unreadable",
                    table=table,
                    key=row.key,
                    problem=str(problem),
                )
                continue
            if told is None:
                continue
            fact = self._desk.rollouts.restore_verdict(
                told.service, told.target, told.phase, row.version, now_s
            )
            if fact is not None:
                self._recalled.append(fact)
        self._has_recalled = True

    def tick(self, fencing: int) -> list[facts.Fact]:
        """Take the steps that are due; return what peers must hear.

        A new holder, told by its ``fencing`` number, first reads what an
        earlier one told the operators.
        """
        now_s = self._reactor.seconds()
        found = self._desk.rollouts
        if not list(found) or not self._recall(fencing, now_s):
            return []
        news, self._recalled = self._recalled, []
        old_running = self._desk.old_running()
        for rollout in found:
            reached = found.advance(
                rollout, old_running.get(rollout.service, 0), now_s
            )
            if reached is not None:
                news.append(reached)
                decision_log.note(
                    "rollout",
                    service=rollout.service,
                    target=rollout.target,
                    phase=reached.phase.value,
                    left_s=round(rollout.deadline_s - now_s, 2),
                )
            self._tell_operators(rollout, now_s)
        return news

    def _tell_operators(self, rollout: versions.Rollout, now_s: float) -> None:
        phase = self._desk.rollouts.phase(rollout)
        rollout_id = rollout.rollout_id
        if self._written.get(rollout_id) is phase:
            return
        if rollout_id in self._writing:
            return
        if now_s < self._retry_s.get(rollout_id, 0.0):
            return
        self._writing.add(rollout_id)
        background.start(
            self._write(rollout, phase),
            lambda: self._writing.discard(rollout_id),
            rollout=rollout_id,
        )

    async def _write(
        self, rollout: versions.Rollout, phase: versions.Phase
    ) -> None:
        row = self._row_codec.encode_rollout_status(
            rollout.service, rollout.target, phase
        )
        try:
            await self._store.transact((row,))
        except base.Unavailable as problem:
            retry_s = self._reactor.seconds() + RETRY_S
            self._retry_s[rollout.rollout_id] = retry_s
            decision_log.note(
                "rollout",
                service=rollout.service,
                phase=phase.value,
                state="unwritten",
                detail=str(problem),
            )
            return
        self._written[rollout.rollout_id] = phase
