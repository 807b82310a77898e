"""Options of the connections that a tunnel consists of."""

import socket

import pytest
from twisted.internet import protocol
from twisted.internet import task

from fireflypulley.gateway import tunnel_server
from fireflypulley.gateway import tunnel_transport
from fireflypulley.nodes import messages
from fireflypulley.transport import sockets


class _Transport:
    """A TCP transport over a real socket."""

    connected = True
    bufferSize = 65536

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
        self.sent = []

    def send(self, message):
        self.sent.append(message)

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


PIECE_BYTES = 16 << 10


# Guards against nodes that run out of memory as each of hundreds of tunnels
# reads and holds a lot at a time.
@pytest.mark.parametrize("is_older", [False, True])
def test_a_tunnel_reads_and_holds_little_at_a_time(is_older):
    with socket.socket() as handle:
        transport = _Transport(handle)
        stream = _Stream(transport, is_older)
        tunnel_transport.connect(task.Clock(), stream, _User())
        assert transport.bufferSize <= PIECE_BYTES
        pipe = tunnel_server._EndpointPipe(task.Clock())
        pipe.makeConnection(_Transport(handle))
        assert pipe.transport.bufferSize <= PIECE_BYTES


def test_what_is_written_to_a_tunnel_goes_in_small_pieces():
    with socket.socket() as handle:
        stream = _Stream(_Transport(handle), False)
        user = _User()
        tunnel_transport.connect(task.Clock(), stream, user)
        user.transport.write(b"x" * 100_000)
    pieces = [message.data for message in stream.sent]
    assert b"".join(pieces) == b"x" * 100_000
    assert max(map(len, pieces)) <= PIECE_BYTES
    assert all(isinstance(one, messages.TunnelData) for one in stream.sent)
