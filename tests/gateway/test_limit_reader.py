"""What a node learns of an endpoint's limit from answers to its requests."""

import pytest

from fireflypulley.gateway import decision_log

from . import exchanges

LIMITED = [*exchanges.SEALED, (b"x-limit", b"2.5")]


@pytest.fixture
def lines(monkeypatch):
    """Return the lines about limits that are logged."""
    logged = []
    monkeypatch.setattr(
        decision_log,
        "note",
        lambda kind, **fields: (
            logged.append(fields) if kind == "endpoint_limit" else None
        ),
    )
    return logged


def _rates(world):
    return {
        limit.endpoint_id: limit.rate_per_s
        for limit in world.scheduler.limited.limits.in_force()
    }


def test_an_answer_that_names_a_limit_is_noted_and_logged(lines):
    world = exchanges.World()
    connection = world.begin()
    exchanges.answer(connection, headers=LIMITED)
    assert _rates(world) == {connection.endpoint_id: 2.5}
    (line,) = lines
    assert line["state"] == "named"
    assert line["rate_per_s"] == 2.5
    assert line["source"] == "answer"


@pytest.mark.parametrize(
    "headers",
    [
        [(b"x-request-id", b"other"), (b"x-limit", b"2.5")],
        [(b"x-request-id", b"other"), (b"x-seal", b"s"), (b"x-limit", b"2")],
    ],
)
def test_an_answer_to_another_request_names_nothing(headers):
    world = exchanges.World()
    exchanges.answer(world.begin(), headers=headers, body=b"")
    assert not _rates(world)


def test_a_misdirected_request_tells_nothing():
    world = exchanges.World()
    connection = world.begin()
    exchanges.answer(connection, 421, b"", LIMITED)
    assert not _rates(world)


def test_a_refusal_may_name_a_limit():
    world = exchanges.World()
    connection = world.begin()
    refused = [*LIMITED, (b"x-not-run", b"1")]
    exchanges.answer(connection, 503, b"", refused)
    assert _rates(world) == {connection.endpoint_id: 2.5}


@pytest.mark.parametrize(
    ("status", "headers", "ends"),
    [
        (200, exchanges.SEALED, True),
        (503, [*exchanges.SEALED, (b"x-not-run", b"1")], False),
        (500, [(b"x-request-id", b"q1")], False),
    ],
)
def test_only_a_full_answer_ends_a_limit(status, headers, ends):
    world = exchanges.World()
    world.clock.advance(1.0)
    connection = world.begin()
    key = (connection.endpoint_id, 1)
    world.scheduler.limited.limits.note_named(key, 2.5, 0.5)
    exchanges.answer(connection, status, b"", headers)
    assert (connection.endpoint_id not in _rates(world)) is ends


def test_an_invalid_value_is_logged_and_limits_nothing(lines):
    world = exchanges.World()
    headers = [*exchanges.SEALED, (b"x-limit", b"nan")]
    exchanges.answer(world.begin(), headers=headers)
    assert not _rates(world)
    (line,) = lines
    assert (line["state"], line["value"]) == ("invalid", "nan")
