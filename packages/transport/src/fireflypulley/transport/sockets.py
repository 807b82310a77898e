"""TCP options that detect a dead connection within seconds."""

import socket
import typing

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 2500
"""Sent data that stays unacknowledged this long closes the connection."""


def set_tcp_options(transport: typing.Any) -> None:
    """Disable Nagle's algorithm and enable detection of dead peers.

    ``transport`` is a TCP transport or TLS over TCP.
    """
    transport.setTcpNoDelay(True)
    handle = getattr(transport, "transport", transport).getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    handle.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
