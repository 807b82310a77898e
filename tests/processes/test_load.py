"""Load plans with faults, run against real nodes."""

import shutil
import subprocess
import sys

import pytest

from fireflystandins.load import results

pytestmark = pytest.mark.processes

PLAN = """
[load]
duration_s = 4
[kind fetch]
path = /fetch/
rate_per_s = 10
[kind stream]
path = /resumed/
method = POST
body = 5
rate_per_s = 4
[fault kill]
at_s = 1.5
on = node-1
what = kill
for_s = 0.3
[fault pause]
at_s = 2.5
on = speech-1
what = pause
for_s = 0.5
"""


def _run(*words):
    command = [sys.executable, "-m", "fireflystandins.load", *words]
    return subprocess.run(command, capture_output=True, text=True, timeout=90)


def test_a_plan_is_played_and_compared(tmp_path):
    plan = tmp_path / "load.ini"
    plan.write_text(PLAN)
    out = tmp_path / "out"
    done = _run("play", str(plan), "--out", str(out))
    assert done.returncode == 0, done.stderr
    rows = {r["kind"]: r for r in results.read_csv(out / "results.csv")}
    assert set(rows) == {"fetch", "stream"}
    for row in rows.values():
        asked = int(row["asked"])
        good = row["answers"].partition("200:")[2].partition(" ")[0]
        assert int(good) >= asked / 2, row
    assert "<svg" in (out / "plot.svg").read_text()
    other = shutil.copytree(out, tmp_path / "other")
    compared = _run("compare", str(out), str(other))
    assert compared.returncode == 0, compared.stderr
    assert compared.stdout.count("fetch") == 2
