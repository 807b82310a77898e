"""Checks that only platform/, its tests and the stand-ins use its names."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent.parent
NAMES = (
    "attempt-id",
    "deadline-ms",
    "expect-instance",
    "response-seal",
    "not-executed",
    "instance-load",
    "prompt-prefix",
    "token-count",
    "request-priority",
    "traffic-split",
    "cold-remaining",
    "preemptible",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "duty-holder",
    "fireflypulley_boot",
    "tenant",
    "tenants",
    "non_idempotent",
    "zone",
    "zones",
)
PATTERN = re.compile(
    r"(?<![\w-])(" + "|".join(map(re.escape, NAMES)) + r")(?![\w-])",
    re.IGNORECASE,
)
MAX_LINES = 1500


@pytest.mark.parametrize(
    "path", sorted(ROOT.glob("packages/**/*.py")), ids=lambda p: p.stem
)
def test_no_module_uses_a_name_of_the_platform(path):
    assert PATTERN.findall(path.read_text()) == []


def test_the_folder_stays_small():
    files = sorted((ROOT / "platform").glob("**/*.py"))
    lines = sum(len(path.read_text().splitlines()) for path in files)
    assert files
    assert lines < MAX_LINES
