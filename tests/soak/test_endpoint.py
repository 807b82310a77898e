"""Endpoints of the soak fall silent."""

import json
import socket
import subprocess
import sys
import time

import pytest

from fireflystandins import local

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
