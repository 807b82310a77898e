"""Scenarios are plans, and their callers come back for the rest."""

import random

import pytest

from fireflystandins.soak import callers
from fireflystandins.soak.checks import configurations
from fireflystandins.soak import evidence
from fireflystandins.soak import plan
from fireflystandins.soak import scenarios
from fireflystandins.soak import streams


@pytest.mark.parametrize("name", scenarios.NAMES)
def test_a_scenario_is_the_same_from_a_seed_and_a_file(tmp_path, name):
    played = scenarios.build(name, 7)
    played.save(tmp_path / "plan.json")
    assert plan.load(tmp_path / "plan.json") == played
    moments_s = [strike.at_s for strike in played.strikes]
    assert moments_s == sorted(moments_s)
    assert moments_s[-1] < played.lasts_s
    assert played != scenarios.build(name, 8)


@pytest.mark.parametrize(
    ("flaw", "first"),
    [
        (None, 21),
        (streams.Flaw.CLOSED, 21),
        (streams.Flaw.ANEW, 1),
        (streams.Flaw.EARLIER, 19),
        (streams.Flaw.LATER, 23),
    ],
)
def test_a_run_goes_on_after_the_last_event_or_wrongly(flaw, first):
    assert streams.first_event(20, flaw) == first


def test_streams_have_the_flaws_of_their_kind_and_time_only():
    flaws = streams.Flaws()
    assert flaws.draw(goes_on=True) is None
    flaws.add("later", 60.0, "seed")
    assert {flaws.draw(goes_on=False) for _ in range(50)} == {None}
    drawn = {flaws.draw(goes_on=True) for _ in range(50)}
    assert drawn == {None, streams.Flaw.LATER}
    flaws.add("later", 0.0, "seed")
    assert {flaws.draw(goes_on=True) for _ in range(50)} == {None}


def _caller():
    places = [("node1", "127.0.0.1:1"), ("node2", "127.0.0.1:2")]
    load = plan.Load(routes=("stream",), returns=2)
    return callers.Caller(1, places, load, random.Random(1), [])


class _Writer:
    def __init__(self):
        self.sent = b""

    def write(self, data):
        self.sent += data


def _ask(caller, how, body, status=200):
    """Return what a caller sent, and its answer, which ends then."""
    writer = _Writer()
    answer = caller._send(writer)
    answer.status, answer.body = status, body
    caller._end(answer, how)
    return writer.sent, answer


def test_a_caller_comes_back_twice_with_the_last_event_that_it_has():
    caller = _caller()
    sent, first = _ask(caller, "reset", b"id: 1\ndata: x\n\nid: 2\nda")
    assert b"Last-Event-Id" not in sent
    assert first.route == "stream"
    first.route = "resumed"
    caller._end(first, "reset")
    sent, second = _ask(caller, "closed", b"")
    assert b"POST /resumed/" in sent
    assert b"\r\nLast-Event-Id: 1\r\n" in sent
    sent, third = _ask(caller, "reset", b"id: 2\ndata: x\n\n")
    assert b"\r\nLast-Event-Id: 1\r\n" in sent
    sent, other = _ask(caller, "whole", b"")
    assert b"Last-Event-Id" not in sent
    ids = {one.request_id for one in (first, second, third, other)}
    assert len(ids) == 4
    seen = evidence.Evidence(scenarios.build("cuts", 1))
    seen.answers = [first, second, third, other]
    assert seen.chain_of(third) == [first, second]
    assert seen.chain_of(other) == []


@pytest.mark.parametrize(
    ("how", "status"), [("whole", 200), ("late", 200), ("closed", 502)]
)
def test_a_caller_does_not_come_back_after_other_ends(how, status):
    caller = _caller()
    _, answer = _ask(caller, how, b"id: 1\ndata: x\n\n", status)
    answer.route = "resumed"
    caller._end(answer, how)
    assert b"Last-Event-Id" not in _ask(caller, "whole", b"")[0]


@pytest.mark.parametrize("seed", range(10))
def test_changes_of_the_configuration_last_long_enough_to_be_judged(seed):
    played = scenarios.build("configs", seed)
    changes = [one for one in played.strikes if one.kind is plan.Kind.CONFIG]
    applies_s = configurations.Configurations.applies_s
    assert all(one.for_s > applies_s + 3 for one in changes)
    first, second = changes
    assert second.at_s > first.at_s + first.for_s
    assert second.at_s + second.for_s <= played.lasts_s
    assert {first.target, second.target} > {""}
