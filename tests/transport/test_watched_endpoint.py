"""Connections that are closed when they go silent, over real sockets."""

import socket
import types

from twisted.internet import defer
from twisted.internet import task
from twisted.web import client

from fireflypulley.platform import http_client
from fireflypulley.transport import sockets
from fireflypulley.transport import watched_endpoint

from . import test_sockets

APPLY_S = 2.0
"""The bound of the rule: a confirmed change is in force after this time."""


class _Endpoint:
    """Connects at once, with a given transport."""

    def __init__(self, transport):
        self._transport = transport

    def connect(self, factory):
        return defer.succeed(types.SimpleNamespace(transport=self._transport))


def _silence_detected_s(handle):
    """Return the latest time at which a silent connection is closed.

    On Linux the user timeout decides at each probe after the first one,
    whatever their number; other systems count the unanswered probes.
    """
    assert handle.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    tcp = socket.IPPROTO_TCP
    interval_s = handle.getsockopt(tcp, socket.TCP_KEEPINTVL)
    user_timeout_ms = handle.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    idle_s = handle.getsockopt(tcp, socket.TCP_KEEPIDLE)
    probes = handle.getsockopt(tcp, socket.TCP_KEEPCNT)
    probed_s = idle_s + interval_s
    while probed_s * 1000 < user_timeout_ms:
        probed_s += interval_s
    return max(probed_s, idle_s + probes * interval_s)


def test_a_silent_connection_is_closed_in_time():
    with socket.socket() as handle:
        transport = test_sockets.Transport(handle)
        endpoint = watched_endpoint.WatchedEndpoint(_Endpoint(transport))
        assert endpoint.connect(None).result.transport is transport
        assert _silence_detected_s(handle) == sockets.SILENCE_DETECTED_S
    assert sockets.SILENCE_DETECTED_S <= APPLY_S


# Guards against a long poll that waits for seconds on a connection to the
# store that went silent, while a confirmed change is not in force.
def test_connections_to_the_store_are_watched(monkeypatch):
    monkeypatch.setattr(
        http_client.endpoints,
        "HostnameEndpoint",
        lambda reactor, host, port, timeout: _Endpoint(transport),
    )
    calls = http_client.HttpClient(task.Clock(), "http://127.0.0.1:1")
    with socket.socket() as handle:
        transport = test_sockets.Transport(handle)
        uri = client.URI.fromBytes(b"http://127.0.0.1:1/rows-feed")
        calls._agent._endpointFactory.endpointForURI(uri).connect(None)
        assert _silence_detected_s(handle) <= APPLY_S
