"""What a connection knows of its answer."""

import pytest

from fireflypulley.gateway import answer_progress


def _progress(requests):
    progress = answer_progress.AnswerProgress()
    for _ in range(requests):
        progress.begin(b"POST")
    return progress


@pytest.mark.parametrize(
    ("headers", "is_unframed"),
    [
        ([], True),
        ([(b"content-length", b"0")], False),
        ([(b"transfer-encoding", b"chunked")], False),
    ],
)
def test_only_a_body_without_length_and_chunks_ends_with_a_close(
    headers, is_unframed
):
    progress = _progress(2)
    progress.note_head(200, headers)
    assert progress.is_unframed is is_unframed
    assert progress.is_ambiguous is is_unframed


def test_the_first_answer_of_a_connection_is_not_ambiguous():
    progress = _progress(1)
    progress.note_head(200, [])
    assert progress.is_unframed
    assert not progress.is_ambiguous


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_needs_no_close(status):
    progress = _progress(2)
    progress.note_head(status, [])
    assert not progress.is_unframed


def test_a_pause_belongs_to_one_answer():
    progress = _progress(1)
    progress.note_pause(1.0)
    progress.note_pause(2.0)
    assert progress.unread_since_s == 1.0
    progress.begin(b"POST")
    assert progress.unread_since_s is None
