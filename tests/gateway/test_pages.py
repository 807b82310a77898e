"""The operators' page documents every metric and kind of log line."""

import pathlib
import re

from fireflypulley.gateway import metrics

ROOT = pathlib.Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
KIND = re.compile(r"decision_log\.note\(\s*\"([a-z:-]+)\"")


def test_every_metric_is_on_the_page():
    text = metrics.GatewayMetrics().render().decode()
    names = re.findall(r"^# HELP fireflypulley_gateway_(\w+)", text, re.M)
    assert len(names) >= 11
    assert [name for name in names if f"`{name}" not in PAGE] == []


def test_every_kind_of_line_is_on_the_page():
    kinds = set()
    for path in ROOT.glob("packages/gateway/**/*.py"):
        kinds |= set(KIND.findall(path.read_text()))
    assert len(kinds) >= 14
    assert [kind for kind in sorted(kinds) if f"`{kind}`" not in PAGE] == []
