"""Answers that wait for slow callers as the process of their node ends."""

import threading

import pytest

from . import slow_callers

PROFILE = slow_callers.Profile(8000, buffer_bytes=16384)


def _hand_over(node):
    for connection in node.opened:
        connection.hand_over()


def _answer_after_end(sent_meanwhile):
    """Return what a caller gets that reads once the process has ended.

    While the process ends, the caller sends some bytes that nobody reads.
    """
    may_end = threading.Event()
    with slow_callers.running(PROFILE.event_bytes) as node:
        node.is_stopping = True
        node.send_buffer_bytes = 16384
        caller = slow_callers.connect(node, PROFILE)
        slow_callers.wait_for(
            lambda: node.streams and node.streams[0].has_ended
        )
        assert node.held.total_bytes
        slow_callers.end_process(node, may_end, lambda: _hand_over(node))
        if sent_meanwhile:
            caller.sendall(sent_meanwhile)
        may_end.set()
        slow_callers.wait_for(lambda: node.closed)
    with caller:
        return slow_callers.read(caller, PROFILE)


# Guards against an answer that is lost with the process that holds it,
# though the kernel could take it (issue 44).
@pytest.mark.parametrize(
    "sent_meanwhile",
    [b"", slow_callers.REQUEST, slow_callers.REQUEST * 1000],
    ids=["nothing", "a-request", "many-requests"],
)
def test_an_answer_that_fits_the_kernel_outlives_its_process(sent_meanwhile):
    answer = _answer_after_end(sent_meanwhile)
    assert answer.count(b"data: ") == slow_callers.EVENTS
    assert answer.endswith(b"\r\n0\r\n\r\n")
