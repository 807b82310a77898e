"""Reads HTTP answers from a stream as strictly as a checker needs."""

import collections.abc
import dataclasses

import asyncio

PART_BYTES = 4096


def expected_body(request_id: str) -> bytes:
    """Return the whole body of an endpoint's answer that is no stream."""
    return b"answer to " + request_id.encode()


class EndedEarly(Exception):
    """The connection ended in order before its answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The status and the fields, their names in lower case."""

    status: int
    fields: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Return a head; raise ``ValueError`` for bytes that are none."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.rstrip("\r\n").split("\r\n")
    version, status, _ = f"{start} ".split(" ", 2)
    if version != "HTTP/1.1":
        raise ValueError(f"no answer: {start!r}")
    pairs = [line.partition(":") for line in lines]
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    return Head(int(status), fields)


async def read_body(
    reader: asyncio.StreamReader, head: Head
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the parts of a body until its end."""
    if head.fields.get("transfer-encoding") == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            yield await reader.readexactly(size)
            await _read_line_end(reader)
        await _read_line_end(reader)
        return
    left = int(head.fields["content-length"])
    while left:
        part = await reader.read(min(left, PART_BYTES))
        if not part:
            raise EndedEarly
        left -= len(part)
        yield part


async def _read_line_end(reader: asyncio.StreamReader) -> None:
    if await reader.readexactly(2) != b"\r\n":
        raise ValueError("no line end after a chunk")
