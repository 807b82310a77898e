"""The start of a node from its settings file."""

import types

from adapter import boot
from adapter import entry

from fireflypulley.core import findings
from fireflypulley.transport import steady_time


# Guards against decisions by the time of day, which a clock step moves.
def test_a_node_goes_by_the_steady_time(monkeypatch):
    reactor = types.SimpleNamespace(seconds=lambda: 1_000_000.0)
    monkeypatch.setattr(entry, "reactor", reactor)
    monkeypatch.setattr(steady_time, "boottime_s", lambda: 7.0)

    def load(path):
        monkeypatch.setattr(steady_time, "boottime_s", lambda: 9.5)
        raise findings.InvalidInput([])

    monkeypatch.setattr(boot, "load", load)
    assert entry.run(None) == 2
    assert reactor.seconds() == 1_000_002.5
