"""Endpoints that say in their answers that they leave."""

import pytest

from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import fleet

from ..core.gateway import builders
from . import exchanges

LEAVING = [*exchanges.SEALED, (b"x-leaving", b"1")]
REFUSED = [(b"x-request-id", b"q1"), (b"x-not-run", b"1")]
DRAIN_S = 2.0


def _leaving(world):
    return {
        member.endpoint_id
        for member in world.scheduler.fleet
        if member.leaving
    }


# Guards against requests to an endpoint that leaves, while the store that
# would tell it is away.
@pytest.mark.parametrize(
    ("kind", "status", "headers"),
    [
        (document.RouteKind.IDEMPOTENT, 200, LEAVING),
        (document.RouteKind.IDEMPOTENT, 500, LEAVING),
        (
            document.RouteKind.AT_MOST_ONCE,
            503,
            [*REFUSED, (b"x-leaving", b"1")],
        ),
        (exchanges.STREAM, 200, LEAVING),
    ],
)
def test_an_answer_that_says_leaving_binds_this_node(kind, status, headers):
    world = exchanges.World(kind)
    sent = world.begin()
    sent.listener.response_head(status, headers)
    assert _leaving(world) == {sent.endpoint_id}
    member = world.scheduler.fleet.get(sent.endpoint_id)
    assert not world.scheduler.fleet.may_receive(member, DRAIN_S)


def test_an_answer_that_says_leaving_is_told_once():
    world = exchanges.World()
    sent = world.begin()
    sent.listener.response_head(200, LEAVING)
    assert [one.key for one in world.leaving_reports] == [
        (sent.endpoint_id, 1)
    ]


def test_an_answer_to_another_request_says_nothing():
    world = exchanges.World()
    headers = [(b"x-request-id", b"other"), (b"x-leaving", b"1")]
    world.begin().listener.response_head(200, headers)
    assert not _leaving(world)


def test_a_misdirected_request_says_nothing():
    world = exchanges.World()
    world.begin().listener.response_head(421, LEAVING)
    assert not _leaving(world)


def test_no_later_entry_of_the_same_start_takes_it_back():
    known = fleet.Fleet(DRAIN_S)
    known.put(builders.entry("e1"), 0.0)
    assert known.note_says_leaving(("e1", 1), 1.0)
    assert not known.note_says_leaving(("e1", 1), 5.0)
    member = known.put(builders.entry("e1"), 6.0)
    assert member.leaving
    assert not known.may_receive(member, 1.0 + DRAIN_S)


def test_what_is_said_before_the_entry_is_known_counts():
    known = fleet.Fleet(DRAIN_S)
    known.note_says_leaving(("e1", 1), 1.0)
    member = known.put(builders.entry("e1"), 6.0)
    assert not known.is_in_use(member, 6.0)


def test_a_new_start_is_used_again():
    known = fleet.Fleet(DRAIN_S)
    known.put(builders.entry("e1"), 0.0)
    known.note_says_leaving(("e1", 1), 1.0)
    member = known.put(builders.entry("e1", started_ms=2), 6.0)
    assert known.is_in_use(member, 6.0)


def test_an_entry_that_was_removed_before_is_not_used_longer():
    known = fleet.Fleet(DRAIN_S)
    member = known.put(builders.entry("e1"), 0.0)
    known.remove("e1", 1.0, True)
    usable_until_s = member.usable_until_s
    known.note_says_leaving(("e1", 1), 2.0)
    assert member.usable_until_s == usable_until_s
    assert not known.is_in_use(member, 2.0)
