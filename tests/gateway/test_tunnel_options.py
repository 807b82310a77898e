"""Options of the connections that a tunnel consists of."""

import socket

import pytest
from twisted.internet import protocol
from twisted.internet import task

from fireflypulley.gateway import tunnel_server
from fireflypulley.gateway import tunnel_transport
from fireflypulley.transport import sockets


class _Transport:
    """A TCP transport over a real socket."""

    connected = True

    def __init__(self, handle):
        self._handle = handle

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return self._handle


class _Stream:
    """A stream whose tunnel is open, to a node of this version or older."""

    def __init__(self, transport, is_older):
        self.transport = transport
        self._is_older = is_older

    def supports(self, feature):
        return not self._is_older

    def set_owner(self, owner):
        pass

    def hand_over(self, user):
        transport, self.transport = self.transport, None
        user.makeConnection(transport)


class _User(protocol.Protocol):
    """What uses a tunnel as any connection to an endpoint."""

    def connectionMade(self):
        sockets.set_tcp_options(self.transport)


def _user_timeout_ms(handle):
    return handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


# Guards against answers through tunnels that are cut because a caller reads
# nothing for some seconds (issue 44).
@pytest.mark.parametrize("is_older", [False, True])
def test_a_tunnel_between_nodes_has_no_user_timeout(is_older):
    with socket.socket() as handle:
        stream = _Stream(_Transport(handle), is_older)
        sockets.set_tcp_options(stream.transport)
        tunnel_transport.connect(task.Clock(), stream, _User())
        assert _user_timeout_ms(handle) == 0


# Guards against requests through tunnels that are cut because an endpoint
# reads nothing for some seconds.
def test_a_tunnel_s_connection_to_an_endpoint_has_no_user_timeout():
    with socket.socket() as handle:
        pipe = tunnel_server._EndpointPipe(task.Clock())
        pipe.makeConnection(_Transport(handle))
        assert _user_timeout_ms(handle) == 0
