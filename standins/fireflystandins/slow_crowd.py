"""Many callers that read slowly, in a process of their own.

``python -m fireflystandins.slow_crowd HOST:PORT COUNT BYTES`` connects the
callers, prints a line once each has an answer under way, lets them read
until its input ends, and prints how many connections the node had ended.
"""

import select
import socket
import sys
import time

from fireflystandins import gateways

RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 1000
READ_INTERVAL_S = 0.5
STEPS = 10
"""Into which an interval is parted, so that the reads are spread."""
TIMEOUT_MS = 300_000
ARRIVAL_INTERVAL_S = 0.005
HEAD_TIMEOUT_S = 30.0


def request(number: int, answer_bytes: int) -> bytes:
    """Return a request for an answer of a size."""
    fields = gateways.caller_headers(f"s{number}", "key-court", TIMEOUT_MS)
    lines = [f"{name}: {value}" for name, value in fields.items()]
    path = f"/stream/x?bytes={answer_bytes}"
    head = [f"POST {path} HTTP/1.1", *lines, "Content-Length: 1", "\r\n"]
    return "\r\n".join(head).encode() + b"3"


class SlowCaller:
    """One connection, of which a little is read at a time."""

    def __init__(self, address: tuple[str, int], opening: bytes) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.settimeout(HEAD_TIMEOUT_S)
        self._socket.connect(address)
        self._socket.sendall(opening)
        self.has_ended = False

    def wait_for_head(self) -> None:
        """Read the first bytes; raises ``TimeoutError`` if none come."""
        try:
            self.has_ended = not self._socket.recv(READ_BYTES)
        except ConnectionResetError:
            self.has_ended = True
        self._socket.setblocking(False)

    def read(self) -> None:
        """Read what is there, up to so many bytes."""
        if self.has_ended:
            return
        try:
            self.has_ended = not self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self.has_ended = True


def _is_over(wait_s: float) -> bool:
    """Return whether the input has ended, or will within a time."""
    return bool(select.select([sys.stdin], [], [], max(0.0, wait_s))[0])


def main() -> int:
    """Play the crowd until the input ends."""
    host, port = sys.argv[1].rsplit(":", 1)
    callers = []
    for number in range(int(sys.argv[2])):
        opening = request(number, int(sys.argv[3]))
        callers.append(SlowCaller((host, int(port)), opening))
        time.sleep(ARRIVAL_INTERVAL_S)
    for caller in callers:
        caller.wait_for_head()
    print("reading", flush=True)
    step, next_s = 0, time.monotonic()
    while not _is_over(next_s - time.monotonic()):
        for caller in callers[step % STEPS :: STEPS]:
            caller.read()
        step += 1
        next_s += READ_INTERVAL_S / STEPS
    print(sum(caller.has_ended for caller in callers), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
