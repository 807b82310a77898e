"""Tests of templates, their errors, and the rows that changes write."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from fireflypulley.core import configuration
from fireflypulley.core import findings
from fireflypulley.operators import changes
from fireflypulley.operators import templates

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
COURT = (EXAMPLES / "court.ini").read_text()
DAKAR = (EXAMPLES / "court-dakar.ini").read_text()
_KIND = configuration.EntryKind


def _config(*entries: configuration.Entry) -> configuration.Configuration:
    config = configuration.Configuration()
    for entry in entries:
        version = entry.version + 1
        config.merge(
            configuration.Entry(
                entry.kind, entry.name, version, "op", entry.body
            )
        )
    return config


def _planner(config, now_s=100.0):
    return changes.Planner(config, changes.Origin("op", now_s))


def _dakar(**parameters):
    file = templates.read_workspace(DAKAR, "w.ini")
    return templates.WorkspaceFile(
        file.name,
        file.template,
        file.token_sha256,
        file.parameters | parameters,
    )


def _in_force():
    template = templates.read_template(COURT, "t.ini")
    config = _config(
        *_planner(configuration.Configuration()).template(template)
    )
    entries = _planner(config).workspace(_dakar())
    for entry in _config(*entries).of_kind(_KIND.WORKSPACE):
        config.merge(entry)
    return config


def test_example_fills_in():
    workspace = _in_force().workspace("court-dakar")
    assert workspace.service("shorthand").version == "v1"
    assert workspace.service("shorthand").move_within_s == 60.0
    assert [r.name for r in workspace.routes if r.at_most_once] == ["file"]


def test_findings_are_collected_with_lines():
    text = COURT.replace("kind = plain", "kind = odd")
    text = text.replace("at_most_once = true", "at_most_once = maybe")
    text = text.replace("service = shorthand\npath = /v1/jobs", "service = x")
    with pytest.raises(findings.InvalidInput) as error:
        templates.read_template(text, "t.ini")
    problems = [str(finding) for finding in error.value.findings]
    assert len(problems) >= 3
    assert all(p.startswith("t.ini:") for p in problems)
    assert any("no service 'x'" in p for p in problems)


def test_parameters_are_checked():
    config = _in_force()
    for parameters, problem in (
        ({"move_within_s": "0"}, "below the minimum"),
        ({"move_within_s": "soon"}, "not of type number"),
        ({"colour": "red"}, "unknown parameter"),
    ):
        with pytest.raises(findings.InvalidInput, match=problem):
            _planner(config).workspace(_dakar(**parameters))


def test_changed_version_starts_a_rollout():
    config = _in_force()
    entries = _planner(config).workspace(_dakar(model_version="v2"))
    rollout = entries[1].body
    assert (rollout.from_version, rollout.to_version) == ("v1", "v2")
    assert rollout.deadline_s == 160.0


def test_running_rollout_cannot_be_retargeted():
    config = _in_force()
    for entry in _planner(config).workspace(_dakar(model_version="v2")):
        config.merge(
            configuration.Entry(entry.kind, entry.name, 9, "op", entry.body)
        )
    with pytest.raises(changes.Rejected, match="runs"):
        _planner(config).workspace(_dakar(model_version="v3"))


def test_undone_rollout_leaves_the_old_version_in_force():
    config = _in_force()
    for entry in _planner(config).workspace(_dakar(model_version="v2")):
        config.merge(
            configuration.Entry(entry.kind, entry.name, 9, "op", entry.body)
        )
    (aborted,) = _planner(config).abort_rollout("court-dakar", "shorthand")
    config.merge(
        configuration.Entry(aborted.kind, aborted.name, 10, "op", aborted.body)
    )
    entries = _planner(config).workspace(_dakar(model_version="v3"))
    assert entries[1].body.from_version == "v1"


def test_token_of_another_workspace_is_rejected():
    config = _in_force()
    file = _dakar()
    other = templates.WorkspaceFile(
        "other", file.template, file.token_sha256, file.parameters
    )
    with pytest.raises(changes.Rejected, match="belongs to 'court-dakar'"):
        _planner(config).workspace(other)


@hypothesis.given(strategies.text(max_size=300))
def test_any_text_gives_a_template_or_findings(text):
    for read in (templates.read_template, templates.read_workspace):
        try:
            read(text, "fuzz.ini")
        except findings.InvalidInput as error:
            assert error.findings


_LINES = strategies.lists(
    strategies.sampled_from(
        COURT.splitlines() + ["[", "x", "= 1", "[route ]"]
    ),
    max_size=30,
)


@hypothesis.given(_LINES)
def test_shuffled_lines_give_a_template_or_findings(lines):
    try:
        templates.read_template("\n".join(lines), "fuzz.ini")
    except findings.InvalidInput as error:
        assert error.findings
