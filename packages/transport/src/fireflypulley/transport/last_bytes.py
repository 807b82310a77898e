"""Leaves what a process holds for a connection to the kernel.

The kernel goes on sending after the process has ended.
"""

import contextlib
import socket
import typing

MAX_WRITES = 8
"""A transport writes up to 128 KiB at once; callers' bytes that wait are
fewer than eight times that."""
MAX_DISCARDED_BYTES = 1 << 20
_READ_BYTES = 65536


def make_room(transport: typing.Any, size_bytes: int) -> None:
    """Let the kernel take this much more, as far as it allows."""
    handle = transport.getHandle()
    option = socket.SOL_SOCKET, socket.SO_SNDBUF
    with contextlib.suppress(OSError):
        wanted_bytes = handle.getsockopt(*option) + size_bytes
        # The kernel doubles what it is given, for its own overhead.
        handle.setsockopt(*option, wanted_bytes)


def write_out(transport: typing.Any) -> None:
    """Write what a transport holds, as far as the kernel takes it."""
    for _ in range(MAX_WRITES):
        transport.doWrite()


def end(transport: typing.Any) -> None:
    """End a connection whose process is about to end.

    A socket that is closed with unread input resets its connection, and
    the peer loses what it has not read.
    """
    handle = transport.getHandle()
    with contextlib.suppress(OSError):
        handle.shutdown(socket.SHUT_WR)
    discarded_bytes = 0
    with contextlib.suppress(OSError):
        while discarded_bytes < MAX_DISCARDED_BYTES:
            data = handle.recv(_READ_BYTES)
            if not data:
                return
            discarded_bytes += len(data)
