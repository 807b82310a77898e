"""Callers of the daemon's streams whose node is killed, frozen or stopped."""

import http.client
import itertools
import json
import re
import signal
import time
import urllib.parse

import pytest

from fireflystandins import local

pytestmark = pytest.mark.processes

PATH = "/v1/chat/completions"
TRIES = 20
TRY_S = 0.3
DOWN_S = 3.0
"""By then the others hold a node that is gone for down."""
_EVENT = re.compile(rb"(?:^|\n\n)id: (\d+)\ndata: \{\"id\":\"(\w+)\"")


def _open(daemon, tokens, key, **fields):
    host = urllib.parse.urlsplit(daemon.callers).netloc
    connection = http.client.HTTPConnection(host, timeout=30)
    headers = {
        "Authorization": f"Bearer {local.CALLER_TOKEN}",
        "Idempotency-Key": key,
    }
    body = {
        "model": "shorthand",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": "a late hearing"}],
    }
    connection.request("POST", PATH, json.dumps(body), headers | fields)
    return connection.getresponse()


def _come_back(daemon, tokens, key, **fields):
    """Return an answer that begins, or None if all tries are refused."""
    for _ in range(TRIES):
        reply = _open(daemon, tokens, key, **fields)
        if reply.status == 200:
            return reply
        time.sleep(TRY_S)
    return None


def _read(reply, part=0, then=lambda: None):
    """Return the ids and the runs of whole events; act after a part."""
    found, is_done = b"", False
    while True:
        try:
            data = reply.read1(65536)
        except (http.client.HTTPException, OSError):
            break
        if not data:
            break
        found += data
        if len(found) > part and not is_done:
            is_done = True
            then()
    whole = found[: found.rfind(b"\n\n") + 2]
    events = [(int(one[1]), one[2]) for one in _EVENT.finditer(whole)]
    return [one for one, _ in events], [run for _, run in events]


def _follow_one_another(ids):
    return ids == list(range(ids[0], ids[0] + len(ids)))


# Guards against events that a caller has got before: the node that had its
# stream was killed, and the next one begins anew.
def test_a_caller_of_a_killed_node_is_sent_no_event_that_it_has(system):
    first, second, _ = system.daemons
    ids, _ = _read(_open(first, 400, "k1"), 4000, first.kill)
    assert _follow_one_another(ids)
    fields = {"Last-Event-ID": str(ids[-1])}
    reply = _come_back(second, 400, "k1", **fields)
    if reply is not None:
        rest, _ = _read(reply)
        assert rest[:1] in ([], [ids[-1] + 1])


# Guards against events that a caller has got before: a later run of its
# stream, begun by itself or by another one, has not come as far yet.
def test_a_caller_ahead_of_a_run_is_sent_no_event_that_it_has(system):
    first, second, third = system.daemons
    ids, _ = _read(_open(first, 400, "k2"), 20000, first.kill)
    again = _come_back(second, 400, "k2")
    assert again.read1(100)
    fields = {"Last-Event-ID": str(ids[-1])}
    reply = _come_back(third, 400, "k2", **fields)
    if reply is not None:
        rest, _ = _read(reply)
        assert rest[:1] in ([], [ids[-1] + 1])


# Guards against events of two runs: the later run of a caller's stream has
# come further than the first one, which is gone.
def test_a_caller_of_a_run_that_is_gone_is_sent_none_of_a_later_one(system):
    first, second, third = system.daemons
    ids, _ = _read(_open(first, 400, "k4"), 4000, first.kill)
    again, _ = _read(_come_back(second, 400, "k4"))
    assert len(again) > len(ids)
    fields = {"Last-Event-ID": str(ids[-1])}
    for daemon in (second, third):
        assert _open(daemon, 400, "k4", **fields).status == 502


# Guards against pieces of two runs in one answer: a node that was frozen, and
# whose stream was begun anew elsewhere, hands it over there when it stops.
def test_a_handover_to_a_node_with_a_run_of_its_own_joins_no_runs(
    hasty_system,
):
    first, second, third = hasty_system.daemons
    third.kill()
    time.sleep(DOWN_S)

    def begin_anew_and_stop():
        first.signal(signal.SIGSTOP)
        again = _come_back(second, 900, "k3")
        first.signal(signal.SIGCONT)
        assert again.read1(100)
        time.sleep(TRY_S)
        first.signal(signal.SIGTERM)

    reply = _open(first, 900, "k3")
    ids, runs = _read(reply, 20000, begin_anew_and_stop)
    found = [(run, len(list(one))) for run, one in itertools.groupby(runs)]
    assert len(found) == 1, found
    assert _follow_one_another(ids)
