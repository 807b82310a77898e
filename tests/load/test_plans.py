"""Reading of load plans, and the arrivals that follow from them."""

import pathlib

import pytest

from fireflypulley.core import findings
from fireflystandins.load import arrivals
from fireflystandins.load import plans

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "load.ini"
PLAN = """
[load]
duration_s = 20
[kind fetch]
path = /fetch/
rate_per_s = 30
[kind file]
path = /file/
rate_per_s = 10
method = POST
"""


def _read(tmp_path, text):
    path = tmp_path / "load.ini"
    path.write_text(text)
    return plans.read(path)


def test_the_example_is_valid():
    plan = plans.read(EXAMPLE)
    assert set(plan.kinds) == {"fetch", "file", "stream"}
    assert plan.faults["one-node"].what is plans.FaultAction.KILL


def test_all_findings_are_reported_at_once_with_their_lines(tmp_path):
    text = "[load]\nduration_s = 0\nx = 1\n[kind a]\npath = foo\n[other]\n"
    with pytest.raises(findings.InvalidInput) as caught:
        _read(tmp_path, text)
    places = {
        (finding.option, finding.line) for finding in caught.value.findings
    }
    assert places >= {("duration_s", 2), ("x", 3), ("path", 5)}
    assert len(caught.value.findings) == 5


@pytest.mark.parametrize("text", ["", "[load]\nduration_s = 1\n"])
def test_a_plan_needs_a_load_and_a_kind(tmp_path, text):
    with pytest.raises(findings.InvalidInput):
        _read(tmp_path, text)


def test_a_missing_file_is_a_finding(tmp_path):
    with pytest.raises(findings.InvalidInput):
        plans.read(tmp_path / "none.ini")


def test_arrivals_have_the_mean_rate_and_are_repeatable(tmp_path):
    plan = _read(tmp_path, PLAN)
    requests = arrivals.arrivals(plan)
    assert requests == arrivals.arrivals(plan)
    assert requests == sorted(requests)
    fetches = [a for a in requests if a.kind == "fetch"]
    assert 500 < len(fetches) < 700
    assert all(a.at_s < 20 for a in requests)


def test_adding_a_kind_does_not_change_the_other_arrivals(tmp_path):
    both = _read(tmp_path, PLAN)
    alone = _read(tmp_path, PLAN.partition("[kind file]")[0])
    assert arrivals.arrivals(alone) == [
        a for a in arrivals.arrivals(both) if a.kind == "fetch"
    ]
