"""Answers that end early around a stop of their node."""

import pytest

from fireflystandins.soak.checks import lost
from fireflystandins.soak.checks import mixed
from fireflystandins.soak import command
from fireflystandins.soak import plan
from fireflystandins.soak import report


pytestmark = pytest.mark.processes

SLOW = plan.Load(
    callers=8,
    pause_s=0.1,
    styles=("slow",),
    event_bytes=3000,
    routes=("resumed",),
    unframed_share=0.0,
    slow_pause_s=0.2,
)
"""Callers that read 4 KiB five times a second, at one node."""


# Guards against answers that a node logs as answered and that end in a
# reset at a caller that reads slowly (case 2 of the incident, seed 8).
def test_a_slow_caller_gets_its_whole_answer_around_a_stop(tmp_path):
    strike = plan.Strike(6.0, plan.Kind.STOP, "node1")
    played = plan.Plan(8, 1, 2, 16.0, SLOW, (strike,))
    seen, _ = command.play(tmp_path, played)
    assert report.early_ends(seen, tmp_path) == []


MANY = plan.Load(
    callers=40,
    pause_s=0.05,
    styles=("whole",),
    routes=("resumed",),
    events=80,
    event_ms=50,
    unframed_share=0.0,
)
"""Streams of 4 s, more of them at once than may be repeated."""


# Guards against streams that a node ends around its stop because all their
# endpoints sent nothing for 1.4 s (the incident, plan 702 of the soak).
def test_a_silence_ends_no_stream_around_a_stop(tmp_path):
    silences = [
        plan.Strike(8.5, plan.Kind.SILENCE, f"s{number}", plan.SILENCE_S)
        for number in (1, 2, 3)
    ]
    stop = plan.Strike(8.6, plan.Kind.STOP, "node1")
    played = plan.Plan(702, 3, 3, 18.0, MANY, (*silences, stop))
    seen, _ = command.play(tmp_path, played)
    verdict = lost.Lost().judge(seen)
    assert verdict.checked > 0
    assert [one.text for one in verdict.breaks] == []


PARTS = plan.Load(
    callers=25,
    pause_s=0.1,
    styles=("whole",),
    routes=("fetch",),
    unframed_share=0.5,
)
"""Half of the answers have no length and come in parts over 0.2 s."""


# Guards against answers that look complete and are not: their endpoint ended
# all its connections in order, as the system does for a killed process.
def test_an_endpoint_that_drops_its_answers_gives_no_cut_success(tmp_path):
    drops = [
        plan.Strike(5.0 + 2.5 * number, plan.Kind.DROP, name, plan.DROPPED_S)
        for number, name in enumerate(("r1", "r2", "r3", "r1", "r2", "r3"))
    ]
    played = plan.Plan(49, 2, 1, 22.0, PARTS, tuple(drops))
    seen, _ = command.play(tmp_path, played)
    assert len(seen.performed(plan.Kind.DROP)) == len(drops)
    verdict = mixed.Mixed().judge(seen)
    assert verdict.checked > 0
    assert [one.text for one in verdict.breaks] == []
