"""Records of runs, for the tests of checkers."""

from fireflystandins.soak import callers
from fireflystandins.soak import evidence
from fireflystandins.soak import plan

BEGAN_S = 100.0


def strike(kind, target="node1", began_s=BEGAN_S, ended_s=106.0, **fields):
    """Return a strike as it was performed."""
    strike = plan.Strike(5.0, kind, target)
    return evidence.Happening(strike, began_s, ended_s, **fields)


def stop(**fields):
    """Return a stop that ended in order."""
    return strike(plan.Kind.STOP, exit_code=0, **fields)


def events(count, request_id="c1", first=1, run="s1.1", shift=0):
    """Return the bytes of events."""
    names = f"{request_id} {run}".encode()
    return b"".join(
        b"id: %d\ndata: %s %d xxx\n\n" % (number, names, number + shift)
        for number in range(first, first + count)
    )


def answer(route="resumed", how="whole", sent_s=99.0, ended_s=102.0, **more):
    """Return a caller's answer, whole if nothing else is said."""
    fields = {
        "status": 200,
        "seal": "seal-s1",
        "names": "c1",
        "body": events(3),
    } | more
    request_id = fields.pop("request_id", "c1")
    return callers.Answer(
        request_id, "node1", route, "whole", sent_s, ended_s, how=how, **fields
    )


def run(request_id="c1", endpoint="s1", began_s=99.1, **fields):
    """Return a run that ended whole."""
    ended = {"how": "whole", "ended_s": 101.9, "events": 3}
    return evidence.Run(request_id, endpoint, began_s, **(ended | fields))


def seen(answers, runs=(), happenings=(), **fields):
    load = plan.Load(events=3)
    played = plan.Plan(1, 2, 2, 40.0, load, ())
    return evidence.Evidence(
        played, list(answers), list(happenings), list(runs), **fields
    )


def breaks(checker, seen):
    """Return what a checker found in what it checked."""
    verdict = checker.judge(seen)
    assert verdict.checked > 0
    return [one.text for one in verdict.breaks]


def chain(*firsts_and_counts):
    """Return the answers of a caller that came back after each but one."""
    answers = []
    for number, (first, count) in enumerate(firsts_and_counts, start=1):
        body = events(count, f"c{number}", first, f"s{number}.1")
        follows = f"c{number - 1}" if number > 1 else ""
        answers.append(
            answer(
                request_id=f"c{number}",
                how="reset",
                body=body,
                follows=follows,
            )
        )
    answers[-1].how = "whole"
    return answers
