"""Answers are read as strictly as a checker needs."""

import asyncio

import pytest

from fireflystandins.soak import answers


def _read(data):
    async def read():
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        head = await answers.read_head(reader)
        parts = [part async for part in answers.read_body(reader, head)]
        return head.status, b"".join(parts)

    return asyncio.run(read())


HEAD = b"HTTP/1.1 200 X\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 4\r\n\r\nabcd",
        CHUNKED + b"2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n",
    ],
)
def test_a_whole_answer_is_read(data):
    assert _read(data) == (200, b"abcd")


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 4\r\n\r\nabc",
        CHUNKED + b"2\r\nab\r\n",
        CHUNKED + b"2\r\nab\r\n0\r\n",
        HEAD,
    ],
)
def test_an_answer_that_ends_early_is_seen(data):
    early = (asyncio.IncompleteReadError, answers.EndedEarly)
    with pytest.raises(early):
        _read(data)


@pytest.mark.parametrize(
    "data", [b"garbage\r\n\r\n", CHUNKED + b"2\r\nabcd\r\n0\r\n\r\n"]
)
def test_bytes_that_are_no_answer_are_refused(data):
    with pytest.raises(ValueError):
        _read(data)
