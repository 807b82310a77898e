"""The era of the store, in the versions that the adapter returns."""

import asyncio
import json

import pytest

from adapter import store
from fireflypulley.core.gateway import row_versions
from fireflypulley.platform import base
from fireflypulley.platform import http_client


class Client:
    """Answers with prepared replies, and keeps the requests."""

    def __init__(self):
        self.replies = []
        self.sent = []

    def answer(self, code, era, **body):
        """Prepare an answer; ``era`` None leaves the field out."""
        headers = {} if era is None else {"store-era": str(era)}
        content = json.dumps(body).encode()
        self.replies.append(http_client.Reply(code, "", content, headers))

    async def request(
        self, method, path, body=None, headers=None, timeout_s=2.0
    ):
        self.sent.append((path, body and json.loads(body)))
        return self.replies.pop(0)


@pytest.fixture
def client():
    return Client()


@pytest.fixture
def rows(client):
    return store.PlatformStore(client)


def _row(key, version):
    fields = {"table": "t", "key": key, "value": "eA=="}
    return fields | {"row-version": version}


def _run(work):
    return asyncio.run(work)


def _read(client, rows, era, version, *found):
    client.answer(200, era, rows=list(found), **{"row-version": version})
    return _run(rows.read("t"))


def test_versions_after_a_return_are_higher_than_all_before(client, rows):
    before = _read(client, rows, 1, 90, _row("k", 90))
    after = _read(client, rows, 2, 5, _row("k", 5))
    assert after.version > before.version
    assert after.rows[0].version > before.rows[0].version


# Guards against a feed that goes on in another history.
@pytest.mark.parametrize("code", [200, 410])
def test_a_feed_over_a_return_has_lost_its_history(client, rows, code):
    before = _read(client, rows, 1, 5)
    client.answer(code, 2, rows=[], **{"row-version": 7})
    with pytest.raises(base.HistoryLost):
        _run(rows.watch("t", before.version, 1.0))
    # The next one does not ask the store about a version it never had.
    with pytest.raises(base.HistoryLost):
        _run(rows.watch("t", before.version, 1.0))
    assert len(client.sent) == 2


def test_pages_of_two_eras_are_no_snapshot(client, rows):
    page = {"has-more": True, "row-version": 9}
    client.answer(200, 1, rows=[_row("a", 3)], **page)
    client.answer(200, 2, rows=[_row("b", 4)], **{"row-version": 5})
    with pytest.raises(base.Unavailable):
        _run(rows.read("t"))


@pytest.mark.parametrize("era", ["0", "x", "-1", "99999999"])
def test_an_answer_of_an_older_era_or_of_none_is_not_used(client, rows, era):
    _read(client, rows, 1, 5)
    with pytest.raises(base.Unavailable):
        _read(client, rows, era, 9)


def test_answers_without_an_era_go_on_in_the_last_one(client, rows):
    _read(client, rows, 3, 5)
    assert _read(client, rows, None, 6).version == row_versions.join(3, 6)


def _write(version):
    return (base.RowWrite("t", "k", b"x", version),)


# Guards against a condition that holds for another row of the same number.
def test_a_write_that_expects_a_row_of_an_older_era_is_not_sent(client, rows):
    before = _read(client, rows, 1, 5, _row("k", 5))
    _read(client, rows, 2, 5, _row("k", 5))
    sent = len(client.sent)
    with pytest.raises(base.RowsConflict):
        _run(rows.transact(_write(before.rows[0].version)))
    assert len(client.sent) == sent


def test_a_conditional_write_over_a_return_is_not_taken_as_done(client, rows):
    before = _read(client, rows, 1, 5, _row("k", 5))
    client.answer(200, 2, **{"row-version": 6})
    with pytest.raises(base.Unavailable):
        _run(rows.transact(_write(before.rows[0].version)))


def test_conditions_bear_the_store_s_own_numbers(client, rows):
    before = _read(client, rows, 4, 5, _row("k", 3))
    client.answer(200, 4, **{"row-version": 6})
    version = _run(rows.transact(_write(before.rows[0].version)))
    assert version == row_versions.join(4, 6)
    (expected,) = client.sent[-1][1]["expected-revision"]
    assert expected["row-version"] == 3
