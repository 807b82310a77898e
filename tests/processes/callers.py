"""Callers that send requests to real nodes until told to stop."""

import concurrent.futures
import contextlib
import http.client
import itertools
import threading
import time

from fireflystandins import gateways

OPEN_CALLS = 400

_numbers = itertools.count(1)


class Callers:
    """Some callers that ask the nodes in turn, each after a pause."""

    def __init__(self, nodes, count, pause_s):
        self.nodes = nodes
        self._count = count
        self._pause_s = pause_s
        self._turns = itertools.count()
        self._stopping = threading.Event()
        self.sent_s = []
        self.statuses = []

    def call(self, node):
        """Send a request that may be repeated; note its status or 0."""
        request_id = f"p{next(_numbers)}"
        fields = gateways.caller_headers(request_id, "key-court", 3000)
        connection = http.client.HTTPConnection(node.callers, timeout=5)
        self.sent_s.append(time.monotonic())
        status = 0
        with contextlib.suppress(OSError, http.client.HTTPException):
            connection.request("POST", "/fetch/x", b"3", fields)
            reply = connection.getresponse()
            reply.read()
            status = reply.status
        connection.close()
        self.statuses.append(status)

    def _run(self):
        while not self._stopping.wait(self._pause_s):
            turn = next(self._turns)
            self.call(self.nodes[turn % len(self.nodes)])

    @contextlib.contextmanager
    def calling_steadily(self, per_s):
        """Send requests at a rate during the block, answered or not."""

        def send():
            with concurrent.futures.ThreadPoolExecutor(OPEN_CALLS) as pool:
                while not self._stopping.wait(1.0 / per_s):
                    turn = next(self._turns)
                    pool.submit(self.call, self.nodes[turn % len(self.nodes)])

        sending = threading.Thread(target=send)
        sending.start()
        try:
            yield self
        finally:
            self._stopping.set()
            sending.join()

    @contextlib.contextmanager
    def calling(self):
        """Send requests during the block."""
        with concurrent.futures.ThreadPoolExecutor(self._count) as pool:
            running = [pool.submit(self._run) for _ in range(self._count)]
            try:
                yield self
            finally:
                self._stopping.set()
        for one in running:
            one.result()


def call_once(node, request_id, path, body=b"3"):
    """Return the status and the body, 0 if there is no whole answer."""
    connection = http.client.HTTPConnection(node.callers, timeout=5)
    fields = gateways.caller_headers(request_id, "key-court", 3000)
    try:
        connection.request("POST", path, body, fields)
        reply = connection.getresponse()
        return reply.status, reply.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()
