"""Links deliver, fall silent, lose answers, delay, refuse, break off."""

import contextlib
import socket
import threading
import time

import pytest

from fireflystandins.soak import proxy

ARRIVES_S = 5.0
SILENT_S = 0.3


@contextlib.contextmanager
def _echo():
    """Yield the address of a server that sends back what it gets."""
    with socket.create_server(("127.0.0.1", 0)) as listening:

        def serve():
            with contextlib.suppress(OSError):
                while True:
                    there, _ = listening.accept()
                    threading.Thread(
                        target=_send_back, args=(there,), daemon=True
                    ).start()

        threading.Thread(target=serve, daemon=True).start()
        yield f"127.0.0.1:{listening.getsockname()[1]}"


def _send_back(there):
    with there, contextlib.suppress(OSError):
        while data := there.recv(100):
            there.sendall(data)


@pytest.fixture
def link():
    """Yield the links, one proxy and a connection through it."""
    with _echo() as address, proxy.ProxyThread().running() as links:
        one, through = links.add(address)
        host, port = through.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as here:
            here.settimeout(ARRIVES_S)
            yield links, one, here


def test_a_link_delivers(link):
    _, _, here = link
    here.sendall(b"one")
    assert here.recv(100) == b"one"


@pytest.mark.parametrize("mode", ["silent", "unanswered", "unheard"])
def test_a_struck_link_delivers_once_it_heals(link, mode):
    links, one, here = link
    links.strike(one, mode)
    here.sendall(b"one")
    here.settimeout(SILENT_S)
    with pytest.raises(TimeoutError):
        here.recv(100)
    here.settimeout(ARRIVES_S)
    links.strike(one, "")
    assert here.recv(100) == b"one"


def test_a_reset_link_breaks_its_connections_off(link):
    links, one, here = link
    here.sendall(b"one")
    assert here.recv(100) == b"one"
    links.strike(one, "reset")
    with pytest.raises(ConnectionResetError):
        here.recv(100)


@pytest.mark.parametrize(
    ("mode", "is_heard", "is_answered"),
    [
        ("silent", False, False),
        ("unanswered", True, False),
        ("unheard", False, True),
    ],
)
def test_a_link_is_cut_in_the_directions_of_its_mode(
    mode, is_heard, is_answered
):
    listening = socket.create_server(("127.0.0.1", 0))
    address = f"127.0.0.1:{listening.getsockname()[1]}"
    with listening, proxy.ProxyThread().running() as links:
        one, through = links.add(address)
        host, port = through.rsplit(":", 1)
        with socket.create_connection((host, int(port))) as here:
            there, _ = listening.accept()
            with there:
                links.strike(one, mode)
                here.sendall(b"asked")
                there.sendall(b"told")
                assert _arrives(there) == is_heard
                assert _arrives(here) == is_answered


def _arrives(connection):
    connection.settimeout(SILENT_S)
    try:
        return bool(connection.recv(100))
    except TimeoutError:
        return False


def test_a_slow_link_delivers_later_and_in_order(link):
    links, one, here = link
    links.strike(one, "slow")
    began_s = time.monotonic()
    here.sendall(b"one")
    assert here.recv(100) == b"one"
    assert time.monotonic() - began_s >= 2 * proxy.DELAY_S
    here.sendall(b"two")
    assert here.recv(100) == b"two"


def test_a_refused_link_keeps_its_connections_and_takes_no_new_ones(link):
    links, one, here = link
    address = here.getpeername()
    here.sendall(b"zero")
    assert here.recv(100) == b"zero"
    links.strike(one, "refused")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    here.sendall(b"one")
    assert here.recv(100) == b"one"
    links.strike(one, "")
    socket.create_connection(address).close()
