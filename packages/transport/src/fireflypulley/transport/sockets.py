"""TCP options that detect a dead connection within seconds."""

import fcntl
import select
import socket
import struct
import termios
import typing

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 2500
"""Sent data that stays unacknowledged this long closes the connection."""
WATCH_KEEPALIVE_PROBES = 1
WATCH_USER_TIMEOUT_MS = 1500
"""On connections on which a long poll waits, one unanswered probe is enough.
Linux goes by the user timeout, where one is set, and not by the number of
probes; with both, a connection is closed ``SILENCE_DETECTED_S`` after the
last byte either way."""
SILENCE_DETECTED_S = 2.0
MAX_ACCEPTS = 512
"""Rounds in which a port that closes accepts one connection or more."""
CALLER_KEEPALIVE_PROBES = 2
NO_USER_TIMEOUT_MS = 0
"""A user timeout also counts the time for which a caller that is alive
keeps its window closed; ``liveness`` finds those that are gone."""

_INT = struct.Struct("i")


def set_tcp_options(transport: typing.Any) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers.

    ``transport`` is a TCP transport or TLS over TCP.
    """
    _set_options(transport, KEEPALIVE_PROBES, USER_TIMEOUT_MS)


def set_watch_options(transport: typing.Any) -> None:
    """Set the options of a connection on which long polls wait."""
    _set_options(transport, WATCH_KEEPALIVE_PROBES, WATCH_USER_TIMEOUT_MS)


def set_caller_options(transport: typing.Any) -> None:
    """Set the options of a connection whose peer may read slowly."""
    _set_options(transport, CALLER_KEEPALIVE_PROBES, NO_USER_TIMEOUT_MS)


def has_unread_input(transport: typing.Any) -> bool:
    """Return whether bytes have arrived that nobody has read yet."""
    handle = getattr(transport, "transport", transport).getHandle()
    try:
        return bool(handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except (AttributeError, OSError):
        return False


def kept_bytes(transport: typing.Any) -> int:
    """Return what a transport keeps; it frees a buffer once it is sent."""
    waiting = getattr(transport, "_tempDataLen", 0)
    return len(getattr(transport, "dataBuffer", b"")) + waiting


def drop_kept(transport: typing.Any) -> None:
    """Let go of what a transport keeps whose connection is lost.

    Objects that refer to each other are freed much later.
    """
    transport.dataBuffer = b""
    transport._tempDataBuffer = []
    transport._tempDataLen = 0


def unsent_bytes(transport: typing.Any) -> int:
    """Return how many of the bytes written the other side has not taken.

    These are the transport's own and those that the system has, up to what
    was acknowledged.
    """
    buffered = kept_bytes(transport) - getattr(transport, "offset", 0)
    return buffered + _unacknowledged_bytes(transport.getHandle())


def _unacknowledged_bytes(handle: typing.Any) -> int:
    try:
        answer = fcntl.ioctl(handle, termios.TIOCOUTQ, bytes(_INT.size))
    except (TypeError, ValueError, OSError):
        return 0
    count: int = _INT.unpack(answer)[0]
    return count


def accept_waiting(port: typing.Any) -> None:
    """Accept the connections that wait in the backlog of twisted's port.

    Closing the port would reset them.
    """
    poll = select.poll()
    poll.register(port.fileno(), select.POLLIN)
    for _ in range(MAX_ACCEPTS):
        if not poll.poll(0):
            return
        port.doRead()


def _set_options(
    transport: typing.Any, probes: int, user_timeout_ms: int
) -> None:
    transport.setTcpNoDelay(True)
    handle = getattr(transport, "transport", transport).getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    handle.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPCNT, probes)
    handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, user_timeout_ms)
