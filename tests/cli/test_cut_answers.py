"""Commands whose nodes end in the middle of an answer."""

import contextlib
import socket
import threading

import pytest

from fireflypulley.cli import client
from fireflypulley.cli import gateways

BODY = b'{"a": [1, 2]}'
LONGER = b"Content-Length: %d\r\n\r\n" % (len(BODY) + 1)
CUT_ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\n" + LONGER + BODY,
    "no length": b"HTTP/1.0 200 OK\r\n\r\n" + BODY[:-3],
    "head": b"HTTP/1.1 200 OK\r\nContent-Le",
    "nothing": b"",
}
FAILED_ANSWER = b"HTTP/1.1 503 Busy\r\n" + LONGER + BODY
WHOLE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n" + BODY


def _read_request(connection):
    """Read all of a request; a close with bytes unread would be a reset."""
    received = connection.recv(65536)
    end = b"{}" if received.startswith(b"POST") else b"\r\n\r\n"
    while not received.endswith(end):
        received += connection.recv(65536)


@contextlib.contextmanager
def _nodes(*answers):
    """Serve one answer per node, each of which then ends in order."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in answers]

    def serve(listener, answer):
        connection, _ = listener.accept()
        with connection:
            _read_request(connection)
            connection.sendall(answer)

    for listener, answer in zip(listeners, answers, strict=True):
        threading.Thread(
            target=serve, args=(listener, answer), daemon=True
        ).start()
    try:
        yield [f"127.0.0.1:{one.getsockname()[1]}" for one in listeners]
    finally:
        for listener in listeners:
            listener.close()


def _client(folder, addresses):
    (folder / "token").write_text("secret\n")
    urls = " ".join(f"http://{address}" for address in addresses)
    return client.Client(
        client.ClientSettings(urls=urls, token_file=folder / "token")
    )


# Guards against a command that ends with a traceback, instead of asking the
# next node, when a node ends in the middle of its answer.
@pytest.mark.parametrize("cut", CUT_ANSWERS.values(), ids=list(CUT_ANSWERS))
def test_the_next_node_is_asked_after_a_cut_answer(tmp_path, cut):
    with _nodes(cut, WHOLE_ANSWER) as addresses:
        answer = _client(tmp_path, addresses).get("x")
    assert answer.unwrap() == {"a": [1, 2]}


# Guards against a change that is sent twice.
@pytest.mark.parametrize("cut", CUT_ANSWERS.values(), ids=list(CUT_ANSWERS))
def test_a_change_whose_answer_is_cut_has_an_unknown_end(tmp_path, cut):
    with _nodes(cut, WHOLE_ANSWER) as addresses:
        answer = _client(tmp_path, addresses).post({}, "x")
    assert answer.unwrap_err().status == 0


def test_a_failure_that_is_cut_keeps_its_status(tmp_path):
    with _nodes(FAILED_ANSWER) as addresses:
        answer = _client(tmp_path, addresses).post({}, "x")
    assert answer.unwrap_err().status == 503


# Guards against a table of no node because one of them has just ended.
@pytest.mark.parametrize("cut", CUT_ANSWERS.values(), ids=list(CUT_ANSWERS))
def test_a_cut_status_page_is_a_problem_of_its_node(cut):
    with _nodes(cut, WHOLE_ANSWER) as addresses:
        broken, whole = gateways.fetch_pages(addresses)
    assert broken.body is None and broken.problem
    assert whole.body == {"a": [1, 2]}
