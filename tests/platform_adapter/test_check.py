"""Tests of the command that checks a settings file."""

import json
import subprocess
import sys

from . import FOLDER
from . import test_boot


def _check(path):
    return subprocess.run(
        [sys.executable, str(FOLDER / "check.py"), str(path)],
        capture_output=True,
        text=True,
    )


def test_a_good_file_is_summarized(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(test_boot.BOOT))
    done = _check(path)
    assert done.returncode == 0
    assert "node edge-a-1 in a" in done.stdout
    assert "metrics: 10.1.0.14:7601" in done.stdout


def test_a_bad_file_is_reported_with_all_findings(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps({"node-name": 5}))
    done = _check(path)
    assert done.returncode == 2
    for place in ("node-name", "ip", "zone", "listen", "platform"):
        assert place in done.stderr
