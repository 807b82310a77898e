"""What the kernel knows of the sending side of a TCP connection."""

import dataclasses
import socket
import struct
import typing

_LAYOUT = struct.Struct("=8B24I4Q")
"""The first fields of Linux's ``struct tcp_info``, the same on x86-64 and
arm64."""
_PROBES = 3
_UNACKNOWLEDGED = 12
_LAST_ACK_MS = 20
_RETRANSMISSIONS = 31
_ACKNOWLEDGED_BYTES = 34


@dataclasses.dataclass(frozen=True, slots=True)
class TcpState:
    """The sending side of a connection.

    ``probes`` are the window and keep-alive probes sent since the peer last
    sent anything, ``unacknowledged`` the segments in flight and
    ``retransmissions`` all that the connection has made.  The peer last
    acknowledged something ``ack_age_s`` ago; ``acknowledged_bytes`` counts
    from the connection's start.
    """

    probes: int
    unacknowledged: int
    retransmissions: int
    ack_age_s: float
    acknowledged_bytes: int


def read(transport: typing.Any) -> TcpState | None:
    """Return the state of a connected transport.

    Return None where the kernel does not tell it, and for a connection
    that is closed.
    """
    handle = getattr(transport, "transport", transport).getHandle()
    try:
        data = handle.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _LAYOUT.size
        )
    except (AttributeError, OSError):
        return None
    return decode(data)


def decode(data: bytes) -> TcpState | None:
    """Return the state in a ``struct tcp_info``, None if it is too short."""
    if len(data) < _LAYOUT.size:
        return None
    fields = _LAYOUT.unpack_from(data)
    return TcpState(
        probes=fields[_PROBES],
        unacknowledged=fields[_UNACKNOWLEDGED],
        retransmissions=fields[_RETRANSMISSIONS],
        ack_age_s=fields[_LAST_ACK_MS] / 1000,
        acknowledged_bytes=fields[_ACKNOWLEDGED_BYTES],
    )
