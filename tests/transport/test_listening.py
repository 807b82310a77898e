"""Tests of a port that is open before connections are accepted."""

import socket

import pytest

from fireflypulley.transport import listening


def _free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def test_callers_wait_in_the_backlog():
    port = _free_port()
    with listening.open_port("127.0.0.1", port) as opened:
        caller = socket.create_connection(("127.0.0.1", port), 1.0)
        with caller:
            caller.sendall(b"early")
            connection, _ = opened.accept()
            with connection:
                assert connection.recv(16) == b"early"


def test_a_port_in_use_is_an_error():
    port = _free_port()
    with listening.open_port("127.0.0.1", port):
        with pytest.raises(OSError):
            listening.open_port("127.0.0.1", port)
