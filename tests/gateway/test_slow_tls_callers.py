"""Callers that read slowly over TLS, over real sockets."""

import contextlib
import functools
import ssl

import pytest
from twisted.internet import ssl as twisted_ssl
from twisted.protocols import tls

from fireflypulley.core.gateway import caller_ends

from ..processes import test_tls
from . import slow_callers


@pytest.fixture(scope="module")
def certificate(tmp_path_factory):
    """Return the files of a certificate that signs itself."""
    return test_tls.make_certificate(tmp_path_factory.mktemp("tls"))


class _Caller:
    """A caller's socket, of which a read takes several records."""

    def __init__(self, files, connected):
        context = ssl.create_default_context(cafile=str(files.certificate))
        context.check_hostname = False
        self._socket = context.wrap_socket(connected)
        self.sendall = self._socket.sendall

    def __enter__(self):
        return self

    def __exit__(self, *problem):
        self._socket.close()

    def recv(self, size_bytes):
        """Wait for bytes; return these and what else is there by then."""
        data = self._socket.recv(size_bytes)
        timeout_s = self._socket.gettimeout()
        self._socket.setblocking(False)
        with contextlib.suppress(ssl.SSLWantReadError):
            while data and len(data) < size_bytes:
                piece = self._socket.recv(size_bytes - len(data))
                if not piece:
                    break
                data += piece
        self._socket.settimeout(timeout_s)
        return data


@contextlib.contextmanager
def _calling(files, profile, bounds=slow_callers.BOUNDS):
    """Yield a node and the socket of its caller, both over TLS."""
    pem = files.key.read_bytes() + files.certificate.read_bytes()
    options = twisted_ssl.PrivateCertificate.loadPEM(pem).options()

    def wrap_server(factory, reactor):
        return tls.TLSMemoryBIOFactory(options, False, factory, reactor)

    with slow_callers.running(
        profile.event_bytes, bounds, wrap_server
    ) as node:
        wrap = functools.partial(_Caller, files)
        with slow_callers.connect(node, profile, wrap) as caller:
            yield node, caller


PROFILES = slow_callers.INCIDENT_PROFILES


# Guards against a caller that is cut because its window was closed for long
# (issue 44).
@pytest.mark.parametrize("profile", PROFILES.values(), ids=PROFILES)
def test_an_answer_reaches_a_caller_that_reads_slowly(certificate, profile):
    with _calling(certificate, profile) as (node, caller):
        answer = slow_callers.read(caller, profile)
        slow_callers.wait_for(lambda: node.streams[0].deliveries)
    assert answer.count(b"data: ") == slow_callers.EVENTS
    assert answer.endswith(b"\r\n0\r\n\r\n")
    assert node.streams[0].deliveries == [caller_ends.Delivery()]


def test_a_caller_that_never_reads_is_ended_as_too_slow(certificate):
    bounds = caller_ends.CallerBounds(stall_s=3.0)
    profile = slow_callers.Profile(200000)
    with _calling(certificate, profile, bounds) as (node, _):
        slow_callers.wait_for(lambda: node.closed)
        (connection,) = node.closed
    assert connection.end_reason is caller_ends.CallerEnd.TOO_SLOW
    assert node.streams[0].left
