"""Crowds of clients that do not behave, at the daemon's callers' port.

A test judges what does not depend on the machine's speed: that the daemon
lives, stays within ``memory_mb`` and ``descriptors`` of its settings, and
answers an ordinary request afterwards.
"""

import http.client
import pathlib
import ssl
import time
import types
import urllib.parse

import pytest

from fireflystandins import local

from . import crowd_callers
from . import crowd_watch
from . import test_tls

pytestmark = pytest.mark.crowds

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
LITTLE_MEMORY = {"memory_mb": 130, "descriptors": 4100}
FEW_DESCRIPTORS = {"memory_mb": 300, "descriptors": 400}
GATHER_S = 12.0
"""A crowd that is not served by then is held as it is."""
HOLD_S = 4.0
SLOTS = 1000
LONG = 2_000_000
TOKENS = 100
PADDING_BYTES = 20_000
DOCUMENT = f"/services/filing/x?bytes={LONG}"


def _head(method, path, *lines):
    """Return the head of a request, without its end."""
    fields = ("Host: h", f"Authorization: Bearer {local.CALLER_TOKEN}")
    lines = (f"{method} {path} HTTP/1.1", *fields, *lines)
    return "".join(f"{line}\r\n" for line in lines).encode()


DOCUMENT_REQUEST = _head("GET", DOCUMENT) + b"\r\n"
UPLOAD_HEAD = _head("POST", "/services/filing/filings", "Idempotency-Key: k")
STREAM_BODY = (
    b'{"model": "shorthand", "stream": true, "max_tokens": %d,'
    b' "messages": [{"role": "user", "content": "x"}]}' % TOKENS
)


def _stream_request(number):
    length = f"Content-Length: {len(STREAM_BODY)}"
    head = _head("POST", "/v1/chat/completions", length)
    return head + b"\r\n" + STREAM_BODY


@pytest.fixture
def system(tmp_path):
    """Yield endpoints with room for all; a test starts its daemon."""
    with local.running(tmp_path / "system") as running:
        running.start_platform()
        spec = {"capacity": SLOTS, "cold_capacity": SLOTS}
        padding = ("--padding-bytes", str(PADDING_BYTES))
        running.start_endpoint(
            local.EndpointSpec(
                "e1", "engine", "shorthand", "v1", "a", padding, **spec
            )
        )
        running.start_endpoint(
            local.EndpointSpec("e2", "service", "filing", "v1", "a", **spec)
        )
        yield running


def _start(system, limits, tls=None):
    """Start a daemon, and wait until it serves."""
    daemon = system.start_daemon("node1", "a", tls=tls, limits=limits)
    local.wait_for("operators", lambda: _is_listening(daemon))
    system.apply(
        (EXAMPLES / "court.ini").read_text(),
        (EXAMPLES / "court-dakar.ini").read_text(),
    )
    return daemon


def _is_listening(daemon):
    """Return whether the operators' port is open."""
    return local.http("GET", f"{daemon.operators}/v1/status")[0] == 401


def _connect(daemon, context):
    """Return an HTTP client of a daemon."""
    address = urllib.parse.urlsplit(daemon.callers).netloc
    if context is None:
        return http.client.HTTPConnection(address, timeout=30)
    return http.client.HTTPSConnection(address, timeout=30, context=context)


def _ask(daemon, context=None, path="/services/filing/x", **options):
    """Return the status and the length of an answer."""
    connection = _connect(daemon, context)
    fields = {"Authorization": f"Bearer {local.CALLER_TOKEN}"}
    fields |= options.get("fields", {})
    try:
        method = "POST" if "body" in options else "GET"
        connection.request(method, path, options.get("body"), fields)
        reply = connection.getresponse()
        length = 0
        while piece := reply.read(8192):
            length += len(piece)
            time.sleep(options.get("pause_s", 0.0))
        return reply.status, length
    finally:
        connection.close()


def _wait_answered(daemon, context=None):
    local.wait_for("an answer", lambda: _ask(daemon, context)[0] == 200)


def _play(system, manner, count, limits=LITTLE_MEMORY, tls=None):
    """Play a crowd to a daemon, and judge it."""
    daemon = _start(system, limits, tls)
    context = None
    if tls is not None:
        context = ssl.create_default_context(cafile=str(tls.certificate))
        context.check_hostname = False
    _wait_answered(daemon, context)
    allowed = {
        "memory-mb": limits["memory_mb"],
        "max-fds": limits["descriptors"],
    }
    watch = crowd_watch.Watch(daemon, allowed)
    watch.sample()
    print(f"at rest {watch}")
    address = urllib.parse.urlsplit(daemon.callers).netloc
    node = types.SimpleNamespace(callers=address)
    crowd = crowd_callers.Crowd(node, manner, count, watch.sample, context)
    try:
        crowd.gather(GATHER_S)
        crowd.hold(HOLD_S)
    finally:
        crowd.close()
    watch.sample()
    print(f"{crowd.arrived} arrived: {dict(crowd.statuses)}; {watch}")
    problems = watch.problems()
    if daemon.alive:
        _wait_answered(daemon, context)
    assert not problems


SLOW_READERS = crowd_callers.Manner(
    lambda number: DOCUMENT_REQUEST, reads=True
)


# Guards against a daemon that runs out of memory as many callers read long
# documents slowly.
def test_slow_readers_of_long_documents(system):
    _play(system, SLOW_READERS, 200)


# Guards against a daemon for which what TLS keeps counts as nothing.
def test_slow_readers_of_long_documents_over_tls(system, tmp_path):
    tls = test_tls.make_certificate(tmp_path)
    _play(system, SLOW_READERS, 150, tls=tls)


# Guards against a daemon that holds what streams send to callers that read
# slowly.
def test_slow_readers_of_long_streams(system):
    manner = crowd_callers.Manner(_stream_request, reads=True)
    _play(system, manner, 150)


# Guards against a daemon that runs out of memory or descriptors by uploads
# inside the limits that stop before their end.
@pytest.mark.parametrize("limits", [LITTLE_MEMORY, FEW_DESCRIPTORS])
def test_uploads_that_stop_before_their_end(system, limits):
    head = UPLOAD_HEAD + b"Content-Length: 1000000\r\n\r\n"
    manner = crowd_callers.Manner(
        lambda number: head, body=b"x" * 990_000, waits_for_answer=False
    )
    _play(system, manner, 250, limits)


# Guards against a daemon that runs out of memory by small uploads, which
# are not kept in files.
def test_small_uploads_that_stop_before_their_end(system):
    head = UPLOAD_HEAD + b"Content-Length: 99999\r\n\r\n"
    manner = crowd_callers.Manner(
        lambda number: head, body=b"x" * 99_000, waits_for_answer=False
    )
    _play(system, manner, 1000)


# Guards against a daemon that runs out of memory by heads without an end.
def test_heads_that_never_end(system):
    head = UPLOAD_HEAD + b"Field: " + b"x" * 15_000
    manner = crowd_callers.Manner(lambda number: head, waits_for_answer=False)
    _play(system, manner, 2500)


# Guards against a daemon that runs out of descriptors: connections on which
# nothing is said.
def test_silent_connections_beyond_the_descriptors(system):
    manner = crowd_callers.Manner(lambda number: b"", waits_for_answer=False)
    _play(system, manner, 600, FEW_DESCRIPTORS)


# Guards against bounds that refuse what one caller may ask for in calm.
def test_a_single_caller_inside_the_limits_is_served(system):
    daemon = _start(system, LITTLE_MEMORY)
    _wait_answered(daemon)
    upload = {"body": b"u" * (8 << 20), "fields": {"Idempotency-Key": "k1"}}
    uploaded = _ask(daemon, path="/services/filing/filings", **upload)
    assert uploaded[0] == 200
    assert _ask(daemon, path=DOCUMENT) == (200, LONG)
    slow = _ask(daemon, path="/services/filing/x?bytes=300000", pause_s=0.1)
    assert slow == (200, 300_000)
