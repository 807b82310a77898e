"""Tests of opening the callers' port before the program is imported."""

import json
import socket

from adapter import early
import pytest


@pytest.fixture
def address():
    """Return a free address in the format of the settings file."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _use(monkeypatch, tmp_path, text):
    path = tmp_path / "local.json"
    path.write_text(text)
    monkeypatch.setenv(early.PATH_VARIABLE, str(path))


def test_the_port_of_the_settings_is_opened(monkeypatch, tmp_path, address):
    content = {"listen": {"frontend": address}}
    _use(monkeypatch, tmp_path, json.dumps(content))
    with early.open_callers_port() as listener:
        assert listener.getsockname()[1] == int(address.rpartition(":")[2])


@pytest.mark.parametrize(
    "text",
    ["", "{", "[]", "{}", '{"listen": 1}', '{"listen": {"frontend": 5}}']
    + ['{"listen": {"frontend": "127.0.0.1:"}}'],
)
def test_bad_settings_are_left_to_the_program(monkeypatch, tmp_path, text):
    _use(monkeypatch, tmp_path, text)
    assert early.open_callers_port() is None


def test_no_settings_are_left_to_the_program(monkeypatch):
    monkeypatch.delenv(early.PATH_VARIABLE, raising=False)
    assert early.open_callers_port() is None


def test_a_port_in_use_is_left_to_the_program(monkeypatch, tmp_path, address):
    content = {"listen": {"frontend": address}}
    _use(monkeypatch, tmp_path, json.dumps(content))
    with early.open_callers_port():
        assert early.open_callers_port() is None
