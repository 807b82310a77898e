"""Validation of the settings, and the page that documents them."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core import findings
from fireflypulley.daemon import settings

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs/operators/SETTINGS.md"


def _text(folder: pathlib.Path) -> str:
    for name in ("keys", "operator", "platform"):
        (folder / name).write_text("secret\n")
    return f"""[node]
node_id = n1
failure_domain = a
callers = tcp:1
operators = tcp:2
streams = tcp:3
advertise = 127.0.0.1:3
key_file = {folder}/keys
operator_token_file = {folder}/operator

[platform]
url = http://127.0.0.1:9
token_file = {folder}/platform
"""


def test_good_settings_have_defaults(tmp_path):
    parsed = settings.parse(_text(tmp_path), "n1.ini")
    assert parsed.node.node_id == "n1"
    assert parsed.limits.shutdown_grace_s == 30.0


def test_all_findings_are_reported_with_their_lines(tmp_path):
    text = _text(tmp_path).replace("node_id = n1", "node_id = n 1")
    text = text.replace("url = http://127.0.0.1:9", "url = ftp://x")
    text += "config_period_s = soon\ncolour = red\n[extra]\nx = 1\n"
    with pytest.raises(findings.InvalidInput) as error:
        settings.parse(text, "n1.ini")
    locations = {(f.section, f.option, f.line) for f in error.value.findings}
    assert ("node", "node_id", 2) in locations
    assert ("platform", "url", 12) in locations
    assert ("platform", "config_period_s", 14) in locations
    assert ("platform", "colour", 15) in locations
    assert ("extra", "", 16) in locations
    assert "'soon'" in str(error.value)


def test_load_period_is_limited_by_the_report_timeout(
    tmp_path,
):
    text = _text(tmp_path) + "load_period_s = 3\n"
    with pytest.raises(findings.InvalidInput, match="load_period_s"):
        settings.parse(text, "n1.ini")


def test_missing_secret_file_is_a_finding(tmp_path):
    text = _text(tmp_path)
    (tmp_path / "keys").unlink()
    with pytest.raises(findings.InvalidInput, match="key_file"):
        settings.parse(text, "n1.ini")


def test_page_lists_every_option_and_default():
    page = PAGE.read_text()
    for kind, model in (
        ("node", settings.NodeSettings),
        ("platform", settings.PlatformSettings),
        ("limits", settings.LimitSettings),
    ):
        for name, field in model.model_fields.items():
            row = f"| {kind} | {name} | "
            assert row in page
            if isinstance(field.default, float):
                assert f"{row}{field.default:g} |" in page


@hypothesis.given(strategies.text(max_size=200))
def test_any_text_gives_settings_or_findings(text):
    with pytest.raises(findings.InvalidInput):
        settings.parse(text, "fuzz.ini")
