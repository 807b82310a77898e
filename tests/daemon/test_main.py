"""The start of the daemon."""

import types

import pytest

from fireflypulley.daemon import app
from fireflypulley.daemon import logs
from fireflypulley.daemon import main
from fireflypulley.transport import steady_time


class Stopped(Exception):
    """The test needs no more of the start."""


# Guards against decisions by the time of day, which a clock step moves.
def test_a_daemon_goes_by_the_steady_time(monkeypatch):
    reactor = types.SimpleNamespace(seconds=lambda: 1_000_000.0)
    monkeypatch.setattr(main, "reactor", reactor)
    monkeypatch.setattr(steady_time, "boottime_s", lambda: 7.0)
    monkeypatch.setattr(logs, "open_log", lambda *_: None)

    def create(*_):
        raise Stopped

    monkeypatch.setattr(app, "App", create)
    node = types.SimpleNamespace(log_file=None, node_id="n1")
    with pytest.raises(Stopped):
        main._run(types.SimpleNamespace(node=node))
    monkeypatch.setattr(steady_time, "boottime_s", lambda: 9.5)
    assert reactor.seconds() == 1_000_002.5
