"""Each checker speaks on a record that breaks its rule, and only then."""

import pytest

from fireflystandins.soak import callers
from fireflystandins.soak import checks
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

BEGAN_S = 100.0


def _strike(kind, target="node1", began_s=BEGAN_S, ended_s=106.0, **fields):
    strike = plan.Strike(5.0, kind, target)
    return evidence.Happening(strike, began_s, ended_s, **fields)


def _stop(**fields):
    return _strike(plan.Kind.STOP, exit_code=0, **fields)


def _events(count, request_id="c1", first=1, run="s1.1", shift=0):
    names = f"{request_id} {run}".encode()
    return b"".join(
        b"id: %d\ndata: %s %d xxx\n\n" % (number, names, number + shift)
        for number in range(first, first + count)
    )


def _answer(route="resumed", how="whole", sent_s=99.0, ended_s=102.0, **more):
    fields = {
        "status": 200,
        "seal": "seal-s1",
        "names": "c1",
        "body": _events(3),
    } | more
    request_id = fields.pop("request_id", "c1")
    return callers.Answer(
        request_id, "node1", route, "whole", sent_s, ended_s, how=how, **fields
    )


def _run(request_id="c1", endpoint="s1", began_s=99.1, **fields):
    ended = {"how": "whole", "ended_s": 101.9, "events": 3}
    return evidence.Run(request_id, endpoint, began_s, **(ended | fields))


def _seen(answers, runs=(), happenings=(), **fields):
    load = plan.Load(events=3)
    played = plan.Plan(1, 2, 2, 40.0, load, ())
    return evidence.Evidence(
        played, list(answers), list(happenings), list(runs), **fields
    )


def _breaks(checker, seen):
    verdict = checker.judge(seen)
    assert verdict.checked > 0
    return [one.text for one in verdict.breaks]


@pytest.mark.parametrize("checker", checks.create(), ids=lambda one: one.rule)
def test_a_sound_record_breaks_no_rule(checker):
    sound = _seen([_answer()], [_run()], [_stop()])
    assert checker.judge(sound).breaks == []


@pytest.mark.parametrize("how", ["reset", "closed", "late"])
def test_lost_speaks_of_an_early_end_around_a_stop(how):
    seen = _seen([_answer(how=how)], [_run()], [_stop()])
    assert len(_breaks(checks.Lost(), seen)) == 1


def test_lost_speaks_of_a_request_that_ran_and_got_no_status():
    answer = _answer(how="closed", status=0, body=b"")
    seen = _seen([answer], [_run()], [_stop()])
    assert len(_breaks(checks.Lost(), seen)) == 1


@pytest.mark.parametrize(("waited_s", "expected"), [(0.1, 0), (0.3, 1)])
def test_lost_speaks_of_a_request_that_was_read_and_reached_no_endpoint(
    waited_s, expected
):
    unanswered = _answer(
        how="closed",
        status=0,
        body=b"",
        request_id="c2",
        ended_s=99.0 + 3 + waited_s,
        sent_s=99.0 + 3,
    )
    seen = _seen([_answer(), unanswered], [_run()], [_stop()])
    assert len(_breaks(checks.Lost(), seen)) == expected


def test_lost_leaves_out_a_request_that_was_not_sent():
    unsent = _answer(how="reset", status=0, request_id="c2", sent_s=0.0)
    seen = _seen([_answer(), unsent], [_run()], [_stop()])
    assert _breaks(checks.Lost(), seen) == []


def test_lost_speaks_beside_disruption_of_the_store_alone():
    store = _strike(plan.Kind.STORE, "store")
    seen = _seen([_answer(how="reset")], [_run()], [_stop(), store])
    assert len(_breaks(checks.Lost(), seen)) == 1


def test_lost_speaks_beside_a_silence():
    silence = _strike(plan.Kind.SILENCE, "s1")
    seen = _seen([_answer(how="reset")], [_run()], [_stop(), silence])
    assert len(_breaks(checks.Lost(), seen)) == 1


@pytest.mark.parametrize(
    ("answer", "run", "strike", "exits"),
    [
        ({}, {}, _strike(plan.Kind.KILL, "node2"), {}),
        ({}, {}, _strike(plan.Kind.PAUSE), {}),
        ({}, {}, _strike(plan.Kind.FAIL, "s1"), {}),
        ({}, {}, _strike(plan.Kind.LINK), {}),
        ({"sent_s": 93.0}, {}, None, {}),
        ({"ended_s": 107.4}, {"ended_s": 107.3}, None, {}),
        ({}, {"how": "lost"}, None, {"s1": 101.0}),
        ({}, {"how": "dropped"}, None, {}),
        ({}, {"how": "cut"}, None, {}),
        ({}, {}, _strike(plan.Kind.FLAW, "s1"), {}),
    ],
    ids=[
        "kill",
        "pause",
        "failing",
        "link",
        "deadline",
        "late-work",
        "exited",
        "dropped",
        "cut",
        "flaw",
    ],
)
def test_lost_excuses(answer, run, strike, exits):
    happenings = [_stop(), *([strike] if strike else [])]
    answers = [_answer(how="reset", **answer)]
    seen = _seen(answers, [_run(**run)], happenings, exits=exits)
    assert _breaks(checks.Lost(), seen) == []


def test_lost_does_not_excuse_an_endpoint_that_wrote_all_and_exited():
    answers, runs = [_answer(how="reset")], [_run()]
    seen = _seen(answers, runs, [_stop()], exits={"s1": 101.95})
    assert len(_breaks(checks.Lost(), seen)) == 1


@pytest.mark.parametrize(
    "body",
    [
        _events(1) + _events(1, first=3),
        _events(2) + _events(2, first=2),
        _events(2),
    ],
    ids=["missing", "twice", "too-few"],
)
def test_order_speaks_of_events(body):
    assert len(_breaks(checks.Order(), _seen([_answer(body=body)]))) == 1


def _order_of(*answers, runs=()):
    return _breaks(checks.Order(), _seen(answers, runs))


# Guards against pieces of two runs in one answer.
@pytest.mark.parametrize(
    ("route", "body", "expected"),
    [
        ("resumed", _events(1) + _events(2, first=2, run="s2.1"), 0),
        ("stream", _events(1) + _events(2, first=2, run="s2.1"), 1),
        ("resumed", _events(2) + _events(2, first=2, run="s2.1"), 1),
        ("resumed", _events(1) + _events(1, first=3, run="s2.1"), 1),
        (
            "resumed",
            _events(1) + _events(1, first=2, run="s2.1") + _events(1, first=3),
            1,
        ),
    ],
    ids=["resumed", "not-resumable", "again", "gap", "back"],
)
def test_order_speaks_of_two_runs(route, body, expected):
    assert len(_order_of(_answer(route, body=body))) == expected


def test_order_speaks_of_a_number_that_is_not_its_run_s():
    assert len(_order_of(_answer(body=_events(3, shift=1)))) == 1


def _chain(*firsts_and_counts):
    """Return the answers of a caller that came back after each but one."""
    answers = []
    for number, (first, count) in enumerate(firsts_and_counts, start=1):
        body = _events(count, f"c{number}", first, f"s{number}.1")
        follows = f"c{number - 1}" if number > 1 else ""
        answers.append(
            _answer(
                request_id=f"c{number}",
                how="reset",
                body=body,
                follows=follows,
            )
        )
    answers[-1].how = "whole"
    return answers


@pytest.mark.parametrize(
    ("chain", "expected"),
    [
        ([(1, 1), (2, 1), (3, 1)], 0),
        ([(1, 2), (1, 0), (3, 1)], 0),
        ([(1, 3), (1, 0)], 0),
        ([(1, 2), (1, 3)], 1),
        ([(1, 2), (2, 2)], 1),
        ([(1, 1), (3, 1)], 1),
        ([(1, 1), (2, 1)], 1),
        ([(1, 1), (1, 0)], 1),
    ],
    ids=[
        "twice",
        "without-an-event",
        "had-all",
        "anew",
        "earlier",
        "later",
        "too-few",
        "none",
    ],
)
def test_order_speaks_of_what_a_caller_gets_that_comes_back(chain, expected):
    assert len(_order_of(*_chain(*chain))) == expected


# An endpoint that sends no event and says that this was all can't be seen
# through; one that sends too few, or is cut, can.
@pytest.mark.parametrize("checker", [checks.Order(), checks.Mixed()])
@pytest.mark.parametrize(
    ("how", "expected"),
    [("empty", 0), ("whole", 1), ("lost", 1), ("dropped", 1), ("cut", 1)],
)
def test_an_empty_run_alone_excuses_a_short_answer(checker, how, expected):
    chain = _chain((1, 1), (1, 0))
    chain[1].last, chain[1].names = 1, "c2"
    seen = _seen(chain, [_run("c2", how=how)])
    assert len(_breaks(checker, seen)) == expected


def _order_of_a_short_answer(run, strikes=(), exits=None):
    seen = _seen([_answer(body=_events(2))], [run], strikes, exits=exits or {})
    return _breaks(checks.Order(), seen)


@pytest.mark.parametrize(
    ("how", "exited_s"),
    [("whole", 101.0), ("lost", 99.0), ("lost", 101.0), ("lost", 102.5)],
    ids=["wrote-all", "before-the-run", "meanwhile", "after-the-answer"],
)
def test_order_does_not_excuse_exits(how, exited_s):
    run = _run(how=how, events=2)
    assert len(_order_of_a_short_answer(run, exits={"s1": exited_s})) == 1


@pytest.mark.parametrize("kind", plan.Kind)
def test_order_does_not_excuse_strikes(kind):
    strikes = [_strike(kind, "s1"), _strike(kind)]
    assert len(_order_of_a_short_answer(_run(), strikes)) == 1


@pytest.mark.parametrize(
    "answer",
    [
        {"names": "c2"},
        {"seal": ""},
        {"body": _events(2) + _events(1, "c2", 3)},
        {"route": "fetch", "body": b"answer to c2"},
        {"how": "invalid", "status": 0},
    ],
    ids=["id", "seal", "event", "body", "bytes"],
)
def test_mixed_speaks_of_another_answer(answer):
    assert len(_breaks(checks.Mixed(), _seen([_answer(**answer)]))) == 1


# Guards against answers without a length that end early and look complete.
@pytest.mark.parametrize(
    "answer",
    [
        {"body": _events(2)},
        {"body": b""},
        {"body": _events(2) + b"id: 3\nda"},
        {"body": _events(3) + b"HTTP/1.1 200 X"},
        {"route": "fetch", "body": b"answer to"},
        {"route": "file", "body": b""},
    ],
    ids=["events", "no-event", "half-an-event", "more", "body", "no-body"],
)
@pytest.mark.parametrize("exits", [{}, {"s1": 101.0}], ids=["", "exited"])
def test_mixed_speaks_of_a_success_that_is_not_whole(answer, exits):
    runs = [_run(how="dropped", events=2)]
    seen = _seen([_answer(**answer)], runs, exits=exits)
    assert len(_breaks(checks.Mixed(), seen)) == 1


@pytest.mark.parametrize("how", ["reset", "closed"])
@pytest.mark.parametrize(
    "answer", [{"body": _events(2)}, {"route": "fetch", "body": b"answer"}]
)
def test_mixed_allows_an_answer_that_visibly_ends_early(answer, how):
    seen = _seen([_answer(how=how, **answer)])
    assert _breaks(checks.Mixed(), seen) == []


@pytest.mark.parametrize(("first", "expected"), [(3, 0), (2, 1)])
def test_mixed_counts_from_the_last_event_of_a_caller(first, expected):
    answer = _answer(body=_events(4 - first, first=first), last=2)
    assert len(_breaks(checks.Mixed(), _seen([answer]))) == expected


def test_mixed_allows_whole_answers():
    whole = [_answer(), _answer("fetch", body=b"answer to c1")]
    assert _breaks(checks.Mixed(), _seen(whole)) == []


@pytest.mark.parametrize("route", ["stream", "file"])
def test_twice_speaks_of_a_second_run(route):
    runs = [_run(), _run(endpoint="s2", began_s=100.0)]
    assert len(_breaks(checks.Twice(), _seen([_answer(route)], runs))) == 1


def test_twice_allows_a_repeat_of_what_may_repeat():
    answers = [_answer(), _answer("file", request_id="c2")]
    runs = [_run(), _run(endpoint="s2", began_s=100.0)]
    assert _breaks(checks.Twice(), _seen(answers, runs)) == []


@pytest.mark.parametrize(("repeats", "expected"), [(21, 0), (30, 1)])
def test_repeats_speaks_beyond_the_share_and_the_slack(repeats, expected):
    names = [f"c{number}" for number in range(30)]
    answers = [_answer(request_id=name) for name in names]
    runs = [_run(name) for name in names]
    runs += [_run(name, "s2", 100.0) for name in names[:repeats]]
    breaks = _breaks(checks.Repeats(), _seen(answers, runs))
    assert len(breaks) == expected


@pytest.mark.parametrize(("late_s", "expected"), [(1.9, 0), (2.2, 1)])
def test_drain_speaks_of_late_requests(late_s, expected):
    runs = [_run(began_s=BEGAN_S + late_s)]
    seen = _seen([_answer()], runs, leaves={"s1": BEGAN_S})
    assert len(_breaks(checks.Drain(), seen)) == expected


def test_drain_excuses_disruption_of_the_store():
    store = _strike(plan.Kind.STORE, "store", ended_s=BEGAN_S + 1)
    runs = [_run(began_s=BEGAN_S + 3)]
    seen = _seen([_answer()], runs, [store], leaves={"s1": BEGAN_S})
    assert _breaks(checks.Drain(), seen) == []


def _drain_beside(strike):
    runs = [_run(began_s=BEGAN_S + 3)]
    happenings = [strike] if strike else []
    seen = _seen([_answer()], runs, happenings, leaves={"s1": BEGAN_S})
    return _breaks(checks.Drain(), seen)


DRAIN_EXCUSES = [
    plan.Kind.STOP,
    plan.Kind.KILL,
    plan.Kind.PAUSE,
    plan.Kind.LINK,
]


@pytest.mark.parametrize("kind", DRAIN_EXCUSES)
def test_drain_excuses_strikes_on_the_node_in_contact_time(kind):
    assert len(_drain_beside(None)) == 1
    shortly_before = {"began_s": BEGAN_S - 3, "ended_s": BEGAN_S - 2.9}
    assert _drain_beside(_strike(kind)) == []
    assert _drain_beside(_strike(kind, **shortly_before)) == []


@pytest.mark.parametrize("kind", DRAIN_EXCUSES)
@pytest.mark.parametrize(
    "other",
    [
        {"target": "node2"},
        {"began_s": BEGAN_S - 5, "ended_s": BEGAN_S - 3.1},
        {"began_s": BEGAN_S + 3.1},
    ],
    ids=["another-node", "long-before", "afterwards"],
)
def test_drain_does_not_excuse_other_strikes(kind, other):
    assert len(_drain_beside(_strike(kind, **other))) == 1


def test_own_ends_speaks_of_a_process_that_ended():
    seen = _seen([], own_ends=[("node1", 5.0, 1)], samples={"node1/7": []})
    assert len(_breaks(checks.OwnEnds(), seen)) == 1


@pytest.mark.parametrize("code", [-9, 1])
def test_own_ends_speaks_of_a_stop_out_of_order(code):
    stop = _strike(plan.Kind.STOP, exit_code=code)
    assert len(_breaks(checks.OwnEnds(), _seen([], (), [stop]))) == 1


def test_own_ends_excuses_a_node_that_is_paused_while_it_stops():
    stop = _strike(plan.Kind.STOP, exit_code=-9)
    paused = _strike(plan.Kind.PAUSE, began_s=101.0, ended_s=103.0)
    assert len(_breaks(checks.OwnEnds(), _seen([], (), [stop]))) == 1
    assert _breaks(checks.OwnEnds(), _seen([], (), [stop, paused])) == []


@pytest.mark.parametrize(
    "strike",
    [
        _strike(plan.Kind.PAUSE, "node2"),
        _strike(plan.Kind.PAUSE, began_s=90.0, ended_s=99.0),
        _strike(plan.Kind.PAUSE, began_s=108.5, ended_s=109.0),
        _strike(plan.Kind.LINK),
        _strike(plan.Kind.STORE, "store"),
    ],
    ids=["another-node", "before", "after-grace", "link", "store"],
)
def test_own_ends_does_not_excuse_other_strikes(strike):
    stop = _strike(plan.Kind.STOP, exit_code=-9)
    seen = _seen([], (), [stop, strike])
    assert len(_breaks(checks.OwnEnds(), seen)) == 1


@pytest.mark.parametrize("row", [(1.0, 301 << 20, 9), (1.0, 1 << 20, 4101)])
def test_growth_speaks_beyond_the_limits(row):
    seen = _seen([], samples={"node1/7": [(0.0, 1 << 20, 9), row]})
    assert len(_breaks(checks.Growth(), seen)) == 1
