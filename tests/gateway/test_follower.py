"""How a node keeps up with the rows of the store."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from fireflypulley.core.gateway import bounds
from fireflypulley.core.gateway import row_versions
from fireflypulley.core.gateway import rows
from fireflypulley.core.gateway import scheduler
from fireflypulley.gateway import follower
from fireflypulley.platform import base

from . import networks

CONTACT_S = 3.0
"""Bound of the rules: time after an outage until a node is in touch."""
STORE_ANSWER_S = 0.004
MAX_CALLS_PER_S = 100
"""A twentieth of what the store bears: two tables at each of nine nodes."""


@pytest.fixture
def clock():
    return task.Clock()


@pytest.fixture
def following(clock):
    store_follower = follower.Follower(
        clock,
        None,
        networks.RowCodec(),
        scheduler.RequestScheduler("a", bounds.SharedBounds()),
    )
    store_follower.health.peers_lost_store = lambda: True
    clock.advance(100.0)
    return store_follower


def _rows(era, number, *keys, value=b"1"):
    """Return rows of a table in an era, and their version."""
    version = row_versions.join(era, number)
    found = tuple(
        rows.FollowedRow(networks.OPERATORS, key, version, value)
        for key in keys
    )
    return networks.OPERATORS, found, version


@pytest.fixture
def applied(following):
    """Return the rows that the node acts on."""
    news = []
    following._apply = news.append
    return news


# Guards against a copy that takes back what was confirmed and in force.
def test_what_an_older_copy_lacks_is_kept_until_it_may_be_written_again(
    following, applied, clock
):
    following.apply_rows(*_rows(1, 9, "a", "b"), True)
    applied.clear()
    following.apply_rows(*_rows(2, 5, "a"), True)
    assert not applied
    clock.advance(follower.RETURN_GRACE_S)
    assert following._has_settled(networks.OPERATORS)
    table, found, version = _rows(2, 5, "a")
    following.apply_rows(table, found, version + 1, True)
    assert [(row.key, row.value) for row in applied] == [("b", None)]


def test_what_was_removed_is_not_taken_from_an_older_copy(
    following, applied, clock
):
    following.apply_rows(*_rows(1, 8, "a"), True)
    following.apply_rows(*_rows(1, 9, "a", value=None), False)
    applied.clear()
    following.apply_rows(*_rows(2, 5, "a"), True)
    assert not applied
    # What is written after the return is news.
    following.apply_rows(*_rows(2, 6, "a"), False)
    assert [row.value for row in applied] == [b"1"]


def test_a_row_that_is_only_numbered_anew_is_no_new_order(following, applied):
    following.apply_rows(*_rows(1, 9, "a"), True)
    applied.clear()
    following.apply_rows(*_rows(2, 5, "a"), False)
    assert not applied
    following.apply_rows(*_rows(2, 6, "a"), False)
    following.apply_rows(*_rows(2, 7, "a", value=b"2"), False)
    assert [row.value for row in applied] == [b"1", b"2"]


# Guards against another node that brings the era before back.
def test_rows_of_an_older_era_change_nothing(following, applied):
    following.apply_rows(*_rows(2, 5, "a"), True)
    applied.clear()
    for is_whole in (True, False):
        following.apply_rows(*_rows(1, 99, "a", value=b"old"), is_whole)
    assert not applied
    assert following.cache.version(networks.OPERATORS) == row_versions.join(
        2, 5
    )


# Guards against a row that hides all later ones of its batch.
def test_an_error_at_one_row_does_not_keep_the_others_out(following, clock):
    applied = []

    def apply(row):
        if row.key == "odd":
            raise OverflowError("port")
        applied.append(row.key)

    following._apply_operator = apply
    following.apply_rows(*_rows(1, 5, "odd", "b"), True)
    assert applied == ["b"]
    assert following.unreadable == 1
    assert following.cache.version(networks.OPERATORS) == row_versions.join(
        1, 5
    )


class _LateStore:
    """Answers a watch with rows that it has had for an unknown time."""

    def __init__(self, clock, waits_s):
        self._clock = clock
        self._waits_s = waits_s

    async def watch(self, table, after, wait_s):
        self._clock.advance(self._waits_s)
        version = row_versions.join(1, 9)
        row = rows.FollowedRow(table, "a", version, b"1")
        return base.Snapshot(version, (row,))


# Guards against a violation of DRAIN: the time in which an endpoint may be
# used counted from when the node heard, which may be seconds late.
@pytest.mark.parametrize(
    ("waits_s", "age_s"), [(1.0, 0.0), (0.01, 4.01)], ids=["new", "found"]
)
def test_rows_that_a_watch_finds_may_be_as_old_as_the_last_answer(
    following, applied, clock, waits_s, age_s
):
    following.note_confirmed(networks.ENDPOINTS, "store")
    clock.advance(4.0)
    following._store = _LateStore(clock, waits_s)
    following.health.note_call(networks.ENDPOINTS)
    defer.ensureDeferred(following._watch(networks.ENDPOINTS))
    (row,) = applied
    since_s = following.cache.since_s(row)
    assert clock.seconds() - since_s == pytest.approx(age_s)


class _SilentStore:
    """Answers no watch, and keeps how long each may take."""

    def __init__(self):
        self.waits_s = []
        self.answers = []

    async def read(self, table):
        return base.Snapshot(row_versions.join(1, 1), ())

    async def watch(self, table, after, wait_s):
        self.waits_s.append(wait_s)
        self.answers.append(defer.Deferred())
        return await self.answers[-1]


# Guards against a violation of CONFIG, as on day mute-store: a call that was
# sent while the store was silent kept all changes out for six seconds.
def test_a_call_to_a_silent_store_is_given_up_before_the_node_is_in_touch(
    following, clock
):
    store = following._store = _SilentStore()
    following._is_running = True
    defer.ensureDeferred(following._follow(networks.OPERATORS))
    longest_s = base.watch_timeout_s(store.waits_s[0])
    assert longest_s + follower.RETRY_DELAY_S < CONTACT_S
    store.answers[0].errback(base.Unavailable("no answer"))
    clock.advance(follower.RETRY_DELAY_S)
    assert base.watch_timeout_s(store.waits_s[1]) <= 1.0
    answer = base.Snapshot(row_versions.join(1, 1), ())
    store.answers[1].callback(answer)
    assert store.waits_s[2] == store.waits_s[0]


class _ForgetfulStore:
    """Has dropped its history, and its reads are behind."""

    def __init__(self, clock):
        self._clock = clock
        self.calls = 0

    async def read(self, table):
        await self._answer()
        return base.Snapshot(row_versions.join(1, 1), ())

    async def watch(self, table, after, wait_s):
        await self._answer()
        raise base.HistoryLost("watch")

    def _answer(self):
        self.calls += 1
        return task.deferLater(self._clock, STORE_ANSWER_S)


# Guards against a flood of calls that uses up what the store bears, after
# which nodes are turned away and hear of no change.
def test_reads_that_are_behind_are_not_repeated_at_once(following, clock):
    store = following._store = _ForgetfulStore(clock)
    following._is_running = True
    defer.ensureDeferred(following._follow(networks.OPERATORS))
    for _ in range(round(1.0 / STORE_ANSWER_S)):
        clock.advance(STORE_ANSWER_S)
    assert store.calls <= MAX_CALLS_PER_S
