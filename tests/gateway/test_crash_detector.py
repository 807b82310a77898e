"""What the cut requests of a node tell about prompt parts."""

import dataclasses

import pytest
from twisted.internet import defer

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import prompt_crashes
from fireflypulley.gateway import crash_detector
from fireflypulley.gateway import prober
from fireflypulley.gateway import tunnels

from ..core.gateway import builders
from . import exchanges

EVENT = b"id: %d\ndata: x\n\n"


def _world(kind=exchanges.STREAM, **fields):
    """Return a world whose request has the shared parts aa and dd."""
    world = exchanges.World(kind, **fields)
    incoming = world.exchange._incoming
    incoming.headers.append((b"x-prefix", b"aa,dd,own"))
    return world


def _cut(world, connection):
    """Cut a connection whose endpoint has crashed."""
    connection.listener.response_failed(calls.Outcome.CUT, "test")
    world.unreachable.add(connection.endpoint_id)
    world.clock.advance(crash_detector.CRASH_CHECK_DELAY_S)


def _begin_stream(connection, events):
    connection.listener.response_head(200, list(exchanges.SEALED))
    for number in range(1, events + 1):
        connection.listener.response_data(EVENT % number)


@pytest.mark.parametrize("events", [0, 1])
def test_a_run_that_had_not_begun_is_reported_with_its_parts(events):
    world = _world(max_attempts=1)
    connection = world.begin()
    _begin_stream(connection, events)
    _cut(world, connection)
    (report,) = world.crash_reports
    assert report.endpoint_id == connection.endpoint_id
    assert report.unbegun == (prompt_crashes.UnbegunRun("", ("aa", "dd")),)
    assert report.age_s == pytest.approx(crash_detector.CRASH_CHECK_DELAY_S)


# Guards against sound requests that are blamed for another's crash.
def test_a_run_that_had_begun_is_not_reported():
    world = _world(max_attempts=1)
    connection = world.begin()
    _begin_stream(connection, prompt_crashes.PROVEN_EVENTS)
    _cut(world, connection)
    assert not world.crash_reports
    assert len(world.published) == 1


def test_a_lost_response_of_a_live_endpoint_reports_nothing():
    world = _world(max_attempts=1)
    world.begin().listener.response_failed(calls.Outcome.CUT, "test")
    world.clock.advance(crash_detector.CRASH_CHECK_DELAY_S)
    assert not world.crash_reports


# Guards against a node without links that reports sound endpoints, and the
# requests that hung there, to all others.
def test_an_endpoint_that_a_peer_reaches_has_not_crashed():
    world = _world(max_attempts=1)
    connection = world.begin()
    world.reached_by_peers.add(connection.endpoint_id)
    _cut(world, connection)
    assert not world.crash_reports
    assert not world.published


# Guards against crashes that are not looked into, or sound endpoints that
# are called gone, as the direct way opens while peers are asked.
@pytest.mark.parametrize("is_gone", [False, True])
def test_an_endpoint_is_tried_directly_once_the_direct_way_is_open(is_gone):
    world = _world()
    world.unreachable.add("e1")
    member = world.scheduler.fleet.get("e1")

    async def probe_through_peer():
        if not is_gone:
            world.unreachable.clear()
        raise tunnels.DirectAgain()

    world.pool(member, None).probe_through_peer = probe_through_peer
    looking = prober.Prober(world.clock, world.scheduler, world)
    results = []
    defer.ensureDeferred(looking.has_failed(member)).addBoth(results.append)
    assert results == [is_gone]


# Guards against crashes that nobody counts, as all nodes take themselves for
# cut off while many endpoints crash together.
def test_an_endpoint_that_no_node_reaches_has_crashed():
    world = _world(max_attempts=1)
    connection = world.begin()
    world.peers_problem = "cut off as well"
    for key in (("x1", 1), ("x2", 1)):
        world.paths.direct.note_direct(key, False, world.clock.seconds())
    _cut(world, connection)
    assert world.crash_reports
    assert len(world.published) == 1


def test_an_endpoint_that_leaves_as_announced_has_not_crashed():
    world = _world(max_attempts=1)
    connection = world.begin()
    member = world.scheduler.fleet.get(connection.endpoint_id)
    leaving = dataclasses.replace(member.registration, leaving=True)
    world.scheduler.fleet.put(leaving, 0.0)
    _cut(world, connection)
    assert not world.crash_reports


def _suspect(world, crashes):
    """Tell a world of crashes under requests like its own."""
    run = prompt_crashes.UnbegunRun("", ("aa", "dd"))
    for number in range(crashes):
        report = prompt_crashes.CrashReport(f"x{number}", 1, "s", (run,))
        world.scheduler.prompt_crashes.merge(report, float(number))
        world.scheduler.prompt_crashes.note_answered("s", {"zz"}, number + 0.1)


@pytest.mark.parametrize(("events", "sends"), [(0, 1), (2, 2)])
def test_a_suspect_that_had_not_begun_is_not_sent_again(events, sends):
    world = _world(max_attempts=2, resumable=True)
    _suspect(world, prompt_crashes.CRASHES_TO_SUSPECT)
    connection = world.begin()
    _begin_stream(connection, events)
    connection.listener.response_failed(calls.Outcome.CUT, "test")
    assert len(world.sent) == sends
    if sends == 1:
        # It may have run, so its caller must not be told otherwise.
        assert world.sink.status == 502


def test_a_refused_request_is_answered_at_once_with_the_time_to_return():
    world = _world()
    _suspect(world, prompt_crashes.CRASHES_TO_REFUSE + 1)
    assert world.begin() is None
    assert world.sink.status == 503
    assert float(dict(world.sink.headers)[b"retry-after"]) > 100


@pytest.mark.parametrize("is_whole", [True, False])
def test_an_answer_clears_the_parts_of_its_request(is_whole):
    world = _world(max_attempts=1)
    connection = world.begin()
    _suspect(world, prompt_crashes.CRASHES_TO_REFUSE)
    if is_whole:
        exchanges.answer(connection, body=EVENT % 1)
    else:
        _begin_stream(connection, prompt_crashes.PROVEN_EVENTS)
    assert {one.cleared for one in world.crash_reports} == {("aa", "dd")}
    assert not world.scheduler.prompt_crashes.verdicts(5.0)


# Guards against a popular request that is refused for one crash, since many
# copies of it were under way.
def test_copies_of_a_request_count_one_crash():
    world = exchanges.World(exchanges.AT_MOST_ONCE, max_attempts=1)
    detector = world.exchange._dependencies.crash_detector
    for number in range(5):
        request = builders.admitted(world.scheduler, f"q{number}")
        run = world.scheduler.choose(request, frozenset({("e2", 1)}), 0.0)
        detector.note_cut(run)
    world.unreachable = {"e1", "e2"}
    world.clock.advance(crash_detector.CRASH_CHECK_DELAY_S)
    assert [fact.crashes for fact in world.published] == [1]
    tracker = world.scheduler.crash_tracker
    assert not tracker.is_quarantined(request.fingerprint, 0.0)
