"""Endpoints of the soak fall silent, drop connections, give no length."""

import json
import socket
import subprocess
import sys
import time

import pytest

from fireflystandins import local

HEAD_END = b"\r\n\r\n"
REFUSED_S = 0.5
SILENCE_S = 0.3


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


def _send(address, path, **fields):
    here = _connect(address)
    body = json.dumps(fields).encode()
    lines = [f"POST {path} HTTP/1.1", "Host: x", "Attempt-Id: c1"]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
    here.sendall(head.encode() + body)
    return here


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


def test_a_drop_ends_answers_in_order_and_refuses_connections_for_a_while(
    address,
):
    order = {"events": 50, "event_ms": 20, "event_bytes": 1, "framed": False}
    stream = _send(address, "/stream/x", **order)
    assert stream.recv(10, socket.MSG_PEEK)
    dropped_s = time.monotonic()
    _read_all(_send(address, "/drop", for_s=REFUSED_S))
    body = _read_all(stream)
    assert b"id: 1\n" in body
    assert b"id: 50\n" not in body
    assert not _connects(address)
    local.wait_for("endpoint again", lambda: _connects(address))
    assert time.monotonic() - dropped_s >= REFUSED_S
