"""Options that show a dead connection within seconds."""

import socket
import typing

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 2500
"""Bytes that a peer has not acknowledged for so long end a connection."""


def set_tcp_options(transport: typing.Any) -> None:
    """Set a transport's options for prompt answers and failures.

    ``transport`` is a TCP transport, or TLS over one.
    """
    transport.setTcpNoDelay(True)
    handle = getattr(transport, "transport", transport).getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    handle.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    handle.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
