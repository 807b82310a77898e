"""Keeps the state of a node up to date with the rows of the store."""

import collections.abc
import math

from twisted.internet import interfaces
from twisted.internet import task

from fireflypulley.core.gateway import row_freshness
from fireflypulley.core.gateway import row_versions
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import scheduler
from fireflypulley.core.gateway import versions
from fireflypulley.gateway import background
from fireflypulley.gateway import decision_log
from fireflypulley.gateway import row_codec
from fireflypulley.gateway import store_health
from fireflypulley.platform import base

WATCH_TIMEOUT_S = 1.75
"""A store that falls silent never answers the calls sent meanwhile.  One sent
at the end of an outage must be given up, and another one answered, before
the node is in touch again, 3 s after the outage."""
CHECKING_WATCH_TIMEOUT_S = 0.25
"""The same until the store has answered after a failure."""
FEEDING_WATCH_TIMEOUT_S = 1.0
"""The same at a node that feeds others.  They read the store themselves once
it doubts the store, which is to be soon enough for a change to be in force
in time."""
FEED_CHECK_INTERVAL_S = 0.1
RETRY_DELAY_S = 0.25
STALE_READ_RETRY_DELAY_S = 0.4
FOUND_WITHIN_S = 0.1
"""A watch that is answered sooner found rows that were waiting for it."""
RETURN_GRACE_S = 2.5
"""What an older copy of the store lacks is written again within this time
after the store came back from it."""


class Follower:
    """Follows the tables of operators and endpoints."""

    def __init__(
        self,
        reactor: interfaces.IReactorTime,
        store: base.ControlStore,
        codec: row_codec.RowCodec,
        node_scheduler: scheduler.RequestScheduler,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._row_codec = codec
        self._scheduler = node_scheduler
        self.cache = rows.RowCache()
        self.on_update: collections.abc.Callable[[str], None] | None = None
        self.has_relay_feed: collections.abc.Callable[[], bool] = lambda: False
        self.feeds_others: collections.abc.Callable[[], bool] = lambda: False
        self.health = store_health.StoreHealth(reactor)
        self.unreadable = 0
        self._returned_s: dict[str, float] = {}
        self._is_running = False

    @property
    def tables(self) -> tuple[str, str]:
        """Return the names of the tables that are followed."""
        codec = self._row_codec
        return codec.operator_table, codec.endpoint_table

    def start(self) -> None:
        """Start to follow the tables."""
        self._is_running = True
        for table in self.tables:
            self._start_following(table)

    def stop(self) -> None:
        """Stop following the tables."""
        self._is_running = False

    def _start_following(self, table: str) -> None:
        if self._is_running:
            background.start(
                self._follow(table),
                lambda: self._restart_following(table),
                table=table,
            )

    def _restart_following(self, table: str) -> None:
        """Restart after an internal error, which has been logged."""
        self._reactor.callLater(RETRY_DELAY_S, self._start_following, table)

    async def _follow(self, table: str) -> None:
        is_current = False
        history_lost_at = -1
        while self._is_running:
            if self.cache.version(table) and self.has_relay_feed():
                # Relays read the store and send its rows to this node.
                is_current = False
                await self._pause(FEED_CHECK_INTERVAL_S)
                continue
            self.health.note_call(table)
            try:
                if is_current and not self._has_settled(table):
                    await self._watch(table)
                else:
                    result = await self._store.read(table)
                    is_current = self._apply_snapshot(table, result)
                    if not is_current:
                        await self._pause(STALE_READ_RETRY_DELAY_S)
                self.health.note_answer(table)
            except base.HistoryLost:
                decision_log.note("store", state="history-lost", table=table)
                is_current = False
                version = self.cache.version(table)
                if version == history_lost_at:
                    # The read in between was behind: it had nothing newer.
                    await self._pause(STALE_READ_RETRY_DELAY_S)
                history_lost_at = version
            except base.Unavailable as problem:
                self.health.note_failure(str(problem), table)
                await self._pause(RETRY_DELAY_S)

    async def _watch(self, table: str) -> None:
        """Wait for changes of a table, and apply them."""
        after = self.cache.version(table)
        result = await self._store.watch(
            table, after, self._watch_time_s(table)
        )
        since_s = self._reactor.seconds()
        if self.health.waited_s(table) < FOUND_WITHIN_S:
            since_s = self._confirmed_s(table)
        self.apply_rows(
            table, result.rows, result.version, False, after, since_s=since_s
        )
        self.note_confirmed(table, row_freshness.STORE)

    def _confirmed_s(self, table: str) -> float:
        """Return when a table's rows were last known to be the newest."""
        now_s = self._reactor.seconds()
        age_s = self._scheduler.freshness.age_s(table, now_s)
        return -math.inf if age_s is None else now_s - age_s

    def _in_grace(self, table: str) -> bool:
        """Return whether a table just came back from an older copy."""
        returned_s = self._returned_s.get(table, float("-inf"))
        return self._reactor.seconds() - returned_s < RETURN_GRACE_S

    def _watch_time_s(self, table: str) -> float:
        """Return how long to watch before the next full read is due."""
        timeout_s = WATCH_TIMEOUT_S
        if self.health.is_unanswered(table):
            timeout_s = CHECKING_WATCH_TIMEOUT_S
        elif self.feeds_others():
            timeout_s = FEEDING_WATCH_TIMEOUT_S
        if table not in self._returned_s:
            return timeout_s
        passed_s = self._reactor.seconds() - self._returned_s[table]
        return min(timeout_s, max(0.0, RETURN_GRACE_S - passed_s))

    def _has_settled(self, table: str) -> bool:
        """Return once whether the grace after a return has ended.

        What the store lacks then was removed, which a full read shows.
        """
        if table not in self._returned_s or self._in_grace(table):
            return False
        del self._returned_s[table]
        return True

    def _note_return(self, table: str, version: int) -> None:
        """Record the first rows of a new era of the store."""
        known = self.cache.version(table)
        if not known or row_versions.era(version) <= row_versions.era(known):
            return
        self._returned_s[table] = self._reactor.seconds()
        decision_log.note(
            "store",
            state="returned",
            table=table,
            era=row_versions.era(version),
            version=row_versions.number(version),
            known=row_versions.number(known),
        )

    async def _pause(self, seconds: float) -> None:
        await task.deferLater(self._reactor, seconds)

    def _apply_snapshot(self, table: str, snapshot: base.Snapshot) -> bool:
        """Apply a full read; return False if it is older than the cache."""
        if snapshot.version < self.cache.version(table):
            decision_log.note(
                "store",
                state="stale-read",
                table=table,
                version=snapshot.version,
                known=self.cache.version(table),
            )
            return False
        self.apply_rows(
            table,
            snapshot.rows,
            snapshot.version,
            True,
            since_s=self._confirmed_s(table),
        )
        self.note_confirmed(table, row_freshness.STORE)
        return True

    def note_confirmed(self, table: str, source: str) -> None:
        """Record that a source has no newer rows than this node."""
        now_s = self._reactor.seconds()
        self._scheduler.freshness.note(table, source, now_s)

    def apply_rows(
        self,
        table: str,
        changed: tuple[rows.FollowedRow, ...],
        version: int,
        is_whole: bool,
        after: int | None = None,
        source: str = row_freshness.STORE,
        since_s: float = -math.inf,
    ) -> None:
        """Apply rows of the store that this node or another node read.

        ``since_s`` is the earliest time at which the store may have had
        them.

        Unless they are all rows of the table, they must continue from a
        version ``after`` that this node has reached.  If not, an earlier
        batch was lost: the rows count, but the version that this node
        reports stays, so that it is sent again what lies between.
        """
        if table not in self.tables:
            return
        self._note_return(table, version)
        if changed and version > self.cache.version(table):
            decision_log.note(
                "rows",
                table=table,
                source=source,
                known=self.cache.version(table),
                version=version,
                after=after,
                whole=is_whole,
                rows=len(changed),
            )
        removed: list[rows.FollowedRow] = []
        if is_whole:
            if version < self.cache.version(table):
                return
            self.cache.note_baseline(table, version)
            if self._in_grace(table):
                changed = tuple(
                    row for row in changed if not self.cache.is_removed(row)
                )
            else:
                listed = {row.key for row in changed}
                removed = self.cache.removals(table, listed, version)
        before = self.cache.version(table)
        for row in sorted([*changed, *removed], key=lambda r: r.version):
            if self.cache.update(row, since_s):
                self._apply(row)
        if is_whole or (after is not None and after <= before):
            self.cache.note_version(table, version)
        if self.on_update is not None and self.cache.version(table) > before:
            self.on_update(table)

    def _apply(self, row: rows.FollowedRow) -> None:
        try:
            if row.table == self._row_codec.endpoint_table:
                self._apply_endpoint(row)
            else:
                self._apply_operator(row)
        except Exception as problem:
            # Whatever an odd row brings about, the others are to count.
            self.unreadable += 1
            decision_log.note(
                "unreadable",
                table=row.table,
                key=row.key,
                row_version=row.version,
                problem=str(problem),
            )

    def _apply_endpoint(self, row: rows.FollowedRow) -> None:
        now_s = self._reactor.seconds()
        since_s = self.cache.since_s(row)
        before = self._scheduler.fleet.get(row.key)
        member = before
        if row.value is None:
            self._remove_endpoint(row, since_s)
            state = "removed"
        else:
            registration = self._row_codec.decode_registration(row)
            member = self._scheduler.fleet.put(registration, now_s, since_s)
            state = "leaving" if member.leaving else "in-use"
            if before is not None and before.is_same(member):
                return
        spec = member.registration if member else None
        service = spec.service if spec else ""
        decision_log.note(
            "endpoint",
            endpoint=row.key,
            state=state,
            service=service,
            version=spec.version if spec else "",
            row_version=row.version,
            store_doubted=self.health.is_doubted,
            in_outage=self.health.in_outage,
            in_use=len(self._scheduler.fleet.in_use(service, now_s)),
            news_age_ms=_milliseconds(now_s - since_s),
            failed_ms=_milliseconds(self.health.since_failure_s),
        )

    def _remove_endpoint(self, row: rows.FollowedRow, since_s: float) -> None:
        now_s = self._reactor.seconds()
        if self.health.may_have_lapsed(row.table):
            # Nothing could leave while the store was away.
            since_s = now_s
        self._scheduler.fleet.remove(
            row.key, now_s, self.health.is_doubted, since_s
        )

    def _apply_operator(self, row: rows.FollowedRow) -> None:
        entry = self._row_codec.decode_operator_row(row)
        if isinstance(entry, row_codec.ConfigurationEntry):
            self._apply_configuration(entry, row.version)
        elif isinstance(entry, row_codec.EvacuationEntry):
            drained = self._scheduler.endpoint_filter.drained_domains
            if entry.is_active:
                drained.add(entry.failure_domain)
            else:
                drained.discard(entry.failure_domain)
            decision_log.note(
                "evacuation",
                failure_domain=entry.failure_domain,
                active=entry.is_active,
                row_version=row.version,
            )
        elif isinstance(entry, row_codec.RolloutEntry):
            self._apply_rollout(entry, row.version)
            decision_log.note(
                "rollout",
                service=entry.service,
                target=entry.target,
                row_version=row.version,
            )

    def _apply_rollout(
        self, entry: row_codec.RolloutEntry, row_version: int
    ) -> None:
        if entry.target is None:
            self._scheduler.rollouts.withdraw(entry.service)
            return
        self._scheduler.rollouts.order(
            versions.Rollout(
                f"{entry.service}/{entry.target}/{row_version}",
                entry.service,
                entry.target,
                self._reactor.seconds(),
                entry.duration_s,
                row_version,
            )
        )

    def _apply_configuration(
        self, entry: row_codec.ConfigurationEntry, row_version: int
    ) -> None:
        current = self._scheduler.document
        if current and entry.document.version <= current.version:
            return
        self._scheduler.apply_document(entry.document, self._reactor.seconds())
        decision_log.note(
            "configuration",
            version=entry.document.version,
            routes=len(entry.document.routes),
            row_version=row_version,
        )


def _milliseconds(seconds: float) -> int | None:
    """Return whole milliseconds, None for an unlimited time."""
    if math.isinf(seconds):
        return None
    return round(seconds * 1000)
