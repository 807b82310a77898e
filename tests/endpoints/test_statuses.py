"""Answers of endpoints to the daemon whose status is none."""

import pytest

from fireflypulley.core import requests
from fireflypulley.core import topology

from . import test_cut_answers

ENDED = test_cut_answers.ENDS[0]
BODY = b"Content-Length: 2\r\n\r\nok"
KINDS = list(topology.ServiceKind)


def _outcome(monkeypatch, status, kind, is_retryable):
    head = b"HTTP/1.1 %s X\r\n" % status
    monkeypatch.setattr(test_cut_answers, "HEAD", head)
    return test_cut_answers._outcome(kind, is_retryable, BODY, ENDED)


# Guards against an answer that counts as complete although its status is
# none (RFC 9110, 15), and one that may be told as an error of the server's.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("is_retryable", [True, False])
@pytest.mark.parametrize(
    "status", [b"000", b"0", b"-1", b"99", b"600", b"999", b"2000"]
)
def test_an_answer_without_a_status_is_invalid(
    monkeypatch, status, is_retryable, kind
):
    outcome = _outcome(monkeypatch, status, kind, is_retryable)
    assert outcome is requests.Outcome.INVALID


# Guards against the same with what twisted can't read at all.
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("status", [b"abc", b""])
def test_an_answer_with_an_unreadable_status_fails(monkeypatch, status, kind):
    outcome = _outcome(monkeypatch, status, kind, False)
    assert outcome in (requests.Outcome.CUT, requests.Outcome.INVALID)


# Guards against an interim answer alone that counts as complete.
@pytest.mark.parametrize("status", [b"100", b"103", b"199"])
def test_an_interim_answer_alone_is_cut(monkeypatch, status):
    head = b"HTTP/1.1 %s X\r\n" % status
    monkeypatch.setattr(test_cut_answers, "HEAD", head)
    plain = topology.ServiceKind.PLAIN
    outcome = test_cut_answers._outcome(plain, False, b"\r\n", ENDED)
    assert outcome is requests.Outcome.CUT
