"""Callers that take their answers according to a reading profile."""

import abc
import dataclasses
import enum
import http.client
import select
import socket
import time

from fireflystandins.load import readers

READ_BYTES = 65536
STEADY_INTERVAL_S = 0.1
"""How long a steady caller waits between two reads, at least."""
_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class End(enum.StrEnum):
    """How a caller's answer ended."""

    WHOLE = "whole"
    CUT = "cut"
    """After its head, before its end."""
    NONE = "none"
    """No head came."""
    LATE = "late"
    """Nothing came for as long as the caller waits."""
    LEFT = "left"
    """The caller left, or stayed as long as it wanted without reading."""
    CLOSED = "closed"
    """The connection of a caller that reads nothing was ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The status of an answer, None without a head, and how it ended."""

    status: int | None
    end: End


class Reader(abc.ABC):
    """Takes the answer to a request that was sent on a connection."""

    def take(self, connection: http.client.HTTPConnection) -> Reply:
        """Return what the caller got; raises nothing for a lost one."""
        status = None
        try:
            reply = connection.getresponse()
            status = reply.status
            return Reply(status, self.read_body(reply))
        except TimeoutError:
            return Reply(status, End.LATE)
        except (OSError, http.client.HTTPException):
            return Reply(status, End.NONE if status is None else End.CUT)

    @abc.abstractmethod
    def read_body(self, reply: http.client.HTTPResponse) -> End:
        """Read the body; errors of a connection that is lost are raised."""


class _WholeReader(Reader):
    def read_body(self, reply: http.client.HTTPResponse) -> End:
        while _read(reply, READ_BYTES):
            pass
        return End.WHOLE


class _SteadyReader(Reader):
    def __init__(self, bytes_per_s: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._piece_bytes = max(1, int(bytes_per_s * STEADY_INTERVAL_S))

    def read_body(self, reply: http.client.HTTPResponse) -> End:
        began_s, had_bytes = time.monotonic(), 0
        while size_bytes := _read(reply, self._piece_bytes):
            had_bytes += size_bytes
            due_s = began_s + had_bytes / self._bytes_per_s
            time.sleep(max(0.0, due_s - time.monotonic()))
        return End.WHOLE


class _PausingReader(Reader):
    def __init__(self, pause_s: float, every_bytes: int) -> None:
        self._pause_s = pause_s
        self._every_bytes = every_bytes

    def read_body(self, reply: http.client.HTTPResponse) -> End:
        while _read_much(reply, self._every_bytes) == self._every_bytes:
            time.sleep(self._pause_s)
        return End.WHOLE


class _LeavingReader(Reader):
    def __init__(self, after_bytes: int) -> None:
        self._after_bytes = after_bytes

    def read_body(self, reply: http.client.HTTPResponse) -> End:
        has_all = _read_much(reply, self._after_bytes) < self._after_bytes
        return End.WHOLE if has_all else End.LEFT


class _IdleReader(Reader):
    def __init__(self, stay_s: float) -> None:
        self._stay_s = stay_s

    def take(self, connection: http.client.HTTPConnection) -> Reply:
        poll = select.poll()
        poll.register(connection.sock, _ENDED)
        is_closed = bool(poll.poll(self._stay_s * 1000))
        return Reply(None, End.CLOSED if is_closed else End.LEFT)

    def read_body(self, reply: http.client.HTTPResponse) -> End:
        raise AssertionError("nothing is read")


def _read(reply: http.client.HTTPResponse, size_bytes: int) -> int:
    """Return how much was read, 0 at the end of the body."""
    size_bytes = len(reply.read(size_bytes))
    # What a length announced may be missing without an error.
    if not size_bytes and reply.length:
        raise http.client.IncompleteRead(b"", reply.length)
    return size_bytes


def _read_much(reply: http.client.HTTPResponse, size_bytes: int) -> int:
    """Return how much was read, less than ``size_bytes`` at the end."""
    had_bytes = 0
    while had_bytes < size_bytes:
        piece_bytes = _read(reply, min(READ_BYTES, size_bytes - had_bytes))
        if not piece_bytes:
            break
        had_bytes += piece_bytes
    return had_bytes


def reader(profile: readers.Profile) -> Reader:
    """Return who reads as a profile says."""
    match profile:
        case readers.Steady():
            return _SteadyReader(profile.bytes_per_s)
        case readers.Pauses():
            return _PausingReader(profile.pause_s, profile.every_bytes)
        case readers.Leaves():
            return _LeavingReader(profile.after_bytes)
        case readers.Never():
            return _IdleReader(profile.stay_s)
    return _WholeReader()


def connect(
    address: str, profile: readers.Profile, timeout_s: float
) -> http.client.HTTPConnection:
    """Return a connection with a profile's buffer; raises ``OSError``.

    The system fits the window that it offers to the buffer only if that is
    set before.
    """
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port))
    handle = connection.sock = socket.socket()
    try:
        handle.settimeout(timeout_s)
        if profile.receive_buffer_bytes is not None:
            handle.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                profile.receive_buffer_bytes,
            )
        handle.connect((host, int(port)))
    except OSError:
        handle.close()
        raise
    return connection
