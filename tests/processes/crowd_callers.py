"""Callers that do not behave, many at a time and in one thread.

They are plain sockets with small receive buffers.  What they write and how
they read is a ``Manner``; a ``Crowd`` plays one manner many times.
"""

import collections
import contextlib
import dataclasses
import select
import socket
import ssl
import struct
import time
import typing

from fireflystandins import gateways

RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 512
HANDSHAKE_TIMEOUT_S = 10.0
TLS_WAITS = ssl.SSLWantReadError, ssl.SSLWantWriteError
READ_INTERVAL_S = 0.5
STEP_S = 0.05
ARRIVALS_PER_STEP = 40
ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
STATUS_BYTES = len("HTTP/1.1 200")
RESET = struct.pack("ii", 1, 0)
TIMEOUT_MS = 60_000


def head(number, method, path, *lines):
    """Return the head of a request with further lines, and its end."""
    fields = gateways.caller_headers(f"c{number}", "key-court", TIMEOUT_MS)
    return "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            *(f"{name}: {value}" for name, value in fields.items()),
            *lines,
            "\r\n",
        ]
    ).encode()


def request(number, path, *lines):
    """Return a small request."""
    return head(number, "POST", path, "Content-Length: 1", *lines) + b"3"


@dataclasses.dataclass(frozen=True)
class Manner:
    """How each caller of a crowd behaves.

    ``opening`` returns what the caller of a number writes first; ``body``
    follows, and then a byte of ``drip`` at each step.  A caller that
    ``comes_again`` resets its connection as soon as anything came, and opens
    another.
    """

    opening: typing.Callable[[int], bytes]
    body: bytes = b""
    drip: bytes = b""
    reads: bool = False
    waits_for_answer: bool = True
    half_closes: bool = False
    comes_again: bool = False


def _open_socket():
    """Return a socket with a small receive buffer."""
    opened = socket.socket()
    opened.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    return opened


class _Caller:
    """One connection."""

    def __init__(self, address, manner, number):
        self._manner = manner
        self._unsent = [
            memoryview(part) for part in (manner.opening(number), manner.body)
        ]
        self._drip = memoryview(manner.drip)
        self.status = ""
        self.has_ended = False
        self.socket = self._connect(address)

    def _connect(self, address):
        """Return a socket that is being connected."""
        opened = _open_socket()
        opened.setblocking(False)
        opened.connect_ex(address)
        return opened

    @property
    def is_settled(self):
        """Return whether it has what it waits for, or was closed."""
        if self.has_ended or self.status:
            return True
        return not self._manner.waits_for_answer and not self._unsent

    def write(self):
        """Write what the connection takes now."""
        if self.has_ended:
            return
        try:
            self._write()
        except BlockingIOError:
            return
        except OSError:
            self.has_ended = True

    def _write(self):
        if not self._unsent:
            sent = self.socket.send(self._drip[:1]) if self._drip else 0
            self._drip = self._drip[sent:]
            return
        part = self._unsent[0]
        part = part[self.socket.send(part) if part else 0 :]
        self._unsent[:1] = [part] if part else []
        if not self._unsent and self._manner.half_closes:
            self.socket.shutdown(socket.SHUT_WR)

    def look(self):
        """Note the status of the first answer, and leave it unread."""
        try:
            start = self.socket.recv(STATUS_BYTES, socket.MSG_PEEK)
        except OSError:
            return
        self.status = self.status or start[-3:].decode()

    def read(self):
        """Read a few bytes, if an answer has begun."""
        if not self.status or self.has_ended:
            return
        try:
            self.has_ended = not self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.has_ended = True

    def leave(self):
        """Reset the connection."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.socket.close()


class _TlsCaller(_Caller):
    """One connection over TLS, which begins with its handshake."""

    def __init__(self, address, manner, number, tls_context):
        self._context = tls_context
        super().__init__(address, manner, number)

    def _connect(self, address):
        opened = _open_socket()
        opened.settimeout(HANDSHAKE_TIMEOUT_S)
        opened.connect(address)
        opened = self._context.wrap_socket(opened)
        opened.setblocking(False)
        return opened

    def write(self):
        with contextlib.suppress(*TLS_WAITS):
            if not self.has_ended:
                self._write()

    def look(self):
        """Note the status of the first answer."""
        with contextlib.suppress(OSError):
            start = self.socket.recv(STATUS_BYTES)
            self.status = self.status or start[-3:].decode()

    def read(self):
        with contextlib.suppress(*TLS_WAITS):
            if self.status and not self.has_ended:
                self.has_ended = not self.socket.recv(READ_BYTES)


class Crowd:
    """Callers of one manner at one node; ``watch`` is called at each step.

    They speak TLS if there is a ``tls_context``.
    """

    def __init__(self, node, manner, count, watch, tls_context=None):
        host, port = node.callers.rsplit(":", 1)
        self._address = (host, int(port))
        self._manner = manner
        self._count = count
        self._watch = watch
        self._tls_context = tls_context
        self._callers = {}
        self._poll = select.poll()
        self._read_at_s = 0.0
        self.arrived = 0
        self.statuses = collections.Counter()

    def _create(self):
        call = self._address, self._manner, self.arrived
        if self._tls_context is None:
            return _Caller(*call)
        return _TlsCaller(*call, self._tls_context)

    def _arrive(self):
        caller = self._create()
        self.arrived += 1
        self._callers[caller.socket.fileno()] = caller
        self._poll.register(caller.socket, select.POLLIN | ENDED)

    def _leave(self, number):
        caller = self._callers.pop(number)
        with contextlib.suppress(KeyError):
            self._poll.unregister(number)
        self.statuses[caller.status or "none"] += 1
        caller.leave()

    def step(self):
        """Let callers arrive, write and read, and wait a moment."""
        missing = self._count - len(self._callers)
        for _ in range(min(missing, ARRIVALS_PER_STEP)):
            self._arrive()
        for caller in self._callers.values():
            caller.write()
        self._note_events()
        if self._manner.reads and time.monotonic() >= self._read_at_s:
            self._read_at_s = time.monotonic() + READ_INTERVAL_S
            for caller in self._callers.values():
                caller.read()
        self._watch()
        time.sleep(STEP_S)

    def _note_events(self):
        for number, events in self._poll.poll(0):
            caller = self._callers[number]
            if events & select.POLLIN and not caller.status:
                caller.look()
            if events & ENDED and not self._manner.reads:
                caller.has_ended = True
            if events & (select.POLLHUP | select.POLLERR):
                caller.has_ended = True
            if self._manner.comes_again and caller.is_settled:
                self._leave(number)
            elif caller.has_ended:
                self._poll.unregister(number)

    @property
    def is_settled(self):
        """Return whether all have arrived, and each has what it waits for.

        Callers that come again never wait.
        """
        if self._manner.comes_again:
            return self.arrived >= self._count
        return self.arrived >= self._count and all(
            caller.is_settled for caller in self._callers.values()
        )

    def gather(self, timeout_s):
        """Go on until the crowd is settled; it need not be."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s and not self.is_settled:
            self.step()

    def hold(self, seconds):
        """Go on for some time."""
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            self.step()

    def close(self):
        """Reset all connections."""
        for number in list(self._callers):
            self._leave(number)
