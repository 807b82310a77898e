"""How callers take their answers, over real sockets."""

import contextlib
import socket
import struct
import threading
import time

import pytest

from fireflystandins.load import plans
from fireflystandins.load import player
from fireflystandins.load import readers
from fireflystandins.load import reading

BODY = bytes(300_000)
LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY)
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (len(BODY), BODY)
RESET = struct.pack("ii", 1, 0)
TIMEOUT_S = 10.0
KIND = plans.Kind(path="/a/", rate_per_s=1, patience_ms=500)


class _Server:
    """Answers one request with given bytes, then waits or closes."""

    def __init__(self, answer, closes, port):
        self._answer = answer
        self._closes = closes
        self._port = port
        self.sent_bytes = 0
        self.may_end = threading.Event()

    def run(self):
        connection, _ = self._port.accept()
        with connection:
            connection.settimeout(TIMEOUT_S)
            connection.recv(65536)
            with contextlib.suppress(OSError):
                for start in range(0, len(self._answer), 4096):
                    piece = self._answer[start : start + 4096]
                    connection.sendall(piece)
                    self.sent_bytes += len(piece)
            if self._closes == "reset":
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET
                )
            if not self._closes:
                self.may_end.wait(TIMEOUT_S)


@contextlib.contextmanager
def _serving(answer, closes=""):
    """Yield a server and its address."""
    with socket.create_server(("127.0.0.1", 0)) as port:
        server = _Server(answer, closes, port)
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        try:
            yield server, f"127.0.0.1:{port.getsockname()[1]}"
        finally:
            server.may_end.set()
            thread.join()


def _call(profile, answer, closes=""):
    """Return what a caller got, and how long it took in seconds."""
    with _serving(answer, closes) as (_, address):
        began_s = time.monotonic()
        reply = player.call(address, KIND, "r1", profile)
        return reply, time.monotonic() - began_s


WHOLE = readers.AS_PLAIN
STEADY = readers.Steady(share=1, manner="steady", bytes_per_s=600_000)
PAUSES = readers.Pauses(
    share=1, manner="pauses", pause_s=0.2, every_bytes=100_000
)
LEAVES = readers.Leaves(share=1, manner="leaves", after_bytes=150_000)
NEVER = readers.Never(share=1, manner="never", stay_s=0.5)
SMALL = readers.Whole(share=1, manner="whole", receive_buffer_bytes=4096)
READING = [WHOLE, STEADY, PAUSES, SMALL]
ANSWERS = {"length": LENGTH + BODY, "chunks": CHUNKED + CHUNK + b"0\r\n\r\n"}
CUT = {"length": LENGTH + BODY[1:], "chunks": CHUNKED + CHUNK}
GOOD = reading.Reply(200, reading.End.WHOLE)


@pytest.mark.parametrize("profile", READING)
@pytest.mark.parametrize("framing", ANSWERS)
def test_a_caller_that_reads_gets_all(profile, framing):
    assert _call(profile, ANSWERS[framing])[0] == GOOD


@pytest.mark.parametrize("closes", ["close", "reset"])
@pytest.mark.parametrize("profile", READING)
@pytest.mark.parametrize("framing", CUT)
def test_an_answer_that_is_cut_is_told(profile, framing, closes):
    reply, _ = _call(profile, CUT[framing], closes)
    assert reply.end is reading.End.CUT


def test_steady_callers_and_callers_that_pause_take_their_time():
    assert _call(STEADY, ANSWERS["length"])[1] >= 0.45
    assert _call(PAUSES, ANSWERS["length"])[1] >= 0.6


def test_a_caller_leaves_after_so_many_bytes():
    reply, _ = _call(LEAVES, ANSWERS["length"])
    assert reply == reading.Reply(200, reading.End.LEFT)
    short = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    assert _call(LEAVES, short)[0] == GOOD


def test_a_caller_that_never_reads_leaves_after_a_while():
    reply, took_s = _call(NEVER, ANSWERS["length"])
    assert reply == reading.Reply(None, reading.End.LEFT)
    assert took_s >= NEVER.stay_s


@pytest.mark.parametrize("closes", ["close", "reset"])
def test_a_caller_that_never_reads_sees_its_connection_end(closes):
    reply, _ = _call(NEVER, LENGTH, closes)
    assert reply == reading.Reply(None, reading.End.CLOSED)


def test_a_caller_waits_only_so_long():
    assert _call(WHOLE, b"")[0].end is reading.End.LATE
    reply, _ = _call(WHOLE, CUT["length"])
    assert reply == reading.Reply(200, reading.End.LATE)


def test_without_a_head_there_is_no_answer():
    assert _call(WHOLE, b"", "close")[0].end is reading.End.NONE
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        reply = player.call(address, KIND, "r1", WHOLE)
    assert reply == reading.Reply(None, reading.End.NONE)


# Guards against windows that do not close, since the system offers more
# than the profile says.
def test_a_small_buffer_holds_the_sender_back():
    answer = LENGTH + bytes(64 << 20)
    profile = readers.Never(
        share=1, manner="never", stay_s=0.5, receive_buffer_bytes=4096
    )
    with _serving(answer) as (server, address):
        connection = reading.connect(address, profile, TIMEOUT_S)
        with contextlib.closing(connection):
            option = socket.SOL_SOCKET, socket.SO_RCVBUF
            # Linux doubles what is asked for, for its own overhead.
            assert connection.sock.getsockopt(*option) <= 2 * 4096
            connection.request("GET", "/a/")
            reading.reader(profile).take(connection)
            assert server.sent_bytes < len(answer)
