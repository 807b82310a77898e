"""Answers that this node does not read, since their callers don't."""

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core.gateway import calls
from fireflypulley.core.gateway import document
from fireflypulley.core.gateway import loads

from . import builders

LONG_S = loads.UNRESPONSIVE_AFTER_S + 0.1


def _begin(count=1):
    """Return a scheduler and its runs at one endpoint."""
    route = builders.route(document.RouteKind.STREAM)
    scheduler = builders.a_scheduler(
        builders.a_document(route), builders.entry("e1")
    )
    begun = []
    for number in range(count):
        request = builders.admitted(scheduler, request_id=f"q{number}")
        begun.append(scheduler.choose(request, frozenset(), 0.0))
    return scheduler, begun


# Guards against an endpoint that counts as silent because its answer is held.
def test_a_held_answer_does_not_make_its_endpoint_silent():
    _, (run,) = _begin()
    run.load.note_activity(1.0)
    run.hold()
    assert not run.load.is_unresponsive(1.0 + LONG_S)
    assert not run.load.shared(1.0 + LONG_S).suspected
    run.release(60.0)
    assert not run.is_unresponsive(60.0)
    assert run.is_unresponsive(60.0 + LONG_S)


def test_an_answer_that_is_read_shows_the_silence_beside_a_held_one():
    _, (held, read) = _begin(2)
    held.hold()
    assert read.is_unresponsive(LONG_S)
    assert not held.is_unresponsive(LONG_S)


@pytest.mark.parametrize("released", [False, True])
def test_a_run_that_ends_leaves_nothing_held(released):
    scheduler, (held, read) = _begin(2)
    held.hold()
    if released:
        held.release(1.0)
    scheduler.evaluator.note_ended(held, calls.Outcome.COMPLETE, 1.0)
    held.release(1.0)
    held.hold()
    assert (read.load.running, read.load.held) == (1, 0)
    read.load.note_activity(2.0)
    assert read.is_unresponsive(2.0 + LONG_S)


# Guards against times of slow callers as evidence on their endpoints.
def test_the_time_of_a_held_answer_is_no_evidence():
    scheduler, (run,) = _begin()
    run.hold()
    run.release(30.0)
    scheduler.evaluator.note_event(run, 1, 30.0)
    scheduler.evaluator.note_ended(run, calls.Outcome.COMPLETE, 31.0)
    durations = scheduler.endpoint_filter.durations
    assert durations.expected_s(run.request.route.name) is None


@pytest.mark.parametrize("outcome", [calls.Outcome.SILENT, calls.Outcome.SLOW])
def test_the_deadline_of_a_held_answer_is_no_failure(outcome):
    scheduler, (run,) = _begin()
    run.hold()
    scheduler.evaluator.note_ended(run, outcome, 4.0)
    assert run.load.failures == 0
    assert not run.load.is_suspected(4.0)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["hold", "release", "end", "leave", "data"]),
        strategies.integers(0, 3),
    ),
    max_size=40,
)


@hypothesis.given(_STEPS)
def test_held_counts_are_those_of_the_runs_in_any_order(steps):
    """An endpoint that answers all that is read is never unresponsive."""
    scheduler, begun = _begin(4)
    load = begun[0].load
    now_s = 0.0
    for step, number in steps:
        run = begun[number]
        now_s += loads.UNRESPONSIVE_AFTER_S / 2
        if step == "hold":
            run.hold()
        elif step == "release":
            run.release(now_s)
        elif step == "end":
            scheduler.evaluator.note_ended(run, calls.Outcome.COMPLETE, now_s)
        elif step == "leave":
            scheduler.evaluator.note_abandoned(run)
        going = [run for run in begun if not run.is_over]
        held = [run for run in going if run.is_held]
        assert (load.running, load.held) == (len(going), len(held))
        is_read = len(going) > len(held)
        assert load.is_unresponsive(now_s + 60.0) == is_read
        if is_read:
            load.note_activity(now_s)
        assert not load.is_unresponsive(now_s)
