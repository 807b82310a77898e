"""Closed endpoints, and the times at which refused callers return."""

from fireflypulley.core.gateway import permit_gate

KEY = ("e1", 1)
PACED = permit_gate.PermitReason.PACED


def test_an_endpoint_is_not_asked_again_before_its_time():
    gate = permit_gate.PermitGate()
    gate.note(KEY, permit_gate.Permit(0.8, PACED), 10.0)
    assert gate.wait_s(KEY, 10.3) == 0.5
    assert gate.wait_s(KEY, 10.9) == 0.0
    gate.note(KEY, permit_gate.Permit(0.0, PACED), 10.9)
    assert gate.wait_s(KEY, 10.9) == 0.0


def test_refused_callers_return_one_after_the_other():
    times = permit_gate.ReturnTimes()
    told = [times.next_s("s", 0.5, 2.0, 9.0, 1.0) for _ in range(4)]
    assert told == [0.5, 1.0, 1.5, 2.0]
    # Later the turns before have passed.
    assert times.next_s("s", 0.5, 2.0, 9.0, 2.5) == 1.0
    assert times.next_s("other", 0.5, 2.0, 9.0, 2.5) == 0.5


def test_a_caller_whose_time_ends_before_its_turn_takes_none():
    times = permit_gate.ReturnTimes()
    for _ in range(20):
        times.next_s("s", 1.0, 1.0, 3.0, 0.0)
    assert times.next_s("s", 1.0, 1.0, 3.0, 0.0) == 3.0
