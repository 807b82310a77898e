"""Endpoints of the soak fall silent, drop connections, give no length."""

import json
import socket
import subprocess
import sys
import time

import pytest

from fireflystandins import local
from fireflystandins import replica

HEAD_END = b"\r\n\r\n"
REFUSED_S = 2.0
SILENCE_S = 0.3
EVENT_END = b"\n\n"
STREAM_END = b"\r\n" + replica.LAST_CHUNK
READ_S = 5.0


@pytest.fixture
def address():
    """Yield the address of an endpoint whose store is away."""
    address = f"127.0.0.1:{local.free_port()}"
    command = [sys.executable, "-m", "fireflystandins", "soak-endpoint"]
    options = ["--replica-id", "s1", "--service", "speech", "--zone", "a"]
    options += ["--store", f"127.0.0.1:{local.free_port()}"]
    popen = subprocess.Popen([*command, address, *options])
    try:
        local.wait_for("endpoint", lambda: _connects(address))
        yield address
    finally:
        popen.kill()
        popen.wait()


def _connect(address):
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), timeout=3.0)


def _connects(address):
    try:
        _connect(address).close()
    except OSError:
        return False
    return True


def _send(address, path, last=0, **fields):
    here = _connect(address)
    _ask(here, path, "c1", last, fields)
    return here


def _ask(here, path, request_id, last, fields):
    body = json.dumps(fields).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: x", f"Attempt-Id: {request_id}"]
    lines += [f"Last-Event-Id: {last}"] if last else []
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
    here.sendall(head.encode() + body)


def _read_all(here):
    with here:
        data = b""
        while part := here.recv(4096):
            data += part
        return data


# Guards against endpoints that never answer again once they were silent.
@pytest.mark.parametrize("path", ["/fetch/x", "/stream/x"])
def test_an_endpoint_answers_again_after_a_silence(address, path):
    with _send(address, "/silence", for_s=SILENCE_S) as here:
        assert here.recv(9) == b"HTTP/1.1 "
    began_s = time.monotonic()
    order = {"events": 1, "event_ms": 1, "event_bytes": 1, "framed": True}
    with _send(address, path, **order) as here:
        assert here.recv(9) == b"HTTP/1.1 "
    assert time.monotonic() - began_s >= SILENCE_S / 2


def test_an_answer_without_a_length_comes_in_parts_and_ends_by_its_close(
    address,
):
    began_s = time.monotonic()
    here = _send(address, "/fetch/x", framed=False)
    head, _, body = _read_all(here).partition(HEAD_END)
    assert time.monotonic() - began_s >= 0.15
    assert b"length" not in head.lower()
    assert b"transfer-encoding" not in head.lower()
    assert body == b"answer to c1"


def _read_to(here, mark):
    """Return the bytes up to the mark at least."""
    data = b""
    while mark not in data:
        part = here.recv(4096)
        assert part, data
        data += part
    return data


# Guards against a drop that comes before the first event: it is written in
# two pieces, of which the first may be shorter than the event's number.
def test_a_drop_ends_answers_in_order_and_refuses_connections_for_a_while(
    address,
):
    order = {"events": 500, "event_ms": 20, "event_bytes": 1, "framed": False}
    stream = _send(address, "/stream/x", **order)
    body = _read_to(stream, EVENT_END)
    dropped_s = time.monotonic()
    _read_all(_send(address, "/drop", for_s=REFUSED_S))
    body += _read_all(stream)
    assert b"id: 1\n" in body
    assert b"id: 500\n" not in body
    assert not _connects(address)
    local.wait_for("endpoint again", lambda: _connects(address))
    assert time.monotonic() - dropped_s >= REFUSED_S


ORDER = {"events": 5, "event_ms": 2, "event_bytes": 9, "framed": False}


def _streams(address, how, count, last=0, **changes):
    """Return the bodies of streams while they may have a flaw."""
    flaw = {"how": how, "for_s": 60.0, "seed": "1"}
    _send(address, "/flaw", **flaw).recv(9)
    calls = [
        _send(address, "/resumed/x", last, **(ORDER | changes))
        for _ in range(count)
    ]
    return [_read_stream(here) for here in calls]


def _read_stream(here):
    """Return the bytes behind the head, and whether they were reset."""
    data = b""
    here.settimeout(READ_S)
    with here:
        try:
            while part := here.recv(4096):
                data += part
                if data.endswith(STREAM_END):
                    break
        except ConnectionResetError:
            return data.partition(HEAD_END)[2], True
    return data.partition(HEAD_END)[2], False


def test_an_event_names_its_request_its_run_and_its_number(address):
    body, _ = _read_stream(_send(address, "/stream/x", 3, **ORDER))
    assert body.startswith(b"id: 4\ndata: c1 s1.1 4 xxx")
    assert body.count(b"id: ") == 2


@pytest.mark.parametrize("how", ["closed", "reset"])
def test_some_streams_are_cut_inside_an_event(address, how):
    found = _streams(address, how, 20)
    cut = [one for one in found if not one[0].endswith(b"x\n\n")]
    assert 0 < len(cut) < 20
    if how == "closed":
        assert not any(was_reset for _, was_reset in found)


def test_some_streams_are_cut_behind_their_last_event(address):
    found = _streams(address, "behind-last", 20, framed=True)
    has_end = {body.endswith(b"0\r\n\r\n") for body, _ in found}
    assert has_end == {True, False}


@pytest.mark.parametrize(
    ("how", "first"), [("anew", 1), ("earlier", 2), ("later", 6)]
)
def test_some_runs_go_on_wrongly(address, how, first):
    found = _streams(address, how, 20, last=3, events=8)
    firsts = {int(body.split()[1]) for body, _ in found}
    assert firsts == {4, first}


@pytest.mark.parametrize("how", ["copy", "cut-copy"])
def test_some_streams_have_a_copy_of_an_earlier_answer(address, how):
    flaw = {"how": how, "for_s": 60.0, "seed": "1"}
    _send(address, "/flaw", **flaw).recv(9)
    here = _connect(address)
    data = b""
    for number in range(20):
        _ask(here, "/stream/x", f"c{number}", 0, ORDER | {"framed": True})
        # A copy may come between the last event and the last chunk.
        while data.count(replica.LAST_CHUNK) <= number:
            data += here.recv(4096)
    here.close()
    counts = {data.count(b"Attempt-Id: c%d\r\n" % n) for n in range(20)}
    assert {1, 2} <= counts


@pytest.mark.parametrize(("how", "expected"), [("order", 0), ("reset", 1)])
def test_a_drop_ends_streams_in_order_or_by_resets(address, how, expected):
    order = ORDER | {"events": 500, "event_ms": 20}
    stream = _send(address, "/stream/x", **order)
    assert stream.recv(10, socket.MSG_PEEK)
    _read_all(_send(address, "/drop", for_s=REFUSED_S, how=how))
    _, was_reset = _read_stream(stream)
    assert was_reset == expected
